//! The queue of records to read and the order of the reads.

use super::record_keys::{PageRange, RecordKey, RecordKind};
use crate::coordination::requests::store_call::StoreCall;
use std::collections::BTreeSet;

/// The maximum number of records in a page.
const MAX_PAGE_LEN: usize = 400;
/// Records in a page per queued record. It is limited because reading unneeded records takes time.
const PAGE_LEN_PER_QUEUED: usize = 16;

/// A read of one record or a page.
#[derive(Debug)]
pub(super) enum ReadCall {
    /// One record.
    Single(RecordKey),
    /// A page of records in the order of their keys.
    Page {
        /// The first record of the page.
        first: RecordKey,
    },
}

/// The next read and its call.
pub(super) struct NextRead {
    /// The read.
    pub(super) read: ReadCall,
    /// The call to the state service.
    pub(super) store_call: StoreCall,
}

/// Records to read. Reads of final state records and of open records alternate.
pub(super) struct ReadQueue {
    final_states: KeyScan,
    open: KeyScan,
    was_final_state_read_last: bool,
}

impl ReadQueue {
    /// An empty queue of at most `max_len` records of each kind. A record that does not fit is queued by
    /// a later poll of its job.
    pub(super) fn new(max_len: usize) -> ReadQueue {
        ReadQueue {
            final_states: KeyScan::new(max_len),
            open: KeyScan::new(max_len),
            was_final_state_read_last: false,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.final_states.queued.is_empty() && self.open.queued.is_empty()
    }

    fn scan_mut(&mut self, kind: RecordKind) -> &mut KeyScan {
        match kind {
            RecordKind::FinalState => &mut self.final_states,
            RecordKind::Open => &mut self.open,
        }
    }

    /// Queues a record.
    pub(super) fn push(&mut self, key: &RecordKey) {
        self.scan_mut(key.kind).push(&key.job);
    }

    /// Removes the next read from the queue: a page if more than one record of its kind is queued, or if
    /// more than one open record is `expected` to be queued soon.
    pub(super) fn pop(&mut self, expected: usize) -> Option<NextRead> {
        let has_final_states = !self.final_states.queued.is_empty();
        self.was_final_state_read_last =
            has_final_states && (self.open.queued.is_empty() || !self.was_final_state_read_last);
        let kind = if self.was_final_state_read_last {
            RecordKind::FinalState
        } else {
            RecordKind::Open
        };
        let scan = self.scan_mut(kind);
        let queued = match kind {
            RecordKind::FinalState => scan.queued.len(),
            RecordKind::Open => scan.queued.len().max(expected),
        };
        let job = scan.pop()?;
        let key = RecordKey { kind, job };
        let store_key = key.store_key();
        if queued == 1 {
            return Some(NextRead {
                read: ReadCall::Single(key),
                store_call: StoreCall::Read(store_key),
            });
        }
        Some(NextRead {
            read: ReadCall::Page { first: key },
            store_call: StoreCall::List {
                under: kind.prefix().to_string(),
                after: key_before(&store_key),
                limit: MAX_PAGE_LEN.min(PAGE_LEN_PER_QUEUED * queued),
            },
        })
    }

    /// Removes and returns the jobs whose records a page covers. The next page of this kind starts after
    /// them.
    pub(super) fn take_range(&mut self, range: &PageRange) -> BTreeSet<String> {
        self.scan_mut(range.kind).take_range(range)
    }
}

/// Queued records of one kind. They are read in the order of their keys, in pages that each continue
/// after the previous one, so every queued record is read within one pass over the keys.
struct KeyScan {
    max_len: usize,
    /// The ids of the jobs.
    queued: BTreeSet<String>,
    /// The last job of the last page.
    cursor: String,
}

impl KeyScan {
    fn new(max_len: usize) -> KeyScan {
        KeyScan {
            max_len: max_len.max(1),
            queued: BTreeSet::new(),
            cursor: String::new(),
        }
    }

    fn push(&mut self, job: &str) {
        if self.queued.len() < self.max_len {
            self.queued.insert(job.to_string());
        }
    }

    fn pop(&mut self) -> Option<String> {
        let from_cursor = self.queued.range(self.cursor.clone()..).next();
        let job = from_cursor.or_else(|| self.queued.first())?.clone();
        self.queued.remove(&job);
        Some(job)
    }

    fn take_range(&mut self, range: &PageRange) -> BTreeSet<String> {
        let queued = std::mem::take(&mut self.queued).into_iter();
        let (covered, rest): (BTreeSet<String>, BTreeSet<String>) =
            queued.partition(|job| range.contains_job(job));
        self.queued = rest;
        self.cursor = range.last.map_or(String::new(), str::to_string);
        covered
    }
}

/// A key that sorts shortly before this key. A list that starts after it includes this key and almost
/// no earlier ones.
fn key_before(key: &str) -> String {
    let mut before = key.to_string();
    let Some(last) = before.pop() else {
        return before;
    };
    let previous = char::from_u32(u32::from(last).saturating_sub(1));
    if let Some(previous) = previous.filter(char::is_ascii_graphic) {
        before.push(previous);
        before.push('~');
    }
    before
}
