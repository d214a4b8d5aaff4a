//! The answers to users' requests, and those of other controllers.

use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::TOO_MANY_REQUESTS;
use serde_json::{json, Value};

/// Seconds after which a request that can't be answered now is worth repeating.
const RETRY_AFTER_S: u32 = 1;

/// Why a request can't be answered now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Busy,
    NoStateService,
    /// The state service is asked for more than it does.
    StateServiceLimit,
    /// The active cluster version has changed just now.
    VersionRaised,
    /// What is asked for is taken once the upgrade under way is finalized.
    NotFinalized,
    /// The machine types are not known yet.
    NoMachineTypes,
    /// Its acceptance has met another that is not to be seen yet.
    JustAccepted,
    /// More polls than the state service's requests suffice for; this one comes first then.
    TooManyPolls {
        retry_after_s: u32,
    },
}

/// What a user is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of a job that was accepted before.
    Known(JobStatus),
    /// The submission is accepted. A job that needs a cancelled one is cancelled at once.
    Accepted {
        job: String,
        state: JobState,
    },
    /// The cancellation is on record.
    Cancelled {
        job: String,
    },
    /// No such job was ever accepted.
    NotFound,
    /// The submission can't be read, or is too large.
    Malformed(String),
    /// The job can never run.
    CannotRun(String),
    Later(Reason),
    /// Whatever another controller has answered.
    FromPeer(PeerAnswer),
}

impl Reason {
    fn text(self) -> &'static str {
        match self {
            Reason::Busy => "too much is asked at once",
            Reason::NoStateService => "the state service is not reached",
            Reason::StateServiceLimit => "more is asked than the state service does",
            Reason::VersionRaised => "the cluster version has changed just now",
            Reason::NotFinalized => "is taken once the upgrade under way is finalized",
            Reason::NoMachineTypes => "the machine types are not known yet",
            Reason::JustAccepted => "the job is just being accepted",
            Reason::TooManyPolls { .. } => "more is asked than can be looked up now",
        }
    }

    fn retry_after_s(self) -> u32 {
        match self {
            Reason::TooManyPolls { retry_after_s } => retry_after_s,
            _ => RETRY_AFTER_S,
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
            Answer::Later(_) => 503,
            Answer::FromPeer(answer) => answer.status,
        }
    }

    /// The text of the body.
    pub fn body(self) -> Vec<u8> {
        let error = |why: String| json!({ "error": why });
        let value: Value = match self {
            Answer::Known(status) => return serde_json::to_vec(&status).expect("plain data"),
            Answer::Accepted { job, state } => json!({"name_id": job, "status": state}),
            Answer::Cancelled { job } => {
                json!({"name_id": job, "status": JobState::Cancelled})
            }
            Answer::NotFound => error("no such job".to_string()),
            Answer::Malformed(why) | Answer::CannotRun(why) => error(why),
            Answer::Later(reason) => error(reason.text().to_string()),
            Answer::FromPeer(answer) => return answer.body,
        };
        serde_json::to_vec(&value).expect("plain data")
    }

    /// Seconds after which a retry makes sense.
    pub fn retry_after(&self) -> Option<u32> {
        match self {
            Answer::Later(reason) => Some(reason.retry_after_s()),
            Answer::FromPeer(answer) => answer.retry_after,
            _ => None,
        }
    }

    /// The end that it tells of, as the records of the state service say.
    pub(super) fn end(&self) -> Option<JobState> {
        match self {
            Answer::Known(status) => Some(status.state),
            Answer::Accepted { state, .. } => Some(*state),
            Answer::Cancelled { .. } => Some(JobState::Cancelled),
            _ => None,
        }
        .filter(|state| state.is_end())
    }
}

/// What another controller has answered to a request that was handed to it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
}

impl PeerAnswer {
    pub(super) fn is_server_error(&self) -> bool {
        self.status >= 500
    }

    /// Whether it says more than that the request can't be answered now.
    pub(super) fn is_decided(&self) -> bool {
        !self.is_server_error() && self.status != TOO_MANY_REQUESTS
    }

    /// The end of the job that it tells of.
    pub(super) fn end(&self) -> Option<JobState> {
        let status: JobStatus = serde_json::from_slice(&self.body).ok()?;
        Some(status.state).filter(|state| self.status == 200 && state.is_end())
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

/// A state without counts of tasks.
pub(super) fn without_counts(job: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: job.to_string(),
        state,
        done: 0,
        running: 0,
    }
}
