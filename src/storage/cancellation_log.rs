//! The log of the cancellations that this process has confirmed to users.
//!
//! A controller that cannot read the state service can still learn of every confirmed cancellation if
//! all other controllers report which ones they have confirmed. Each controller therefore records a
//! cancellation in this log before it sends a response that confirms the cancellation, and its peers
//! read the log page by page, starting at a [`Cursor`]. The log is in memory only: a cursor into the log
//! of an earlier process has another incarnation, and reading cannot continue from it.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// The maximum number of entries in one page. A page of this size is far below the limit on the size of
/// a message between controllers.
const PAGE_SIZE: usize = 1000;

/// A position in the log of one process. The default value is not a position in any log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// The incarnation of the process that owns the log; 0 stands for no process.
    pub incarnation: u64,
    /// The number of the next entry to read. Entries are numbered from 1.
    pub next: u64,
}

/// A page of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancellationPage {
    /// The position of the next page.
    pub cursor: Cursor,
    /// Whether the page starts at the requested cursor, without a gap. If not, the page is empty and
    /// its cursor is the end of the log.
    pub continues: bool,
    /// Whether the page reaches the end of the log.
    pub complete: bool,
    /// The jobs, in the order of their confirmation.
    pub jobs: Vec<Arc<str>>,
}

/// The retained entries.
struct Entries {
    /// The number of the oldest retained entry.
    first: u64,
    /// The jobs, in the order of their confirmation.
    jobs: VecDeque<Arc<str>>,
    /// The same jobs, for lookups by id.
    retained: HashSet<Arc<str>>,
}

impl Entries {
    /// The number of the next entry to be added.
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

    /// Like [`new`](Self::new), but with a given incarnation, which must differ from that of every earlier
    /// process.
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

    /// The incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records a cancellation, unless the log already retains it. Must be called before a response that
    /// confirms the cancellation is sent.
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

    /// Reads the page of entries that starts at a cursor.
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

/// An incarnation that differs from those of earlier processes on this machine: it is a randomly seeded
/// hash of the start time and the process id.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u128(since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}
