//! Records that are read for polls, and in which order.

use crate::coordination::requests::step::{StoreAnswer, StoreCall};
use crate::protocol::job::JobState;
use crate::protocol::store::VersionedValue;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{EndRecord, OpenRecord, END_PREFIX, OPEN_PREFIX};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;

/// Records in a page at the most, and for each that is wanted: reading what nobody asks for costs time.
pub(super) const MAX_LISTED: usize = 400;
const LISTED_FOR_ONE: usize = 16;

/// What is read of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RecordKind {
    End,
    /// Its description.
    Open,
}

impl RecordKind {
    fn prefix(self) -> &'static str {
        match self {
            RecordKind::End => END_PREFIX,
            RecordKind::Open => OPEN_PREFIX,
        }
    }

    fn key(self, job: &str) -> String {
        format!("{}{job}", self.prefix())
    }
}

/// A record that is to be read.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Read {
    pub(super) kind: RecordKind,
    pub(super) job: String,
}

impl Read {
    pub(super) fn end(job: &str) -> Read {
        let job = job.to_string();
        Read {
            kind: RecordKind::End,
            job,
        }
    }

    pub(super) fn open(job: &str) -> Read {
        let job = job.to_string();
        Read {
            kind: RecordKind::Open,
            job,
        }
    }
}

/// What a call reads.
#[derive(Debug)]
pub(super) enum ReadCall {
    One(Read),
    /// A page of records in the order of their keys, from this one on.
    From(Read),
}

/// Reads that are due; ends and descriptions take turns.
pub(super) struct Reads {
    ends: Sweep,
    open: Sweep,
    read_end_last: bool,
}

impl Reads {
    /// At most `most` of each kind wait; what does not fit is wanted again by the next poll.
    pub(super) fn new(most: usize) -> Reads {
        Reads {
            ends: Sweep::new(most),
            open: Sweep::new(most),
            read_end_last: false,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.wanted.is_empty() && self.open.wanted.is_empty()
    }

    fn sweep(&mut self, kind: RecordKind) -> &mut Sweep {
        match kind {
            RecordKind::End => &mut self.ends,
            RecordKind::Open => &mut self.open,
        }
    }

    pub(super) fn add(&mut self, read: &Read) {
        self.sweep(read.kind).add(&read.job);
    }

    /// The next call.
    pub(super) fn next(&mut self) -> Option<(ReadCall, StoreCall)> {
        let ends_wait = !self.ends.wanted.is_empty();
        self.read_end_last = ends_wait && (self.open.wanted.is_empty() || !self.read_end_last);
        let kind = if self.read_end_last {
            RecordKind::End
        } else {
            RecordKind::Open
        };
        let sweep = self.sweep(kind);
        let wanted = sweep.wanted.len();
        let job = sweep.next()?;
        let key = kind.key(&job);
        let read = Read { kind, job };
        if wanted == 1 {
            return Some((ReadCall::One(read), StoreCall::Read(key)));
        }
        let list = StoreCall::List {
            under: kind.prefix().to_string(),
            after: key_before(&key),
            limit: MAX_LISTED.min(LISTED_FOR_ONE * wanted),
        };
        Some((ReadCall::From(read), list))
    }

    /// A page has told of all records from the first to the last of these, or to the last of all.
    pub(super) fn covered(&mut self, first: &Read, last: Option<&str>) {
        self.sweep(first.kind).covered(&first.job, last);
    }
}

/// Records of one kind, read in the order of their keys: many neighbours with each request, from
/// where the last page ended. So each comes within a round of as many requests as there are pages,
/// however many are wanted.
struct Sweep {
    most: usize,
    wanted: BTreeSet<String>,
    cursor: String,
}

impl Sweep {
    fn new(most: usize) -> Sweep {
        Sweep {
            most: most.max(1),
            wanted: BTreeSet::new(),
            cursor: String::new(),
        }
    }

    fn add(&mut self, job: &str) {
        if self.wanted.len() < self.most {
            self.wanted.insert(job.to_string());
        }
    }

    fn next(&mut self) -> Option<String> {
        let behind = self.wanted.range(self.cursor.clone()..).next();
        let job = behind.or_else(|| self.wanted.first())?.clone();
        self.wanted.remove(&job);
        Some(job)
    }

    fn covered(&mut self, first: &str, last: Option<&str>) {
        self.wanted.retain(|job| !is_covered(job, first, last));
        self.cursor = last.map_or(String::new(), str::to_string);
    }
}

/// Whether a page from `first` to `last`, or to the last of all, tells of a job.
pub(super) fn is_covered(job: &str, first: &str, last: Option<&str>) -> bool {
    first <= job && last.is_none_or(|last| job <= last)
}

/// A key that comes before this one, and after almost all that come before it: lists begin *after* a
/// key.
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

/// What a record says of a job.
pub(super) enum Found {
    Ended(JobState),
    Open {
        waits_on: Vec<String>,
        /// Its end is on record then too.
        cancelled: bool,
    },
}

/// Records in the order of their keys.
pub(super) struct FoundPage {
    pub(super) found: Vec<(String, Found)>,
    /// The last job that the page tells of, if there are more behind it.
    pub(super) last: Option<String>,
}

fn found(kind: RecordKind, value: Value) -> Option<Found> {
    match kind {
        RecordKind::End => ended(decoded(value)?),
        RecordKind::Open => Some(open(decoded(value)?)),
    }
}

fn found_in_page(kind: RecordKind, item: VersionedValue) -> Option<(String, Found)> {
    let job = item.key.strip_prefix(kind.prefix())?.to_string();
    Some((job, found(kind, item.value)?))
}

fn decoded<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn ended(record: EndRecord) -> Option<Found> {
    record.state.is_end().then_some(Found::Ended(record.state))
}

fn open(record: OpenRecord) -> Found {
    Found::Open {
        waits_on: record.spec.waits_on,
        cancelled: record.cancelled,
    }
}

/// What was read with one key; `None` if there is nothing that can be read.
pub(super) fn found_one(
    kind: RecordKind,
    answer: StoreAnswer,
) -> Result<Option<Found>, Unavailable> {
    Ok(match kind {
        RecordKind::End => answer.value()?.and_then(|(record, _)| ended(record)),
        RecordKind::Open => answer.value()?.map(|(record, _)| open(record)),
    })
}

/// What a page says.
pub(super) fn found_page(kind: RecordKind, answer: StoreAnswer) -> Result<FoundPage, Unavailable> {
    let StoreAnswer::Listed(listed) = answer else {
        return Err(Unavailable);
    };
    let page = listed?;
    let last_key = page.items.last().map(|item| item.key.clone());
    let last = last_key.filter(|_| page.more);
    Ok(FoundPage {
        last: last.and_then(|key| key.strip_prefix(kind.prefix()).map(str::to_string)),
        found: page
            .items
            .into_iter()
            .filter_map(|item| found_in_page(kind, item))
            .collect(),
    })
}
