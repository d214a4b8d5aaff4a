//! Placement records: which tasks are on which machines, as the store tells it.

use super::{AllocationId, JobId, MachineName};
use crate::coordination::Time;
use crate::protocol::job::Priority;
use crate::storage::records::{allocation_bytes, job_bytes, EMPTY_RECORD_BYTES};
use std::collections::{BTreeMap, BTreeSet};

/// An allocation with its machine, as a placement record holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The allocation.
    pub allocation: AllocationId,
    /// The machine that it is on.
    pub machine: MachineName,
}

/// What waits for a placement record to be written: the higher is written first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct WriteUrgency {
    /// The highest priority of the launches that wait for it.
    pub priority: Option<Priority>,
    /// For how long all of them have waited together, in seconds.
    pub waited_s: f64,
}

/// A placement record. Placements of many jobs share one, as each launch costs a change of its record.
#[derive(Debug, Default)]
pub struct PlacementRecord {
    /// The version that the store last told; 0 where nothing is stored.
    pub version: u64,
    /// Since when the stored record holds what is gone, or lacks what no launch waits for.
    pub dirty_since: Option<Time>,
    /// Whether a write of it is in flight.
    pub in_flight: bool,
    /// Other records that take over placements of this one. Until those are written, the stored record
    /// must stay as it is.
    pub shrinks_after: BTreeSet<usize>,
    placements: BTreeSet<Placement>,
    /// The size of the stored record, beyond that of an empty one.
    bytes: usize,
    /// Placements that are not stored yet, whose launches wait for that.
    pending: BTreeMap<Placement, Priority>,
    /// Since when there are any.
    pending_since: Time,
}

impl PlacementRecord {
    /// What it holds, in order.
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

    /// Removes a placement; returns whether it was held.
    pub fn remove(&mut self, placement: &Placement) -> bool {
        let held = self.placements.remove(placement);
        self.pending.remove(placement);
        if held {
            self.bytes -= self.bytes_for(placement);
        }
        held
    }

    /// Notes that the launch of a placement waits for this record.
    pub fn add_pending(&mut self, placement: Placement, priority: Priority, now: Time) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.insert(placement, priority);
    }

    /// Notes that a placement is stored now.
    pub fn mark_stored(&mut self, placement: &Placement) {
        self.pending.remove(placement);
    }

    /// Whether the launch of a placement waits for this record.
    pub fn is_pending(&self, placement: &Placement) -> bool {
        self.pending.contains_key(placement)
    }

    /// Whether any launch waits for this record.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// How urgent its write is.
    pub fn urgency(&self, now: Time) -> WriteUrgency {
        WriteUrgency {
            priority: self.pending.values().max().copied(),
            waited_s: self.pending.len() as f64 * (now - self.pending_since),
        }
    }

    /// How much a new placement adds to the stored record, in bytes.
    pub fn bytes_for(&self, placement: &Placement) -> usize {
        let allocation = &placement.allocation;
        let job = if self.holds_job(&allocation.job) {
            0
        } else {
            job_bytes(&allocation.job)
        };
        job + allocation_bytes(&placement.machine, allocation.task, allocation.attempt)
    }

    /// The size of the stored record at the most, in bytes.
    pub fn bytes(&self) -> usize {
        EMPTY_RECORD_BYTES + self.bytes
    }

    /// Whether it can be written now.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.shrinks_after.is_empty()
    }
}
