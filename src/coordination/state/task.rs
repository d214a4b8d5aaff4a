//! References from tasks to their allocations, and completion records.

use super::MachineName;
use crate::coordination::Time;

/// A reference from a task to one of its allocations.
#[derive(Clone, Debug)]
pub struct AllocationRef {
    /// The machine of the allocation.
    pub machine: MachineName,
    /// The attempt of the allocation.
    pub attempt: u64,
    /// The number of the placement record that contains the allocation.
    pub placement_record: usize,
}

/// The write state of a completion record, which lists the completed tasks of one shard of a job.
#[derive(Clone, Debug, Default)]
pub struct CompletionRecord {
    /// The last known version of the record's key; 0 if the key does not exist.
    pub version: u64,
    /// Since when the stored record has been outdated.
    pub dirty_since: Option<Time>,
    /// Whether a write of the record is in flight.
    pub in_flight: bool,
}
