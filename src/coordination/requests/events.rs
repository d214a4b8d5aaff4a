//! The inputs and outputs of the state machine of a [`Request`](super::Request).

use super::answers::{Answer, PeerAnswer};
use super::polls::Poll;
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobState, JobStatus};
use crate::storage::records::OpenRecord;

/// What this node knows of a job without a call to anyone, and who leads.
#[derive(Clone, Debug)]
pub struct LocalJobView {
    /// The job's state, if this node knows it for certain.
    pub status: Option<JobStatus>,
    /// Whether this node is the leader, with a valid lease.
    pub is_leader: bool,
    /// The controller that leads, if it is known and is another one.
    pub leader: Option<String>,
}

/// An input: what has come of an effect.
#[derive(Debug)]
pub enum RequestEvent {
    /// The response to [`RequestEffect::ReadLocalView`]; `None` if it could not be read.
    LocalView(Option<LocalJobView>),
    /// The response to [`RequestEffect::Store`].
    Store(StoreAnswer),
    /// The response to [`RequestEffect::Forward`]; `None` without one.
    Peer(Option<PeerAnswer>),
}

/// An output: what the driver has to do.
#[derive(Debug)]
pub enum RequestEffect {
    /// Read what this node knows of the job; continues with [`RequestEvent::LocalView`].
    ReadLocalView,
    /// Call the state service; continues with [`RequestEvent::Store`].
    Store(StoreCall),
    /// Forward the request to this controller; continues with [`RequestEvent::Peer`].
    Forward(String),
    /// This request has accepted a job.
    JobAccepted {
        /// The record that accepts the job.
        record: Box<OpenRecord>,
        /// The version of that record in the state service.
        version: u64,
    },
    /// The end of the job is on record. Precedes every answer that reports an end on the authority
    /// of the state service or of the leader.
    JobEndRecorded(JobState),
    /// Answer the query from the records, batched with others: see
    /// [`PollBatcher`](super::polls::PollBatcher). The request is finished.
    ReadRecords(Poll),
    /// Send the answer to the client. The request is finished.
    Answer(Answer),
}
