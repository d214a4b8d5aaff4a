//! The election's interface: the operations that it has its driver carry out and their outcomes, the
//! events that it reports to the controller, and the controller's requests.

use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::{Events, LeaseId, Transaction};
use crate::storage::outcome::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;

/// What the election reports to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionEvent {
    /// This node follows: the leader as last read, or `None` since its record is gone.
    LeaderObserved(Option<String>),
    /// This node has won an election: it leads a new term with this fencing token.
    Elected {
        /// The fencing token. It identifies the term, too, also after the token has been raised.
        token: FencingToken,
    },
    /// This node's leadership lease was granted or renewed.
    LeaseExtended {
        /// Until when the lease is valid at least, by this node's clock.
        valid_until: Time,
    },
    /// The response to [`ElectionRequest::RaiseToken`]: the fencing token from now on, or `None` if it
    /// is unchanged.
    TokenRaised(Option<FencingToken>),
    /// This node's term is over: its lease has expired or it has resigned.
    Deposed,
}

/// A request of the controller to the election. It is meant for the term that began with the fencing
/// token `term`; a request for a term that is over has no effect on a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionRequest {
    /// Obtain a higher fencing token within the same term.
    RaiseToken {
        /// The term's first token.
        term: FencingToken,
    },
    /// Give leadership up, and let other nodes campaign first.
    Resign {
        /// The term's first token.
        term: FencingToken,
    },
}

impl ElectionRequest {
    /// The first token of the term that the request is meant for.
    pub fn term(&self) -> FencingToken {
        match self {
            ElectionRequest::RaiseToken { term } | ElectionRequest::Resign { term } => *term,
        }
    }
}

/// The leader's record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentLeader {
    /// The leader's name.
    pub node: String,
    /// The version of the record, which is the leader's fencing token.
    pub version: u64,
}

/// The outcome of an [`Operation`], as reported by the driver.
#[derive(Debug)]
pub enum Input {
    /// Of [`Operation::Read`]: the leader's record, or `None` if there is none.
    Read(Result<Option<CurrentLeader>, Unavailable>),
    /// Of [`Operation::Watch`]: the changes, or `None` if the revision was too old to continue from.
    Watched(Result<Option<Events>, Unavailable>),
    /// Of [`Operation::Grant`]: the new lease.
    Granted(Result<LeaseId, Unavailable>),
    /// Of [`Operation::Commit`].
    Committed(CommitOutcome),
    /// Of [`Operation::Renew`].
    Renewed(Renewal),
    /// Of [`Operation::Release`], whether or not it succeeded.
    Released,
    /// Of [`Operation::Wait`]: a request came before the time.
    Requested(ElectionRequest),
    /// Of [`Operation::Wait`]: the time has come.
    Elapsed,
}

/// An operation for the driver to carry out. It reports the outcome as an [`Input`].
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read the leader's record.
    Read {
        /// The timeout; `None` for the default of the state service's client.
        timeout: Option<Duration>,
    },
    /// Wait for a change of the leader's record.
    Watch {
        /// The revision after which changes count.
        after: u64,
        /// How long to wait.
        hold: Duration,
    },
    /// Request a new lease.
    Grant {
        /// The time after which the lease expires unless it is renewed.
        life: Duration,
    },
    /// Commit a transaction.
    Commit {
        /// The transaction.
        transaction: Transaction,
        /// The timeout; `None` for the default of the state service's client.
        timeout: Option<Duration>,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// The timeout.
        timeout: Duration,
    },
    /// End a lease, and with it the records that are attached to it.
    Release {
        /// The lease.
        lease: LeaseId,
    },
    /// Wait for a time of the node's clock, or for a request of the controller's.
    Wait {
        /// The time.
        until: Time,
    },
}

/// What follows from an input. The driver first reports the events, then carries the operation out.
#[derive(Debug, PartialEq)]
pub struct Step {
    /// The events for the controller, in this order.
    pub events: Vec<ElectionEvent>,
    /// The next operation.
    pub operation: Operation,
}
