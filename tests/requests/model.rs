//! The data types of the simulation of controllers and their requests.

use crate::rules::{Kind, UserRequest};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::requests::polls::PollBatcher;
use stairstage::coordination::requests::{Request, StoreCall};
use stairstage::protocol::store::Transaction;
use stairstage::storage::recent_jobs::RecentFinalStates;
use std::collections::BTreeMap;

/// How a call to the state service, or a forwarded request, is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Answered,
    /// Carried out, but the response is lost.
    ResponseLost,
    /// No response, and carried out later.
    Delayed,
    /// No response, and never carried out.
    RequestLost,
    /// Rejected at once.
    Rejected,
}

/// The state of a controller that its requests use.
pub(crate) struct Controller {
    pub final_states: RecentFinalStates,
    /// The leader that this controller knows of.
    pub leader: Option<usize>,
    /// Whether the state service rejects the calls of this controller.
    pub rejected: bool,
    /// Whether all machine types that this controller knows are too small for any job.
    pub small_types: bool,
    /// Answers the polls of this controller.
    pub batcher: PollBatcher,
    /// The job of each poll, and who gets the answer, by the number of the poll.
    pub polls: BTreeMap<u64, (u8, Recipient)>,
    /// How many write transactions of this controller were applied.
    pub applied: usize,
}

/// Who gets the answer to a request.
#[derive(Clone, Debug)]
pub(crate) enum Recipient {
    User(UserRequest),
    /// The request at another controller that was forwarded.
    Request(u64),
    /// The sender has timed out.
    Nobody,
}

/// A request, or one call of a batcher.
pub(crate) enum Operation {
    Request(Box<Request>, Kind, Recipient),
    /// A call of the controller's poll batcher.
    Batch,
}

/// What an operation waits for.
pub(crate) enum Waiting {
    LocalView,
    Store(StoreCall),
    Peer(usize),
    /// A step does not resume the operation: it is being started or resumed, or a peer handles the
    /// forwarded request.
    Forwarded,
}

/// An operation that is not finished.
pub(crate) struct ActiveOperation {
    pub controller: usize,
    pub job: Option<u8>,
    pub operation: Operation,
    pub waiting: Waiting,
}

/// A transaction that is applied after its sender's timeout.
pub(crate) struct DelayedWrite {
    pub transaction: Transaction,
    pub controller: usize,
    pub sender: u64,
    /// Transactions of the controller that had been applied when this one was sent.
    pub applied_before: usize,
}

/// The leader, with its cluster manager.
pub(crate) struct Leader {
    pub controller: usize,
    pub token: u64,
    pub manager: ClusterManager,
}
