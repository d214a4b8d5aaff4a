//! The state service's requests and answers.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::records::VERSION;

#[derive(Clone, Debug, Deserialize)]
pub struct VersionedValue {
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    #[serde(rename = "pairs")]
    pub items: Vec<VersionedValue>,
    #[serde(rename = "truncated")]
    pub more: bool,
    #[serde(rename = "tally")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compare {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "mooring", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Transaction {
    #[serde(rename = "if")]
    pub conditions: Vec<Compare>,
    #[serde(rename = "apply", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Transaction {
    /// One that holds only at the cluster version that its writer knows.
    pub fn at_version(clearance: &WriteFence) -> Self {
        let none = Transaction::default();
        match clearance.stamp() {
            Some(stamp) => none.version(VERSION, stamp),
            None => none,
        }
    }

    pub fn absent(self, key: impl Into<String>) -> Self {
        self.version(key, 0)
    }

    pub fn version(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Compare {
            key: key.into(),
            version,
        });
        self
    }

    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.changes.push(Change::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }

    /// A change that lasts as long as the lease does.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.changes.push(Change::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { key: key.into() });
        self
    }
}

#[derive(Debug, Deserialize)]
pub struct Applied {
    #[serde(rename = "tally")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct Refused {
    pub failed: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct Granted {
    #[serde(rename = "mooring")]
    pub lease: u64,
}

/// One change seen by a watch: a put where there is a value, else a deletion.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(default, rename = "write")]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default, rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct Events {
    #[serde(rename = "tally")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
