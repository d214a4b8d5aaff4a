//! The cancellations that this process has confirmed to users.
//!
//! A controller that cannot read the state service may still learn of every cancellation if all
//! other controllers tell which ones they have confirmed. Each of them therefore enters a
//! cancellation here before any answer with it leaves the process, and others read the log from a
//! cursor on. The log lives as long as the process: a cursor of an earlier process is recognised by
//! its incarnation and cannot be continued.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// Entries in one page, so that a page stays far below the largest message between controllers.
const PAGE: usize = 1000;

/// A position in the log of one process. The default stands for no position at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Which process wrote the log; 0 is none.
    pub incarnation: u64,
    /// The number of the next entry to read.
    pub next: u64,
}

/// A part of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancellationPage {
    /// Where the next page begins.
    pub cursor: Cursor,
    /// Whether the page follows the given cursor without a gap. If it does not, it is empty and only
    /// says where the log ends.
    pub continues: bool,
    /// Whether the page reaches the end of the log.
    pub complete: bool,
    /// The jobs, in the order of their confirmation.
    pub jobs: Vec<Arc<str>>,
}

struct Entries {
    /// The number of the oldest entry that is kept.
    first: u64,
    jobs: VecDeque<Arc<str>>,
    kept: HashSet<Arc<str>>,
}

impl Entries {
    fn end(&self) -> u64 {
        self.first + self.jobs.len() as u64
    }
}

/// The log, shared by all threads of a process.
#[derive(Clone)]
pub struct CancellationLog {
    incarnation: u64,
    capacity: usize,
    entries: Arc<Mutex<Entries>>,
}

impl CancellationLog {
    /// An empty log that keeps the most recent `capacity` entries.
    pub fn new(capacity: usize) -> CancellationLog {
        CancellationLog::with_incarnation(new_incarnation(), capacity)
    }

    /// The same with a given incarnation, which must differ from that of every earlier process.
    pub fn with_incarnation(incarnation: u64, capacity: usize) -> CancellationLog {
        let entries = Entries {
            first: 1,
            jobs: VecDeque::new(),
            kept: HashSet::new(),
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

    /// Enters a cancellation. Must happen before an answer that confirms it leaves the process.
    pub fn record(&self, job: &str) {
        let mut entries = self.entries();
        if entries.kept.contains(job) {
            return;
        }
        let job: Arc<str> = job.into();
        entries.jobs.push_back(job.clone());
        entries.kept.insert(job);
        if entries.jobs.len() > self.capacity {
            if let Some(oldest) = entries.jobs.pop_front() {
                entries.kept.remove(&oldest);
            }
            entries.first += 1;
        }
    }

    /// The entries from a cursor on.
    pub fn page(&self, after: Cursor) -> CancellationPage {
        let entries = self.entries();
        let end = entries.end();
        let kept = entries.first..=end;
        let continues = after.incarnation == self.incarnation && kept.contains(&after.next);
        let from = if continues { after.next } else { end };
        let skipped = (from - entries.first) as usize;
        let jobs: Vec<Arc<str>> = entries
            .jobs
            .iter()
            .skip(skipped)
            .take(PAGE)
            .cloned()
            .collect();
        let next = from + jobs.len() as u64;
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

/// A number that no earlier process on this machine has had: processes start at different times,
/// and the rest is random.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u128(since.map_or(0, |d| d.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}
