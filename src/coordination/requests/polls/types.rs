//! Polls, and the outputs of a batcher.

use super::limits::POLL_TIMEOUT_S;
use crate::coordination::requests::answers::Answer;
use crate::coordination::requests::store_call::StoreCall;
use crate::coordination::Time;
use crate::protocol::job::{JobState, JobStatus};

/// The number by which a driver identifies a poll of its batcher.
pub type PollId = u64;

/// A query of a job's status.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    /// The id of the job.
    pub job: String,
    /// The status of the job as this node knows it for certain as the leader; `None` where only the
    /// records can tell.
    pub leader_status: Option<JobStatus>,
}

/// An output of a batcher: what its driver has to do.
#[derive(Debug)]
pub enum PollEffect {
    /// Call the state service, and pass the response to
    /// [`PollBatcher::on_answer`](super::PollBatcher::on_answer).
    Store(StoreCall),
    /// The ends of these jobs are on record. Precedes every answer that reports one of them.
    JobEndsRecorded(Vec<(String, JobState)>),
    /// Send the answer to the client of a poll.
    Answer(PollId, Answer),
    /// The state service refuses this node: forward the poll to another one.
    Forward(PollId),
}

/// A poll that is not answered yet.
pub(super) struct PendingPoll {
    pub(super) id: PollId,
    pub(super) poll: Poll,
    pub(super) enqueued_at: Time,
}

impl PendingPoll {
    /// When the poll is to be rejected, if it is not answered before.
    pub(super) fn expires_at(&self) -> Time {
        self.enqueued_at + POLL_TIMEOUT_S
    }
}
