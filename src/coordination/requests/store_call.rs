//! Calls to the state service and their responses.

use crate::protocol::store::{Page, Transaction, VersionedValue};
use crate::storage::key_value_store::{CommitOutcome, Unavailable};
use serde::de::DeserializeOwned;

/// A call to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read the value of a key; answered by [`StoreAnswer::Read`].
    Read(String),
    /// List the keys with a prefix that sort after another key; answered by [`StoreAnswer::Listed`].
    List {
        /// The prefix.
        under: String,
        /// The list starts after this key.
        after: String,
        /// The maximum number of keys in the page.
        limit: usize,
    },
    /// Commit a compare-and-swap transaction; answered by [`StoreAnswer::Committed`].
    Commit(Transaction),
}

/// The response to a [`StoreCall`].
#[derive(Debug)]
pub enum StoreAnswer {
    /// The value of a key, or `None` if the key does not exist.
    Read(Result<Option<VersionedValue>, Unavailable>),
    /// A page of keys and values.
    Listed(Result<Page, Unavailable>),
    /// The outcome of a transaction.
    Committed(CommitOutcome),
}

/// A value decoded from the state service.
pub(super) struct VersionedRecord<T> {
    /// The decoded value.
    pub(super) record: T,
    /// The version of its key.
    pub(super) version: u64,
}

impl StoreAnswer {
    /// Decodes the value that was read. A value that can't be decoded as `T` counts as absent.
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if the read failed, or the call was not a read.
    pub(super) fn decode<T: DeserializeOwned>(
        self,
    ) -> Result<Option<VersionedRecord<T>>, Unavailable> {
        let StoreAnswer::Read(read) = self else {
            return Err(Unavailable);
        };
        Ok(read?.and_then(|item| {
            let record = serde_json::from_value(item.value).ok()?;
            Some(VersionedRecord {
                record,
                version: item.version,
            })
        }))
    }

    /// The outcome of the transaction. An answer to another kind of call counts as
    /// [`CommitOutcome::Rejected`].
    pub(super) fn commit_outcome(self) -> CommitOutcome {
        match self {
            StoreAnswer::Committed(outcome) => outcome,
            StoreAnswer::Read(_) | StoreAnswer::Listed(_) => CommitOutcome::Rejected,
        }
    }
}
