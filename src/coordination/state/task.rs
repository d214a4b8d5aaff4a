//! Tasks, the machines that they may be on, and the records of which have completed.

use super::Name;
use crate::coordination::Time;

/// A task, and the machines that it is or may be on. It may only be placed while there are none.
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub done: bool,
    pub at: Vec<AllocationRef>,
}

/// A machine that a task is or may be on.
#[derive(Clone, Debug)]
pub struct AllocationRef {
    pub machine: Name,
    pub attempt: u64,
    /// The record that tells of it.
    pub placement_record: usize,
}

/// The record of which of a range of tasks have completed.
#[derive(Clone, Debug, Default)]
pub struct CompletionRecord {
    pub version: u64,
    /// Since when the record is out of date.
    pub dirty: Option<Time>,
    pub in_flight: bool,
}
