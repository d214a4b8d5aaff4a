//! The election's interface: operations for the driver and their outcomes, events for the controller,
//! and requests from the controller.

use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::{Events, LeaseId, Transaction};
use crate::storage::outcome::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;

/// An event for the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionEvent {
    /// This controller is a follower: the name of the leader, or `None` if the leader record was
    /// deleted.
    LeaderObserved(Option<String>),
    /// This controller has won an election and leads a new term.
    Elected {
        /// The term's first fencing token. It identifies the term even after the token is raised.
        token: FencingToken,
    },
    /// This controller's leadership lease was granted or renewed.
    LeaseExtended {
        /// The time by this controller's clock until which the lease is valid at least.
        valid_until: Time,
    },
    /// The response to [`ElectionRequest::RaiseToken`]: the new fencing token, or `None` if the token
    /// was not raised.
    TokenRaised(Option<FencingToken>),
    /// This controller's term is over: its lease has expired or it has stepped down.
    TermEnded,
}

/// A request from the controller to the election. It applies to the term that began with the fencing
/// token `term`; a request for an earlier term is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionRequest {
    /// Raise the fencing token within the term.
    RaiseToken {
        /// The term's first token.
        term: FencingToken,
    },
    /// Step down, and let the other controllers campaign first.
    StepDown {
        /// The term's first token.
        term: FencingToken,
    },
}

impl ElectionRequest {
    /// The first token of the term that the request applies to.
    pub fn term(&self) -> FencingToken {
        match self {
            ElectionRequest::RaiseToken { term } | ElectionRequest::StepDown { term } => *term,
        }
    }
}

/// The leader record as read from the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentLeader {
    /// The leader's name.
    pub name: String,
    /// The version of the record, which is the leader's fencing token.
    pub version: u64,
}

/// The outcome of an [`Operation`].
#[derive(Debug)]
pub enum Input {
    /// The outcome of [`Operation::Read`]: the leader record, or `None` if it does not exist.
    Read(Result<Option<CurrentLeader>, Unavailable>),
    /// The outcome of [`Operation::Watch`]: the changes, or `None` if the state service no longer has
    /// the changes after the requested revision.
    Watched(Result<Option<Events>, Unavailable>),
    /// The outcome of [`Operation::Grant`]: the new lease.
    Granted(Result<LeaseId, Unavailable>),
    /// The outcome of [`Operation::Commit`].
    Committed(CommitOutcome),
    /// The outcome of [`Operation::Renew`].
    Renewed(Renewal),
    /// The outcome of [`Operation::Release`], whether or not it succeeded.
    Released,
    /// The outcome of [`Operation::Wait`]: a request was received before the deadline.
    Requested(ElectionRequest),
    /// The outcome of [`Operation::Wait`]: the deadline has passed.
    Elapsed,
}

/// An operation for the driver, which returns the outcome as an [`Input`].
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Read the leader record.
    Read {
        /// The timeout; `None` for the default of the state service's client.
        timeout: Option<Duration>,
    },
    /// Wait for a change of the leader record.
    Watch {
        /// The revision after which changes are returned.
        after: u64,
        /// How long the state service holds the request open if there is no change.
        hold: Duration,
    },
    /// Request a new lease.
    Grant {
        /// The time after which the lease expires unless it is renewed.
        lease_duration: Duration,
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
    /// Revoke a lease, which deletes the records attached to it.
    Release {
        /// The lease.
        lease: LeaseId,
    },
    /// Wait until a deadline or until the controller sends a request.
    Wait {
        /// The deadline by this controller's clock.
        until: Time,
    },
}

/// The result of an input. The driver first delivers the events, then executes the operation.
#[derive(Debug, PartialEq)]
pub struct Step {
    /// The events for the controller, in order.
    pub events: Vec<ElectionEvent>,
    /// The next operation.
    pub operation: Operation,
}
