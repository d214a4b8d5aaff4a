//! An accepted job that has not ended.

use crate::protocol::job::JobSpec;
use serde::{Deserialize, Serialize};

/// An accepted job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredOpen", into = "StoredOpen")]
pub struct OpenRecord {
    /// The job's description.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds of the time of day.
    pub at_ms: u64,
    /// Whether its user has cancelled it. Its tasks are being stopped.
    pub cancelled: bool,
}

/// The stored form of an [`OpenRecord`]. A version that does not know prerequisites would start the
/// job at once; therefore a job with prerequisites allows no machine type as far as such a version can
/// read, so that it keeps the job pending.
#[derive(Serialize, Deserialize)]
struct StoredOpen {
    spec: JobSpec,
    at_ms: u64,
    #[serde(default)]
    cancelled: bool,
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "waits")]
    prerequisites: Option<StoredPrerequisites>,
}

/// The prerequisites of a job, and the machine types that it allows once they are done.
#[derive(Serialize, Deserialize)]
struct StoredPrerequisites {
    #[serde(rename = "on")]
    jobs: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
}

impl From<StoredOpen> for OpenRecord {
    fn from(stored: StoredOpen) -> OpenRecord {
        let mut spec = stored.spec;
        if let Some(prerequisites) = stored.prerequisites {
            spec.waits_on = prerequisites.jobs;
            spec.types = prerequisites.types;
        }
        OpenRecord {
            spec,
            at_ms: stored.at_ms,
            cancelled: stored.cancelled,
        }
    }
}

impl From<OpenRecord> for StoredOpen {
    fn from(record: OpenRecord) -> StoredOpen {
        let mut spec = record.spec;
        let prerequisites = (!spec.waits_on.is_empty()).then(|| StoredPrerequisites {
            jobs: std::mem::take(&mut spec.waits_on),
            types: spec.types.replace(Vec::new()),
        });
        StoredOpen {
            spec,
            at_ms: record.at_ms,
            cancelled: record.cancelled,
            prerequisites,
        }
    }
}

impl OpenRecord {
    /// The record of a job that is accepted at a time of day.
    pub fn accepted(spec: JobSpec, at_ms: u64) -> OpenRecord {
        OpenRecord {
            spec,
            at_ms,
            cancelled: false,
        }
    }

    /// The record of the job after its user has cancelled it. If it were larger than `max_bytes`, as
    /// an old record is under smaller limits, it loses what only the placement of tasks needs.
    pub fn into_cancelled(mut self, max_bytes: usize) -> OpenRecord {
        self.cancelled = true;
        if self.bytes() > max_bytes {
            self.spec.types = None;
            self.spec.zone = None;
            self.spec.waits_on = Vec::new();
            self.spec.class = String::new();
            self.spec.image = String::new();
        }
        self
    }

    /// The size of the record's JSON text.
    pub fn bytes(&self) -> usize {
        serde_json::to_string(self).map_or(usize::MAX, |text| text.len())
    }
}
