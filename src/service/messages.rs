//! The messages that the other actors send to the controller.

use crate::coordination::cluster::cancellation_evidence::PeerAnswer;
use crate::coordination::cluster::heartbeats::HeartbeatSource;
use crate::coordination::cluster::recovery::Records;
use crate::coordination::cluster::{CommandOutcome, WriteOutcome};
use crate::coordination::election::ElectionEvent;
use crate::coordination::requests::LocalJobView;
use crate::coordination::state::{JobId, MachineName};
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::ids::FencingToken;
use crate::protocol::job::JobState;
use crate::protocol::worker::Heartbeat;
use crate::storage::records::{FinalStateRecord, OpenRecord};
use crate::transport::Responder;
use crossbeam::channel::Sender;
use stairstage_upgrade::fence::WriteFence;

/// An event for the controller.
pub enum Message {
    /// The election has reached a new state.
    Election(ElectionEvent),
    /// A worker's heartbeat.
    Heartbeat(ReceivedHeartbeat),
    /// What this controller may write at the active cluster version.
    WriteFence(WriteFence),
    /// A gateway asks what is known of a job here, and who leads.
    LocateJob {
        /// The job's id.
        id: String,
        /// Where the answer goes.
        reply: Sender<LocalJobView>,
    },
    /// The records of jobs that were accepted or cancelled.
    JobsAccepted {
        /// The jobs' records and their versions.
        jobs: Vec<AcceptedJob>,
    },
    /// How jobs have ended, as the state service or the leader has answered.
    JobsEnded {
        /// Each job's id and final state.
        ends: Vec<(String, JobState)>,
    },
    /// Ends that the watch of end records has seen.
    EndsRecorded {
        /// Each job's id and final state.
        ends: Vec<(String, JobState)>,
    },
    /// A new leader's reader has read all records.
    RecordsLoaded {
        /// The token of the term for which they were read.
        token: FencingToken,
        /// The records.
        records: Records,
        /// When the read was sent.
        sent_at: Time,
    },
    /// All changes of open jobs that were on record at `sent_at` have been enqueued before this.
    RecordsRead {
        /// The token of the term for which they were read.
        token: FencingToken,
        /// When the request that brought the last of them was sent.
        sent_at: Time,
    },
    /// The outcome of an operation that the leader had requested of its I/O threads.
    Io(IoOutcome),
    /// The machine types that the cloud offers now.
    MachineTypes(Vec<MachineType>),
    /// Whether other controllers are reached by a leader to which no worker sends heartbeats.
    PeersProbed(PeerReachability),
    /// Another controller asks whether this one receives heartbeats directly from workers.
    ReceivesHeartbeats {
        /// Where the reply goes.
        respond: Responder,
    },
    /// A new leader asks for the promise that no heartbeat is answered here with a lower token.
    PromiseRequested {
        /// The new leader's token.
        token: FencingToken,
        /// Where the reply goes.
        respond: Responder,
    },
    /// All other controllers have given that promise to the leader of this term.
    PromisesCollected {
        /// The term's token.
        token: FencingToken,
    },
    /// The outcome of a query of the cancellations that a peer has confirmed.
    PeerCancellations {
        /// The peer's name.
        peer: String,
        /// Its answer, unless it gave none.
        answer: Option<PeerAnswer>,
    },
}

/// A worker's heartbeat that awaits a reply.
pub struct ReceivedHeartbeat {
    /// The heartbeat, decoded.
    pub heartbeat: Box<Heartbeat>,
    /// The heartbeat as received, to be forwarded unchanged.
    pub body: Vec<u8>,
    /// Whether the worker or another controller has sent it.
    pub source: HeartbeatSource,
    /// Where the reply goes.
    pub respond: Responder,
}

/// The outcome of an operation of the [`IoThreadPool`](super::io_thread_pool::IoThreadPool).
pub enum IoOutcome {
    /// A transaction's outcome.
    WriteFinished {
        /// The number by which the write was requested.
        id: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// How a worker has answered a batch of direct commands.
    CommandsAnswered {
        /// The worker's machine.
        machine: MachineName,
        /// What became of the commands.
        outcome: CommandOutcome,
    },
    /// The end records of jobs that were looked up.
    EndsRead {
        /// Each job's id and its end record, if there is one and it could be read.
        ends: Vec<(JobId, Option<FinalStateRecord>)>,
    },
    /// The outcome of a rental.
    MachinesRented {
        /// The rental's request id.
        request: String,
        /// The rented machines' names; `None` when the cloud gave no answer.
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

/// The record of an accepted job, which also tells whether the job was cancelled.
pub struct AcceptedJob {
    /// The record.
    pub record: OpenRecord,
    /// The record's version in the state service.
    pub version: u64,
}

/// Whether other controllers are reached, and whether workers send heartbeats to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerReachability {
    /// No other controller answers.
    Unreachable,
    /// Some do, but no worker sends heartbeats to them.
    ReachableWithoutWorkers,
    /// Workers send heartbeats to one that answers.
    ReachableWithWorkers,
}
