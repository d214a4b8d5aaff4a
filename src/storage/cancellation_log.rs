//! The log of the cancellations that this process has confirmed to users.
//!
//! A controller that cannot read the state service may still learn of every cancellation if all other
//! controllers report which ones they have confirmed. Each of them therefore records a cancellation
//! here before any response that confirms it leaves the process, and the others read the log page by
//! page from a [`Cursor`] on. The log is not persistent: a cursor into the log of an earlier process is
//! recognised by its incarnation and cannot be continued.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// The maximum number of entries in one page. It keeps a page far below the largest message between
/// controllers.
const PAGE_SIZE: usize = 1000;

/// A position in the log of one process. The default is no position in any log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// The incarnation of the process that keeps the log; 0 is none.
    pub incarnation: u64,
    /// The number of the next entry to read. Entries are numbered from 1.
    pub next: u64,
}

/// A page of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancellationPage {
    /// Where the next page begins.
    pub cursor: Cursor,
    /// Whether the page continues from the requested cursor without a gap. If not, the page is empty
    /// and its cursor is the end of the log.
    pub continues: bool,
    /// Whether the page reaches the end of the log.
    pub complete: bool,
    /// The jobs, in the order of their confirmation.
    pub jobs: Vec<Arc<str>>,
}

/// The entries that are retained.
struct Entries {
    /// The number of the oldest retained entry.
    first: u64,
    /// The jobs, in the order of their confirmation.
    jobs: VecDeque<Arc<str>>,
    /// The same jobs, for a lookup by id.
    retained: HashSet<Arc<str>>,
}

impl Entries {
    /// The number that the next entry gets.
    fn end(&self) -> u64 {
        self.first + self.jobs.len() as u64
    }
}

/// The log, shared by all threads of a process. It retains the most recent entries up to a capacity.
#[derive(Clone)]
pub struct CancellationLog {
    incarnation: u64,
    capacity: usize,
    entries: Arc<Mutex<Entries>>,
}

impl CancellationLog {
    /// An empty log that retains the most recent `capacity` entries, under a new incarnation.
    pub fn new(capacity: usize) -> CancellationLog {
        CancellationLog::with_incarnation(new_incarnation(), capacity)
    }

    /// The same as [`new`](Self::new) with a given incarnation, which must differ from that of every
    /// earlier process.
    pub fn with_incarnation(incarnation: u64, capacity: usize) -> CancellationLog {
        let entries = Entries {
            first: 1,
            jobs: VecDeque::new(),
            retained: HashSet::new(),
        };
        CancellationLog {
            incarnation,
            capacity: capacity.max(1),
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records a cancellation, unless it is retained already. This must happen before a response that
    /// confirms the cancellation leaves the process.
    pub fn record(&self, job: &str) {
        let mut entries = self.entries();
        if entries.retained.contains(job) {
            return;
        }
        let job: Arc<str> = job.into();
        entries.jobs.push_back(job.clone());
        entries.retained.insert(job);
        if entries.jobs.len() > self.capacity {
            if let Some(oldest) = entries.jobs.pop_front() {
                entries.retained.remove(&oldest);
            }
            entries.first += 1;
        }
    }

    /// Reads a page of the entries from a cursor on.
    pub fn page(&self, after: Cursor) -> CancellationPage {
        let entries = self.entries();
        let end = entries.end();
        let readable = entries.first..=end;
        let continues = after.incarnation == self.incarnation && readable.contains(&after.next);
        let first = if continues { after.next } else { end };
        let skipped = (first - entries.first) as usize;
        let jobs: Vec<Arc<str>> = entries
            .jobs
            .iter()
            .skip(skipped)
            .take(PAGE_SIZE)
            .cloned()
            .collect();
        let next = first + jobs.len() as u64;
        CancellationPage {
            cursor: Cursor {
                incarnation: self.incarnation,
                next,
            },
            continues,
            complete: next == end,
            jobs,
        }
    }
}

/// An incarnation that no earlier process on this machine has had: processes start at different times,
/// and the hash is randomly seeded.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u128(since.map_or(0, |d| d.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}
