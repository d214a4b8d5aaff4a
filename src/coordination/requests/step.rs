//! Calls to the state service, one at a time, and what a part of a request makes of the answers.

use crate::protocol::store::{Page, Transaction, VersionedValue};
use crate::storage::key_value_store::{CommitOutcome, Unavailable};
use serde::de::DeserializeOwned;
use stairstage_upgrade::records::VERSION;

/// What the state service is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// The value of a key: [`StoreAnswer::Read`].
    Read(String),
    /// The first keys under a prefix that come after another one: [`StoreAnswer::Listed`].
    List {
        under: String,
        after: String,
        limit: usize,
    },
    /// [`StoreAnswer::Committed`].
    Commit(Transaction),
}

/// What has come of a call.
#[derive(Debug)]
pub enum StoreAnswer {
    Read(Result<Option<VersionedValue>, Unavailable>),
    Listed(Result<Page, Unavailable>),
    Committed(CommitOutcome),
}

impl StoreAnswer {
    /// The value that was read, with its version; what cannot be read as `T` counts as absent.
    pub(super) fn value<T: DeserializeOwned>(self) -> Result<Option<(T, u64)>, Unavailable> {
        let StoreAnswer::Read(read) = self else {
            return Err(Unavailable);
        };
        Ok(read?.and_then(|item| {
            let value = serde_json::from_value(item.value).ok()?;
            Some((value, item.version))
        }))
    }

    /// What became of the transaction that was committed.
    pub(super) fn outcome(self) -> CommitOutcome {
        match self {
            StoreAnswer::Committed(outcome) => outcome,
            StoreAnswer::Read(_) | StoreAnswer::Listed(_) => CommitOutcome::Refused,
        }
    }
}

/// The next call, or the result.
#[derive(Debug)]
pub(super) enum Step<T> {
    Call(StoreCall),
    Finished(T),
}

/// Why a part of a request can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The state service does not let this node do it; another may.
    Unavailable,
    /// The state service has been asked for more than it does, by whichever node.
    Limited,
    /// The active cluster version is another one than this node knows.
    VersionRaised,
}

/// Whether a transaction failed for the cluster version.
pub(super) fn is_version_raised(failed: &[String]) -> bool {
    failed.iter().any(|key| key == VERSION)
}

impl From<Unavailable> for Stop {
    fn from(Unavailable: Unavailable) -> Stop {
        Stop::Unavailable
    }
}

/// How a part of a request goes on.
pub(super) type Progress<T> = Result<Step<T>, Stop>;

impl<T> Step<T> {
    pub(super) fn map<U>(self, of: impl FnOnce(T) -> U) -> Step<U> {
        match self {
            Step::Call(call) => Step::Call(call),
            Step::Finished(result) => Step::Finished(of(result)),
        }
    }
}
