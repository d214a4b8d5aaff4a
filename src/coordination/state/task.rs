//! References from tasks to their allocations, and completion records.

use super::MachineName;
use crate::coordination::Time;
use std::collections::BTreeSet;

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
    unrecorded: BTreeSet<u32>,
    /// The tasks that the write in flight records for the first time.
    being_recorded: BTreeSet<u32>,
}

impl CompletionRecord {
    /// Adds a completed task that is not on record; returns how many such tasks there are.
    pub fn add_unrecorded(&mut self, task: u32) -> usize {
        self.unrecorded.insert(task);
        self.unrecorded.len()
    }

    /// Whether a task's completion is not known to be on record.
    pub fn is_unrecorded(&self, task: u32) -> bool {
        self.unrecorded.contains(&task) || self.being_recorded.contains(&task)
    }

    /// Notes that a write with all completed tasks was sent.
    pub fn write_sent(&mut self) {
        self.in_flight = true;
        self.dirty_since = None;
        self.being_recorded = std::mem::take(&mut self.unrecorded);
    }

    /// Notes the outcome of the write in flight: the new version, or `None` if it may not have been applied.
    /// Returns whether tasks have to be written again.
    pub fn write_finished(&mut self, version: Option<u64>) -> bool {
        self.in_flight = false;
        let mut recorded = std::mem::take(&mut self.being_recorded);
        if let Some(version) = version {
            self.version = version;
            return false;
        }
        self.unrecorded.append(&mut recorded);
        true
    }
}
