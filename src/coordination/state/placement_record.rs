//! Placement records: the stored mapping of tasks to machines.

use super::{AllocationId, JobId, MachineName};
use crate::coordination::Time;
use crate::protocol::job::Priority;
use crate::storage::records::{allocation_bytes, job_bytes, EMPTY_RECORD_BYTES};
use std::collections::{BTreeMap, BTreeSet};

/// An allocation and its machine: one entry of a placement record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The allocation.
    pub allocation: AllocationId,
    /// The machine of the allocation.
    pub machine: MachineName,
}

/// How urgent the write of a placement record is; the record with the higher urgency is written first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct WriteUrgency {
    /// The highest priority of the launches that wait for the write.
    pub priority: Option<Priority>,
    /// The total waiting time of these launches, in seconds.
    pub waited_s: f64,
}

/// A placement record. Placements of many jobs share a record, because each launch requires a write
/// of its record.
#[derive(Debug, Default)]
pub struct PlacementRecord {
    /// The last known version of the record's key; 0 if the key does not exist.
    pub version: u64,
    /// Since when the stored record has contained released placements, or has lacked placements whose
    /// launches do not wait for the write.
    pub dirty_since: Option<Time>,
    /// Whether a write of the record is in flight.
    pub in_flight: bool,
    /// Other records to which placements of this record move. Until those records are written, the
    /// stored version of this record must not change.
    pub pending_move_targets: BTreeSet<usize>,
    placements: BTreeSet<Placement>,
    /// The size of the stored record, minus that of an empty record.
    bytes: usize,
    /// Placements that are not stored yet and whose launches wait for the write.
    pending: BTreeMap<Placement, Priority>,
    /// Since when `pending` has been non-empty.
    pending_since: Time,
}

impl PlacementRecord {
    /// The placements in this record, in order.
    pub fn placements(&self) -> &BTreeSet<Placement> {
        &self.placements
    }

    fn holds_job(&self, job: &JobId) -> bool {
        let first = Placement {
            allocation: AllocationId::new(job.clone(), 0, 0),
            machine: "".into(),
        };
        let next = self.placements.range(first..).next();
        next.is_some_and(|placement| placement.allocation.job == *job)
    }

    /// Adds a placement.
    pub fn insert(&mut self, placement: Placement) {
        self.bytes += self.bytes_for(&placement);
        self.placements.insert(placement);
    }

    /// Removes a placement; returns whether the record contained it.
    pub fn remove(&mut self, placement: &Placement) -> bool {
        let removed = self.placements.remove(placement);
        self.pending.remove(placement);
        if removed {
            self.bytes -= self.bytes_for(placement);
        }
        removed
    }

    /// Marks a placement as pending: its launch waits until this record is written.
    pub fn add_pending(&mut self, placement: Placement, priority: Priority, now: Time) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.insert(placement, priority);
    }

    /// Marks a placement as stored.
    pub fn mark_stored(&mut self, placement: &Placement) {
        self.pending.remove(placement);
    }

    /// Whether the launch of a placement waits for the write of this record.
    pub fn is_pending(&self, placement: &Placement) -> bool {
        self.pending.contains_key(placement)
    }

    /// Whether any launch waits for the write of this record.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// How urgent the write of this record is.
    pub fn urgency(&self, now: Time) -> WriteUrgency {
        WriteUrgency {
            priority: self.pending.values().max().copied(),
            waited_s: self.pending.len() as f64 * (now - self.pending_since),
        }
    }

    /// The number of bytes that a new placement adds to the stored record.
    pub fn bytes_for(&self, placement: &Placement) -> usize {
        let allocation = &placement.allocation;
        let job = if self.holds_job(&allocation.job) {
            0
        } else {
            job_bytes(&allocation.job)
        };
        job + allocation_bytes(&placement.machine, allocation.task, allocation.attempt)
    }

    /// An upper bound for the size of the stored record, in bytes.
    pub fn bytes(&self) -> usize {
        EMPTY_RECORD_BYTES + self.bytes
    }

    /// Whether the record can be written now.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.pending_move_targets.is_empty()
    }
}
