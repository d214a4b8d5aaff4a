//! What an election is told, what it asks its driver to do, and what it tells the controller.

use crate::coordination::Time;
use crate::protocol::store::{Events, Transaction};
use crate::storage::key_value_store::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;

/// What the election tells the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionEvent {
    /// Another node leads, or none that is known.
    Leader(Option<String>),
    /// This node leads; the token names the term, too.
    Elected { token: u64 },
    /// The lease holds until then, by this node's clock.
    Lease { valid_until: Time },
    /// The answer to [`ElectionRequest::RaiseToken`]: the token from now on, or `None` if it stays.
    TokenRaised(Option<u64>),
    /// This node leads no more.
    Deposed,
}

/// What the controller asks of the election, for the term that began with the token `term`. Requests
/// for a term that is over have no effect on a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionRequest {
    /// Draw a higher token from the state service.
    RaiseToken { term: u64 },
    /// Give the leadership up, so that another node may have it.
    Resign { term: u64 },
}

impl ElectionRequest {
    /// The term that the request is meant for.
    pub fn term(&self) -> u64 {
        match self {
            ElectionRequest::RaiseToken { term } | ElectionRequest::Resign { term } => *term,
        }
    }
}

/// The leader's record and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentLeader {
    pub node: String,
    pub version: u64,
}

/// How an [`Operation`] ended.
#[derive(Debug)]
pub enum Input {
    Read(Result<Option<CurrentLeader>, Unavailable>),
    /// `None` when the revision was too old to go on from.
    Watched(Result<Option<Events>, Unavailable>),
    /// The new lease.
    Granted(Result<u64, Unavailable>),
    Committed(CommitOutcome),
    Renewed(Renewal),
    Released,
    /// A request came before the wait was over.
    Requested(ElectionRequest),
    /// The wait is over.
    Elapsed,
}

/// What the driver does next. It hands back how that ended as an [`Input`].
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Reads the leader's record. Without a timeout, the store's own applies.
    Read {
        timeout: Option<Duration>,
    },
    /// Waits for a change of the leader's record after a revision, for as long as `hold`.
    Watch {
        after: u64,
        hold: Duration,
    },
    /// Takes a new lease.
    Grant {
        life: Duration,
    },
    /// Without a timeout, the store's own applies.
    Commit {
        transaction: Transaction,
        timeout: Option<Duration>,
    },
    Renew {
        lease: u64,
        timeout: Duration,
    },
    /// Ends a lease, and with it the records that are attached to it.
    Release {
        lease: u64,
    },
    /// Waits until then, or until the controller asks for something.
    Wait {
        until: Time,
    },
}

/// What follows from an input: first tell the controller, then carry the operation out.
#[derive(Debug, PartialEq)]
pub struct Step {
    pub events: Vec<ElectionEvent>,
    pub operation: Operation,
}
