//! The answers to requests, of this controller and of others, and their HTTP form.

use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::TOO_MANY_REQUESTS;
use serde::Serialize;
use serde_json::{json, Value};

/// Seconds after which a client is to retry, unless the reason says otherwise.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// Why a request can't be answered now, and is to be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The node has no capacity for it.
    Busy,
    /// Neither this node nor another one that was asked reaches the state service.
    NoStateService,
    /// The rate limit of the state service is exceeded.
    StateServiceLimit,
    /// The active cluster version changed while the request was under way.
    VersionRaised,
    /// The request needs a feature that the upgrade under way opens once it is finalized.
    NotFinalized,
    /// The machine types are not known yet.
    NoMachineTypes,
    /// The submission met another one of the same job whose record can't be read yet.
    JustAccepted,
    /// There are more polls than the rate limit allows to answer; this one takes precedence when it
    /// is repeated.
    TooManyPolls {
        /// Seconds after which to repeat it.
        retry_after_s: u32,
    },
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job that was accepted before.
    Known(JobStatus),
    /// The submission is accepted. A job with a cancelled dependency is cancelled at once.
    Accepted {
        /// The id of the job.
        job: String,
        /// The state in which it was accepted.
        state: JobState,
    },
    /// The cancellation is on record.
    Cancelled {
        /// The id of the job.
        job: String,
    },
    /// No such job was ever accepted.
    NotFound,
    /// The submission can't be parsed, or is too large; with the reason.
    Malformed(String),
    /// The job can never run; with the reason.
    CannotRun(String),
    /// The request can't be answered now.
    RetryLater(RetryReason),
    /// The answer of another controller, passed through.
    FromPeer(PeerAnswer),
}

impl RetryReason {
    /// The error text in the response.
    fn text(self) -> &'static str {
        match self {
            RetryReason::Busy => "too much is asked at once",
            RetryReason::NoStateService => "the state service is not reached",
            RetryReason::StateServiceLimit => "more is asked than the state service does",
            RetryReason::VersionRaised => "the cluster version has changed just now",
            RetryReason::NotFinalized => "is taken once the upgrade under way is finalized",
            RetryReason::NoMachineTypes => "the machine types are not known yet",
            RetryReason::JustAccepted => "the job is just being accepted",
            RetryReason::TooManyPolls { .. } => "more is asked than can be looked up now",
        }
    }

    /// Seconds after which a retry makes sense.
    fn retry_after_s(self) -> u32 {
        match self {
            RetryReason::TooManyPolls { retry_after_s } => retry_after_s,
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

    /// Seconds after which a retry makes sense.
    pub fn retry_after(&self) -> Option<u32> {
        match self {
            Answer::RetryLater(reason) => Some(reason.retry_after_s()),
            Answer::FromPeer(answer) => answer.retry_after,
            _ => None,
        }
    }

    /// The end of the job that the answer reports, on the authority of the state service.
    pub(super) fn reported_end(&self) -> Option<JobState> {
        match self {
            Answer::Known(status) => Some(status.state),
            Answer::Accepted { state, .. } => Some(*state),
            Answer::Cancelled { .. } => Some(JobState::Cancelled),
            _ => None,
        }
        .filter(|state| state.is_final())
    }
}

/// The answer of another controller to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON text of the response body.
    pub body: Vec<u8>,
    /// Seconds after which a retry makes sense.
    pub retry_after: Option<u32>,
}

impl PeerAnswer {
    /// Whether the other controller could not answer.
    pub(super) fn is_server_error(&self) -> bool {
        self.status >= 500
    }

    /// Whether it answers the request, rather than asking for a retry.
    pub(super) fn is_final(&self) -> bool {
        !self.is_server_error() && self.status != TOO_MANY_REQUESTS
    }

    /// The end of the job that the answer reports.
    pub(super) fn reported_end(&self) -> Option<JobState> {
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

/// The status of a job whose task counts are not known.
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
