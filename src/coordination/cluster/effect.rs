//! Effects that the leader requests from other actors, and their outcomes.

use crate::coordination::state::{JobId, MachineName};
use crate::protocol::cloud::RentalRequest;
use crate::protocol::job::JobState;
use crate::protocol::store::{Transaction, VersionedValue};
use crate::protocol::worker::{CommandBatch, Heartbeat, HeartbeatResponse};

/// An operation that the leader requests from another actor.
#[derive(Debug)]
pub enum Effect {
    /// Commit a transaction; its outcome is returned with the same id.
    Write {
        /// The id of the write.
        id: u64,
        /// The transaction to commit.
        transaction: Transaction,
    },
    /// Send commands directly to a worker.
    SendCommands {
        /// The worker's machine.
        machine: MachineName,
        /// The address at which the worker accepts commands.
        endpoint: String,
        /// The commands.
        commands: CommandBatch,
    },
    /// Rent machines.
    RentMachines(RentalRequest),
    /// Return machines to the cloud.
    ReturnMachines(Vec<String>),
    /// Draw a higher fencing token, so that launches that may still arrive have no effect.
    RaiseToken,
    /// A job has finished: its final state is on record, or its cancellation was confirmed to its user.
    JobFinished {
        /// The job.
        id: JobId,
        /// The final state of the job.
        state: JobState,
    },
    /// Read the final states of these jobs.
    ReadFinalStates(Vec<JobId>),
}

/// The outcome of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// Applied at this revision of the store.
    Applied(u64),
    /// Certainly not applied.
    Rejected,
    /// Not applied and never will be, since the write is larger than the store accepts.
    TooLarge,
    /// Possibly applied. Holds the keys that the write compares, with the values read afterwards.
    Indeterminate(Vec<(String, Option<VersionedValue>)>),
}

/// The outcome of commands that were sent directly to a worker.
#[derive(Debug)]
pub enum CommandOutcome {
    /// The worker executed them and returned its state.
    Executed(Heartbeat),
    /// The worker executed none of them, and may have returned its state.
    Rejected(Option<Heartbeat>),
    /// The commands were certainly not sent.
    NotSent,
    /// The worker may have executed them.
    Indeterminate,
}

/// How the leader handles a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Responds, which renews the worker's lease.
    Response(HeartbeatResponse),
    /// Does not respond: the heartbeat is older than the newest known one, and its sender no longer
    /// waits.
    Stale,
    /// Does not respond and steps down: the worker has seen a higher token than this leader's.
    SteppedDown,
}
