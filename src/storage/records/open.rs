//! The record of an open job.

use crate::protocol::job::JobSpec;
use serde::{Deserialize, Serialize};

/// An open job: accepted, and not finished.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredOpen", into = "StoredOpen")]
pub struct OpenRecord {
    /// The job's specification.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the job's user has cancelled it; its tasks are then being stopped.
    pub cancelled: bool,
}

/// The stored form of an [`OpenRecord`]. A version without support for dependencies would start a
/// dependent job at once. The stored specification of such a job therefore allows no machine type, so that
/// such a version leaves the job pending; the allowed types are stored in `waits`.
#[derive(Serialize, Deserialize)]
struct StoredOpen {
    spec: JobSpec,
    at_ms: u64,
    #[serde(default)]
    cancelled: bool,
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "waits")]
    dependencies: Option<StoredDependencies>,
}

/// The dependencies of a job, and the machine types that its specification allows.
#[derive(Serialize, Deserialize)]
struct StoredDependencies {
    #[serde(rename = "on")]
    jobs: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
}

impl From<StoredOpen> for OpenRecord {
    fn from(stored: StoredOpen) -> OpenRecord {
        let mut spec = stored.spec;
        if let Some(dependencies) = stored.dependencies {
            spec.waits_on = dependencies.jobs;
            spec.types = dependencies.types;
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
        let dependencies = (!spec.waits_on.is_empty()).then(|| StoredDependencies {
            jobs: std::mem::take(&mut spec.waits_on),
            types: spec.types.replace(Vec::new()),
        });
        StoredOpen {
            spec,
            at_ms: record.at_ms,
            cancelled: record.cancelled,
            dependencies,
        }
    }
}

impl OpenRecord {
    /// The record of a job that is accepted at `at_ms`, in milliseconds since the Unix epoch.
    pub fn accepted(spec: JobSpec, at_ms: u64) -> OpenRecord {
        OpenRecord {
            spec,
            at_ms,
            cancelled: false,
        }
    }

    /// The record of the job after its user has cancelled it. A record larger than `max_bytes`, which
    /// occurs if it was written under larger limits, drops the fields that only placement needs.
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
