//! Records of places at the state service.

use super::{AllocationId, Name};
use crate::coordination::Time;
use crate::protocol::job::Priority;
use crate::storage::records::{job_bytes, place_bytes, EMPTY_BYTES};
use std::collections::{BTreeMap, BTreeSet};

/// A record of places. Those of many jobs share one, as a launch costs a change of its record.
#[derive(Debug, Default)]
pub struct PlacementRecord {
    pub version: u64,
    entries: BTreeSet<(AllocationId, Name)>,
    /// What its record takes, beyond that of an empty one.
    bytes: usize,
    /// Those that no record tells of yet, whose launches wait for it, and since when there are any.
    planned: BTreeMap<(AllocationId, Name), Priority>,
    planned_since: Time,
    /// Since when it holds what is gone, or lacks what no launch waits for.
    pub dirty: Option<Time>,
    pub in_flight: bool,
    /// Other records that take over some of what this one told of. Until they are written, its old
    /// record must stay as it is.
    pub shrinks_after: BTreeSet<usize>,
}

impl PlacementRecord {
    pub fn entries(&self) -> &BTreeSet<(AllocationId, Name)> {
        &self.entries
    }

    fn holds_job(&self, id: &Name) -> bool {
        let first: (AllocationId, Name) = ((id.clone(), 0, 0), "".into());
        let next = self.entries.range(first..).next();
        next.is_some_and(|((other, ..), _)| other == id)
    }

    pub fn insert(&mut self, key: AllocationId, machine: Name) {
        self.bytes += self.bytes_for(&key, &machine);
        self.entries.insert((key, machine));
    }

    pub fn remove(&mut self, entry: &(AllocationId, Name)) -> bool {
        let held = self.entries.remove(entry);
        self.planned.remove(entry);
        if held {
            self.bytes -= self.bytes_for(&entry.0, &entry.1);
        }
        held
    }

    /// A place that is in it waits for its record.
    pub fn plan(&mut self, entry: (AllocationId, Name), priority: Priority, now: Time) {
        if self.planned.is_empty() {
            self.planned_since = now;
        }
        self.planned.insert(entry, priority);
    }

    /// The record tells of a place now.
    pub fn recorded(&mut self, entry: &(AllocationId, Name)) {
        self.planned.remove(entry);
    }

    pub fn is_planned(&self, entry: &(AllocationId, Name)) -> bool {
        self.planned.contains_key(entry)
    }

    pub fn has_planned(&self) -> bool {
        !self.planned.is_empty()
    }

    /// How much its writing is worth: the highest priority that waits for it, then how long all that
    /// does so has waited.
    pub fn urgency(&self, now: Time) -> (Option<Priority>, f64) {
        let waits = self.planned.len() as f64 * (now - self.planned_since);
        (self.planned.values().max().copied(), waits)
    }

    /// What a new place adds to the record.
    pub fn bytes_for(&self, key: &AllocationId, machine: &Name) -> usize {
        let job = if self.holds_job(&key.0) {
            0
        } else {
            job_bytes(&key.0)
        };
        job + place_bytes(machine, key.1, key.2)
    }

    /// The size of its record at the most.
    pub fn bytes(&self) -> usize {
        EMPTY_BYTES + self.bytes
    }

    /// Whether it can be written now.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.shrinks_after.is_empty()
    }
}
