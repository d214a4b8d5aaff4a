//! Requests and responses of the state service: a small, strongly consistent key-value store.
//!
//! Every applied transaction increments the store's *revision*. The *version* of a key is the revision
//! of its last change; version 0 stands for a key that is absent.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::records::VERSION_KEY;
use std::fmt;

/// The id of a lease. Keys attached to a lease are deleted when it expires or is released.
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

/// A page of the keys under a prefix, in the order of their names.
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

/// A condition of a [`Transaction`]: the key has exactly this version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compare {
    /// The key to compare.
    pub key: String,
    /// The version that it must have; 0 if it must be absent.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A write that a [`Transaction`] carries out.
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
        /// The lease to attach the key to: when the lease ends, the key is deleted. Without one, the
        /// key is detached from any lease.
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

/// An atomic compare-and-swap: if every comparison holds, all operations are applied at one
/// revision, else none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Transaction {
    /// The conditions under which the operations are applied.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// The writes. A transaction without any only compares.
    #[serde(rename = "apply", skip_serializing_if = "Vec::is_empty")]
    pub operations: Vec<WriteOperation>,
}

impl Transaction {
    /// A transaction without operations that is conditional on the cluster version that the write
    /// fence has read, if there is one.
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

    /// Adds a write of a key that is attached to no lease.
    pub fn put(self, key: impl Into<String>, value: Value) -> Self {
        self.push_put(key.into(), value, None)
    }

    /// Adds a write of a key that is deleted when the lease ends.
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

/// The response to a transaction of which a comparison failed.
#[derive(Debug, Deserialize)]
pub struct TransactionConflict {
    /// The keys that have other versions than those compared with.
    pub failed: Vec<String>,
}

/// The response to the request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// The id of the new lease.
    #[serde(rename = "mooring")]
    pub lease: LeaseId,
}

/// One change reported by a watch: either a put or a deletion.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key that was put.
    #[serde(default, rename = "write")]
    pub put: Option<String>,
    /// The key that was deleted, by a transaction or with its lease.
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
    /// The store's revision, from which the next watch goes on.
    #[serde(rename = "tally")]
    pub revision: u64,
    /// All changes under the watched prefix after the given revision; empty if there were none until
    /// the watch timed out.
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
