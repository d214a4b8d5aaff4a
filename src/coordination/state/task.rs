//! Tasks, their allocations, and the records of which have completed.

use super::MachineName;
use crate::coordination::Time;

/// A task with its allocations. It may be placed only while it has none.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it has completed.
    pub done: bool,
    /// Where it is or may be.
    pub allocations: Vec<AllocationRef>,
}

impl Task {
    /// Whether it may be placed: it has neither completed nor any allocation.
    pub fn is_unplaced(&self) -> bool {
        !self.done && self.allocations.is_empty()
    }
}

/// A reference from a task to its allocation.
#[derive(Clone, Debug)]
pub struct AllocationRef {
    /// The machine.
    pub machine: MachineName,
    /// The attempt.
    pub attempt: u64,
    /// The number of the placement record that holds it.
    pub placement_record: usize,
}

/// The record of which tasks of one shard have completed.
#[derive(Clone, Debug, Default)]
pub struct CompletionRecord {
    /// The version that the store last told; 0 where nothing is stored.
    pub version: u64,
    /// Since when the stored record is out of date.
    pub dirty_since: Option<Time>,
    /// Whether a write of it is in flight.
    pub in_flight: bool,
}
