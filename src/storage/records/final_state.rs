//! The record of a finished job.

use crate::protocol::job::JobState;
use serde::{Deserialize, Serialize};

/// The final state of a job. The record is write-once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinalStateRecord {
    /// The final state.
    pub state: JobState,
    /// When the record was written, in milliseconds since the Unix epoch. Earlier versions did not
    /// store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_ms: Option<u64>,
}

/// A finished job and its final state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFinalState {
    /// The job's id.
    pub job: String,
    /// The final state.
    pub state: JobState,
}

impl JobFinalState {
    /// The final state of a job.
    pub fn new(job: &str, state: JobState) -> JobFinalState {
        JobFinalState {
            job: job.to_string(),
            state,
        }
    }
}

impl FinalStateRecord {
    /// The record of a job that is cancelled at `at_ms`, in milliseconds since the Unix epoch.
    pub fn cancelled(at_ms: u64) -> FinalStateRecord {
        FinalStateRecord {
            state: JobState::Cancelled,
            at_ms: Some(at_ms),
        }
    }

    /// The JSON value to store.
    pub fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).expect("serializing plain data cannot fail")
    }
}
