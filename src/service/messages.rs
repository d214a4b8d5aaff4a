//! The messages that the other actors send to the controller actor.

use crate::coordination::cluster::cancellation_evidence::PeerCancellations;
use crate::coordination::cluster::heartbeats::HeartbeatSource;
use crate::coordination::cluster::recovery::Records;
use crate::coordination::cluster::{CommandOutcome, WriteOutcome};
use crate::coordination::election::ElectionEvent;
use crate::coordination::requests::LocalJobView;
use crate::coordination::state::{JobId, MachineName};
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::ids::FencingToken;
use crate::protocol::worker::Heartbeat;
use crate::storage::open_job_budget::AcceptedJobs;
use crate::storage::records::{FinalStateRecord, JobFinalState, OpenRecord};
use crate::transport::Responder;
use crossbeam::channel::Sender;
use stairstage_upgrade::fence::WriteFence;

/// A message in the inbox of the controller actor.
pub enum Message {
    /// An event of the election.
    Election(ElectionEvent),
    /// A worker's heartbeat.
    Heartbeat(ReceivedHeartbeat),
    /// The write fence has changed: what this controller may write at the active cluster version.
    WriteFence(WriteFence),
    /// A gateway asks what this controller knows about a job, and who the leader is.
    ReadLocalView {
        /// The job's id.
        id: String,
        /// Receives the answer.
        reply: Sender<LocalJobView>,
    },
    /// Jobs were accepted or cancelled.
    JobsAccepted {
        /// The jobs' records and their versions.
        jobs: Vec<AcceptedJob>,
    },
    /// Jobs have finished, according to the state service or the leader.
    JobsFinished {
        /// The jobs and their final states.
        final_states: Vec<JobFinalState>,
    },
    /// The watch of final states has seen new records.
    FinalStatesObserved {
        /// The jobs and their final states.
        final_states: Vec<JobFinalState>,
    },
    /// The record reader of a new leader has read all records.
    RecordsLoaded {
        /// The fencing token of the term for which the records were read.
        token: FencingToken,
        /// The records.
        records: Records,
        /// When the read request was sent.
        sent_at: Time,
    },
    /// The record reader has caught up: every change of an open job that was recorded by `sent_at` has been
    /// sent before this message.
    RecordsRead {
        /// The fencing token of the term for which the records were read.
        token: FencingToken,
        /// When the request that returned the last of these changes was sent.
        sent_at: Time,
    },
    /// The outcome of an operation of the I/O threads.
    Io(IoOutcome),
    /// The machine types that the cloud currently offers.
    MachineTypes(Vec<MachineType>),
    /// The result of a leader's probe of its peers, made because it receives no heartbeats.
    PeersProbed(PeerReachability),
    /// Another controller asks whether this one receives heartbeats directly from workers.
    ReceivesHeartbeats {
        /// Sends the reply.
        respond: Responder,
    },
    /// A new leader asks this controller for the promise not to answer heartbeats as a leader with a lower
    /// token.
    PromiseRequested {
        /// The new leader's token.
        token: FencingToken,
        /// Sends the reply.
        respond: Responder,
    },
    /// All other controllers have given that promise to this controller.
    PromisesCollected {
        /// The fencing token of the term for which they gave it.
        token: FencingToken,
    },
    /// The outcome of a query for the cancellations that a peer has confirmed.
    PeerCancellations {
        /// The peer's name.
        peer: String,
        /// The peer's answer; `None` if it did not answer.
        answer: Option<PeerCancellations>,
        /// What the peer has accepted, if it reports that.
        accepted_jobs: Option<AcceptedJobs>,
    },
}

/// A worker's heartbeat that has not been answered yet.
pub struct ReceivedHeartbeat {
    /// The heartbeat, decoded.
    pub heartbeat: Box<Heartbeat>,
    /// The encoded heartbeat as received, for forwarding it unchanged.
    pub body: Vec<u8>,
    /// Whether the worker sent the heartbeat or another controller forwarded it.
    pub source: HeartbeatSource,
    /// Sends the reply.
    pub respond: Responder,
}

/// The outcome of an operation of the [`IoThreadPool`](super::io_thread_pool::IoThreadPool).
pub enum IoOutcome {
    /// A transaction's outcome.
    WriteFinished {
        /// The write's id, as given with the request.
        id: u64,
        /// Whether it was applied.
        outcome: WriteOutcome,
    },
    /// The outcome of a command batch that was sent directly to a worker.
    CommandsFinished {
        /// The worker's machine.
        machine: MachineName,
        /// Whether the commands were executed.
        outcome: CommandOutcome,
    },
    /// The final states of jobs that were requested.
    FinalStatesRead {
        /// Each job's id and the record of its final state; `None` if there is none or it could not be read.
        records: Vec<(JobId, Option<FinalStateRecord>)>,
    },
    /// The outcome of a rental.
    MachinesRented {
        /// The rental's request id.
        request: String,
        /// The rented machines' names, none if the cloud rejected the rental; `None` if it gave no answer.
        machines: Option<Vec<String>>,
    },
    /// The outcome of a return of machines.
    MachinesReturned {
        /// The machines' names.
        machines: Vec<String>,
        /// Whether the cloud has confirmed the return.
        confirmed: bool,
    },
    /// All machines that the cloud lists.
    MachinesListed(Vec<ListedMachine>),
}

/// The record of an accepted job, which also contains whether the job was cancelled.
pub struct AcceptedJob {
    /// The job's record.
    pub record: OpenRecord,
    /// The record's version in the state service.
    pub version: u64,
}

/// Whether other controllers are reachable, and whether workers send heartbeats to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReachability {
    /// No other controller answers.
    Unreachable,
    /// Some controllers answer, but no worker sends heartbeats to them.
    ReachableWithoutWorkers,
    /// At least one controller answers to which workers send heartbeats.
    ReachableWithWorkers,
}
