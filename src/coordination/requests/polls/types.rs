//! Polls and the outputs of a batcher.

use super::limits::POLL_TIMEOUT_S;
use crate::coordination::requests::answers::Answer;
use crate::coordination::requests::store_call::StoreCall;
use crate::coordination::Time;
use crate::protocol::job::JobStatus;
use crate::storage::records::JobFinalState;

/// The number that identifies a poll of a batcher; chosen by the driver.
pub type PollId = u64;

/// The number that identifies a check of dependencies; chosen by the driver.
pub type CheckId = u64;

/// The result of a check of the dependencies that a submission names.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedDependencies {
    /// All were accepted, and none is known to be cancelled.
    Accepted,
    /// All were accepted, and one is cancelled.
    Cancelled,
    /// This one was never accepted.
    NeverAccepted(String),
    /// The check takes longer than a client waits. A retry continues it.
    RateLimited,
    /// The state service is unavailable to this controller.
    Unavailable,
}

/// A query of a job's status.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// The id of the job.
    pub job: String,
    /// The job's status according to this controller, if it is the leader and knows the status for
    /// certain; otherwise `None`.
    pub leader_status: Option<JobStatus>,
}

/// An output of a batcher: an action for its driver.
#[derive(Debug)]
pub enum PollEffect {
    /// Call the state service, and pass the response to
    /// [`PollBatcher::on_answer`](super::PollBatcher::on_answer).
    Store(StoreCall),
    /// The final states of these jobs are recorded. Precedes every answer that reports one of them.
    FinalStatesRecorded(Vec<JobFinalState>),
    /// Send the answer to the poll's client.
    Answer(PollId, Answer),
    /// The state service is unavailable to this controller: forward the poll to a peer.
    Forward(PollId),
    /// A check of dependencies has this result.
    DependenciesChecked(CheckId, CheckedDependencies),
}

/// A poll that is not answered yet.
pub(super) struct PendingPoll {
    pub(super) id: PollId,
    pub(super) poll: Poll,
    pub(super) enqueued_at: Time,
}

impl PendingPoll {
    /// When the poll is rejected unless it is answered before.
    pub(super) fn expires_at(&self) -> Time {
        self.enqueued_at + POLL_TIMEOUT_S
    }
}
