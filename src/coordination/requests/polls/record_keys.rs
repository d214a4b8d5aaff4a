//! Keys and key ranges of the records of jobs.

use crate::storage::records::{FINAL_STATE_PREFIX, OPEN_PREFIX};

/// The kinds of a job's records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RecordKind {
    /// The final state of a finished job.
    FinalState,
    /// The specification of an open job.
    Open,
}

impl RecordKind {
    /// The prefix of the keys of this kind.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            RecordKind::FinalState => FINAL_STATE_PREFIX,
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
    /// The final state record of a job.
    pub(super) fn final_state(job: &str) -> RecordKey {
        RecordKey {
            kind: RecordKind::FinalState,
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

    /// The record's key in the state service.
    pub(super) fn store_key(&self) -> String {
        format!("{}{}", self.kind.prefix(), self.job)
    }
}

/// The range of records that a page covers: a record in this range that is not in the page does not
/// exist.
pub(super) struct PageRange<'a> {
    pub(super) kind: RecordKind,
    /// The first job of the range.
    pub(super) first: &'a str,
    /// The last job of the range; `None` for a range without an upper bound.
    pub(super) last: Option<&'a str>,
}

impl PageRange<'_> {
    /// Whether the range contains the record.
    pub(super) fn contains(&self, key: &RecordKey) -> bool {
        key.kind == self.kind && self.contains_job(&key.job)
    }

    /// Whether the range contains the job's record of this kind.
    pub(super) fn contains_job(&self, job: &str) -> bool {
        self.first <= job && self.last.is_none_or(|last| job <= last)
    }
}
