//! What the leader has other actors do, and what became of it.

use crate::coordination::state::{JobId, MachineName};
use crate::protocol::cloud::RentalRequest;
use crate::protocol::job::JobState;
use crate::protocol::store::{Transaction, VersionedValue};
use crate::protocol::worker::{CommandBatch, Heartbeat, HeartbeatResponse};

/// What the leader has other actors do.
#[derive(Debug)]
pub enum Effect {
    /// Commit a transaction; its outcome comes back with the same id.
    Write {
        /// The id of the write.
        id: u64,
        /// What to commit.
        transaction: Transaction,
    },
    /// Send commands directly to a worker.
    SendCommands {
        /// The worker's machine.
        machine: MachineName,
        /// Where the worker takes them.
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
    /// A job has ended, on record or as its user was told.
    JobEnded {
        /// The job.
        id: JobId,
        /// How it ended.
        state: JobState,
    },
    /// Read how these jobs ended.
    ReadEnds(Vec<JobId>),
}

/// What became of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// Applied at this revision of the store.
    Applied(u64),
    /// Certainly not applied.
    Rejected,
    /// Not applied, and never will be: larger than the store accepts.
    TooLarge,
    /// Possibly applied: the keys of its compares, as read afterwards.
    Indeterminate(Vec<(String, Option<VersionedValue>)>),
}

/// What became of commands that were sent directly to a worker.
#[derive(Debug)]
pub enum CommandOutcome {
    /// The worker executed them, and sends its state.
    Executed(Heartbeat),
    /// The worker executed nothing, and may send its state.
    Rejected(Option<Heartbeat>),
    /// They were certainly not sent.
    NotSent,
    /// The worker may have executed them.
    Unknown,
}

/// How a heartbeat is answered.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// With this response, which renews the worker's lease.
    Answer(HeartbeatResponse),
    /// Not at all: it is older than what is known, and its sender no longer waits.
    Stale,
    /// By nobody here: the worker has seen a higher token than this leader's.
    Deposed,
}
