//! Which records of jobs are read, by key or by a range of keys.

use crate::storage::records::{FINAL_STATE_PREFIX, OPEN_PREFIX};

/// The kinds of a job's records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RecordKind {
    /// How the job ended.
    End,
    /// The specification of a job that has not ended.
    Open,
}

impl RecordKind {
    /// The prefix of all keys of the kind.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            RecordKind::End => FINAL_STATE_PREFIX,
            RecordKind::Open => OPEN_PREFIX,
        }
    }
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RecordKey {
    pub(super) kind: RecordKind,
    pub(super) job: String,
}

impl RecordKey {
    /// The end record of a job.
    pub(super) fn end(job: &str) -> RecordKey {
        RecordKey {
            kind: RecordKind::End,
            job: job.to_string(),
        }
    }

    /// The open record of a job.
    pub(super) fn open(job: &str) -> RecordKey {
        RecordKey {
            kind: RecordKind::Open,
            job: job.to_string(),
        }
    }

    /// The key in the state service.
    pub(super) fn store_key(&self) -> String {
        format!("{}{}", self.kind.prefix(), self.job)
    }
}

/// The records that a page is authoritative for: one of them that is not in the page does not exist.
pub(super) struct PageRange<'a> {
    pub(super) kind: RecordKind,
    /// The first job of the range.
    pub(super) first: &'a str,
    /// The last job of the range; `None` for a range without an upper bound.
    pub(super) last: Option<&'a str>,
}

impl PageRange<'_> {
    /// Whether the range comprises the record.
    pub(super) fn contains(&self, key: &RecordKey) -> bool {
        key.kind == self.kind && self.contains_job(&key.job)
    }

    /// Whether the range comprises the record of its kind of the job.
    pub(super) fn contains_job(&self, job: &str) -> bool {
        self.first <= job && self.last.is_none_or(|last| job <= last)
    }
}
