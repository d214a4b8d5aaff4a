//! Answers to requests, from this controller or a peer, and their HTTP form.

use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::TOO_MANY_REQUESTS;
use serde::Serialize;
use serde_json::{json, Value};

/// The default value of Retry-After, in seconds.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// The value of Retry-After while too many jobs are open, in seconds.
const TOO_MANY_JOBS_RETRY_AFTER_S: u32 = 5;

/// Why a request can't be answered now and has to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// This controller is overloaded.
    Busy,
    /// The state service is unavailable to this controller and to the peers that were tried.
    StateServiceUnavailable,
    /// The rate limit of the state service is exceeded.
    StateServiceLimit,
    /// The active cluster version changed while the request was in progress.
    VersionChanged,
    /// The request needs a feature that is unavailable until the upgrade in progress is finalized.
    NotFinalized,
    /// The machine types are not known yet.
    NoMachineTypes,
    /// The open jobs take as much memory as a leader has for them.
    TooManyOpenJobs,
    /// The submission conflicted with another one of the same job whose record can't be read yet.
    JustAccepted,
    /// There are more polls than the rate limit allows. A retry takes precedence over newer polls.
    TooManyPolls {
        /// Seconds after which to retry.
        retry_after_s: u32,
    },
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The status of a job that was accepted before.
    Known(JobStatus),
    /// The submission is accepted. If a dependency is cancelled, so is the job.
    Accepted {
        /// The id of the job.
        job: String,
        /// The state of the job: pending or cancelled.
        state: JobState,
    },
    /// The cancellation is recorded.
    Cancelled {
        /// The id of the job.
        job: String,
    },
    /// The job was never accepted.
    NotFound,
    /// The submission can't be parsed or is too large, for this reason.
    Malformed(String),
    /// The job can never run, for this reason.
    CannotRun(String),
    /// The request can't be answered now.
    RetryLater(RetryReason),
    /// The answer of a peer, passed on unchanged.
    FromPeer(PeerAnswer),
}

impl RetryReason {
    /// The error text of the response.
    fn text(self) -> &'static str {
        match self {
            RetryReason::Busy => "the controller is overloaded",
            RetryReason::StateServiceUnavailable => "the state service is unavailable",
            RetryReason::StateServiceLimit => "the rate limit of the state service is exceeded",
            RetryReason::VersionChanged => "the cluster version has just changed",
            RetryReason::NotFinalized => {
                "the request needs a feature that is unavailable until the upgrade is finalized"
            }
            RetryReason::NoMachineTypes => "the machine types are not known yet",
            RetryReason::TooManyOpenJobs => "too many jobs are open",
            RetryReason::JustAccepted => {
                "the job was just accepted, and its record cannot be read yet"
            }
            RetryReason::TooManyPolls { .. } => "too many job status queries",
        }
    }

    /// The value of Retry-After, in seconds.
    fn retry_after_s(self) -> u32 {
        match self {
            RetryReason::TooManyPolls { retry_after_s } => retry_after_s,
            RetryReason::TooManyOpenJobs => TOO_MANY_JOBS_RETRY_AFTER_S,
            _ => DEFAULT_RETRY_AFTER_S,
        }
    }
}

impl Answer {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Answer::Known(_) | Answer::Cancelled { .. } => 200,
            Answer::Accepted { .. } => 201,
            Answer::NotFound => 404,
            Answer::Malformed(_) => 400,
            Answer::CannotRun(_) => 422,
            Answer::RetryLater(_) => 503,
            Answer::FromPeer(answer) => answer.status,
        }
    }

    /// The JSON text of the response body.
    pub fn body(self) -> Vec<u8> {
        let error = |text: String| json!({ "error": text });
        let value: Value = match self {
            Answer::Known(status) => return to_json(&status),
            Answer::Accepted { job, state } => json!({"name_id": job, "status": state}),
            Answer::Cancelled { job } => {
                json!({"name_id": job, "status": JobState::Cancelled})
            }
            Answer::NotFound => error("no such job".to_string()),
            Answer::Malformed(text) | Answer::CannotRun(text) => error(text),
            Answer::RetryLater(reason) => error(reason.text().to_string()),
            Answer::FromPeer(answer) => return answer.body,
        };
        to_json(&value)
    }

    /// The value of Retry-After, in seconds.
    pub fn retry_after(&self) -> Option<u32> {
        match self {
            Answer::RetryLater(reason) => Some(reason.retry_after_s()),
            Answer::FromPeer(answer) => answer.retry_after,
            _ => None,
        }
    }

    /// The final state of the job, if the answer reports one that the state service has recorded.
    pub(super) fn reported_final_state(&self) -> Option<JobState> {
        match self {
            Answer::Known(status) => Some(status.state),
            Answer::Accepted { state, .. } => Some(*state),
            Answer::Cancelled { .. } => Some(JobState::Cancelled),
            _ => None,
        }
        .filter(|state| state.is_final())
    }
}

/// The answer of a peer to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON text of the response body.
    pub body: Vec<u8>,
    /// The value of Retry-After, in seconds.
    pub retry_after: Option<u32>,
}

impl PeerAnswer {
    /// Whether the peer failed to answer the request.
    pub(super) fn is_server_error(&self) -> bool {
        self.status >= 500
    }

    /// Whether this is an answer to the request, rather than an error that calls for a retry.
    pub(super) fn is_final(&self) -> bool {
        !self.is_server_error() && self.status != TOO_MANY_REQUESTS
    }

    /// The final state of the job, if the answer reports one.
    pub(super) fn reported_final_state(&self) -> Option<JobState> {
        let status: JobStatus = serde_json::from_slice(&self.body).ok()?;
        Some(status.state).filter(|state| self.status == 200 && state.is_final())
    }
}

impl From<Answer> for PeerAnswer {
    fn from(answer: Answer) -> PeerAnswer {
        PeerAnswer {
            status: answer.status(),
            retry_after: answer.retry_after(),
            body: answer.body(),
        }
    }
}

/// The status of a job without its task counts, which are reported as zero.
pub(super) fn status_without_counts(job: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: job.to_string(),
        state,
        done: 0,
        running: 0,
    }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("serializing plain data cannot fail")
}
