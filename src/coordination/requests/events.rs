//! The inputs and outputs of a [`Request`](super::Request).

use super::answers::{Answer, PeerAnswer};
use super::polls::{CheckedDependencies, Poll};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobState, JobStatus};
use crate::storage::records::OpenRecord;

/// What this controller knows about a job and the leader without calling the state service or a peer.
#[derive(Clone, Debug)]
pub struct LocalJobView {
    /// The job's status, if this controller knows it for certain.
    pub status: Option<JobStatus>,
    /// Whether this controller is the leader and its lease is valid.
    pub is_leader: bool,
    /// The name of the leader, if it is known and is a peer.
    pub leader: Option<String>,
}

/// An input: the outcome of an effect.
#[derive(Debug)]
pub enum RequestEvent {
    /// The outcome of [`RequestEffect::ReadLocalView`]; `None` if the view could not be read.
    LocalView(Option<LocalJobView>),
    /// The response to [`RequestEffect::Store`].
    Store(StoreAnswer),
    /// The response to [`RequestEffect::Forward`]; `None` if there was no response.
    Peer(Option<PeerAnswer>),
    /// The result of [`RequestEffect::CheckDependencies`].
    DependenciesChecked(CheckedDependencies),
}

/// An output: an action for the driver.
#[derive(Debug)]
pub enum RequestEffect {
    /// Read what this controller knows about the job; answered by [`RequestEvent::LocalView`].
    ReadLocalView,
    /// Call the state service; answered by [`RequestEvent::Store`].
    Store(StoreCall),
    /// Let the [`PollBatcher`](super::polls::PollBatcher) check these dependencies; answered by
    /// [`RequestEvent::DependenciesChecked`].
    CheckDependencies(Vec<String>),
    /// Forward the request to this peer; answered by [`RequestEvent::Peer`].
    Forward(String),
    /// This request has accepted a job.
    JobAccepted {
        /// The open record that was written.
        record: Box<OpenRecord>,
        /// The version of the record's key.
        version: u64,
    },
    /// The final state of the job is recorded. Precedes every answer that reports a final state which
    /// the state service or the leader has confirmed.
    FinalStateRecorded(JobState),
    /// Pass the query to the [`PollBatcher`](super::polls::PollBatcher), which answers it from the
    /// records. The request is finished.
    ReadRecords(Poll),
    /// Send the answer to the client. The request is finished.
    Answer(Answer),
}
