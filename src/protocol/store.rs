//! Requests and responses of the state service: a small, strongly consistent key-value store.
//!
//! Every applied transaction increments the *revision* of the store. The *version* of a key is the
//! revision of its last change; version 0 stands for an absent key.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::records::VERSION_KEY;
use std::fmt;

/// The id of a lease. When a lease expires or is released, the keys attached to it are deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(out)
    }
}

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize)]
pub struct VersionedValue {
    /// The key.
    pub key: String,
    /// The value, as JSON.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of the keys under a prefix, ordered by key.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The keys of this page.
    #[serde(rename = "pairs")]
    pub items: Vec<VersionedValue>,
    /// Whether there are keys after this page.
    #[serde(rename = "truncated")]
    pub more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "tally")]
    pub revision: u64,
}

/// A comparison in a [`Transaction`]: it holds if the key has exactly this version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compare {
    /// The key to compare.
    pub key: String,
    /// The required version; 0 requires the key to be absent.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write operation of a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum WriteOperation {
    /// Sets the value of a key.
    Put {
        /// The key to write.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease to attach the key to; `None` detaches the key from any lease. The key is deleted
        /// when the lease expires or is released.
        #[serde(rename = "mooring", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A compare-and-swap transaction: if all comparisons hold, all operations are applied atomically, at one
/// revision; otherwise none is.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Transaction {
    /// The comparisons that must hold.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// The write operations. A transaction without operations only compares.
    #[serde(rename = "apply", skip_serializing_if = "Vec::is_empty")]
    pub operations: Vec<WriteOperation>,
}

impl Transaction {
    /// An empty transaction, to which callers add operations. If the write fence has read the record of
    /// the cluster version, the transaction is conditional on that record being unchanged.
    pub fn at_version(write_fence: &WriteFence) -> Self {
        let empty = Transaction::default();
        match write_fence.mod_revision() {
            Some(version) => empty.version(VERSION_KEY, version),
            None => empty,
        }
    }

    /// Adds the condition that a key is absent.
    pub fn absent(self, key: impl Into<String>) -> Self {
        self.version(key, 0)
    }

    /// Adds the condition that a key has a version.
    pub fn version(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a put of a key that is attached to no lease.
    pub fn put(self, key: impl Into<String>, value: Value) -> Self {
        self.push_put(key.into(), value, None)
    }

    /// Adds a put of a key that is attached to a lease.
    pub fn put_leased(self, key: impl Into<String>, value: Value, lease: LeaseId) -> Self {
        self.push_put(key.into(), value, Some(lease))
    }

    fn push_put(mut self, key: String, value: Value, lease: Option<LeaseId>) -> Self {
        self.operations
            .push(WriteOperation::Put { key, value, lease });
        self
    }

    /// Adds the deletion of a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.operations
            .push(WriteOperation::Delete { key: key.into() });
        self
    }
}

/// The response to a transaction that was applied.
#[derive(Debug, Deserialize)]
pub struct TransactionApplied {
    /// The revision of all of its writes, and so the version of every key that it has put.
    #[serde(rename = "tally")]
    pub revision: u64,
}

/// The response to a transaction with a failed comparison.
#[derive(Debug, Deserialize)]
pub struct TransactionConflict {
    /// The keys whose comparisons failed.
    pub failed: Vec<String>,
}

/// The response to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// The id of the new lease.
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

/// A change that a watch reports: either a put or a deletion.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key that was put.
    #[serde(default, rename = "write")]
    pub put: Option<String>,
    /// The key that was deleted, by a transaction or at the end of its lease.
    #[serde(default)]
    pub delete: Option<String>,
    /// The new value of a put; null for a deletion.
    #[serde(default, rename = "v")]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct Events {
    /// The store's revision, to be passed to the next watch.
    #[serde(rename = "tally")]
    pub revision: u64,
    /// All changes under the watched prefix after the requested revision; empty if the watch timed out
    /// before any change.
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
