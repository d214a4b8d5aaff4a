//! The parts of the simulation of nodes and their requests.

use crate::rules::{Kind, Question};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::requests::polls::PollBatcher;
use stairstage::coordination::requests::{Request, StoreCall};
use stairstage::protocol::store::Transaction;
use stairstage::storage::recent_jobs::RecentFinalStates;
use std::collections::BTreeMap;

/// What becomes of a call, or of a request that is forwarded to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Answered,
    /// Carried out, and the answer is lost.
    AnswerLost,
    /// Unanswered, and carried out later.
    Late,
    /// Unanswered, and never carried out.
    Lost,
    /// Refused at once.
    Refused,
}

/// A controller, as far as its requests go.
pub(crate) struct Node {
    pub ends: RecentFinalStates,
    /// Who leads, as far as it knows.
    pub leader: Option<usize>,
    /// Whether the state service refuses it.
    pub refused: bool,
    /// Whether it knows only machine types that are too small for every job.
    pub small_types: bool,
    /// What answers its polls, and who gets the answers.
    pub batcher: PollBatcher,
    pub polls: BTreeMap<u64, (u8, Origin)>,
    /// Transactions of it that were carried out.
    pub applied: usize,
}

/// Who gets an answer.
#[derive(Clone, Debug)]
pub(crate) enum Origin {
    User(Question),
    /// The request of another node that has forwarded it.
    Request(u64),
    /// Its sender has given up.
    Nobody,
}

/// What works on a request, or on the calls of a batcher.
pub(crate) enum Machine {
    Request(Box<Request>, Kind, Origin),
    /// A call of the node's batcher of polls.
    Batch,
}

/// What a machine waits for.
pub(crate) enum Waiting {
    LocalView,
    Store(StoreCall),
    Peer(usize),
    /// Another node works on it.
    Child,
}

/// A machine that has not come to its end.
pub(crate) struct Running {
    pub node: usize,
    pub job: Option<u8>,
    pub machine: Machine,
    pub waiting: Waiting,
}

/// A transaction that is yet to be carried out.
pub(crate) struct LateWrite {
    pub transaction: Transaction,
    pub node: usize,
    pub by: u64,
    pub applied_before: usize,
}

/// The node that leads, with its decisions.
pub(crate) struct Leader {
    pub node: usize,
    pub token: u64,
    pub manager: ClusterManager,
}
