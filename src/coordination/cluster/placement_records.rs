//! All placement records: which one a new placement goes into, and which is written next.

use crate::coordination::state::{JobId, Placement, PlacementRecord, WriteUrgency};
use crate::coordination::Time;
use crate::protocol::job::Priority;
use crate::storage::records::StoredPlacements;
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// A placement record in flight, with the pending placements that it stores for the first time.
#[derive(Debug)]
pub(super) struct SentPlacements {
    /// The number of the record.
    pub(super) record: usize,
    /// The pending placements in it.
    pub(super) pending: Vec<Placement>,
}

/// All placement records of the cluster, by their numbers.
pub(super) struct PlacementRecords {
    records: Vec<PlacementRecord>,
    /// Those that launches wait for.
    awaiting_write: BTreeSet<usize>,
    /// The record that new placements go into.
    open: usize,
    /// Records that wait for others to take over some of their placements.
    shrinking: BTreeSet<usize>,
    /// The largest size of a stored record, in bytes.
    max_bytes: usize,
}

impl PlacementRecords {
    /// No records yet; none will be larger than so many bytes.
    pub(super) fn new(max_bytes: usize) -> PlacementRecords {
        PlacementRecords {
            records: Vec::new(),
            awaiting_write: BTreeSet::new(),
            open: 0,
            shrinking: BTreeSet::new(),
            max_bytes,
        }
    }

    /// How many records there are.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// How many records launches wait for.
    pub(super) fn awaiting_write(&self) -> usize {
        self.awaiting_write.len()
    }

    /// The largest size of a stored record, in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Lowers the largest size of a stored record.
    pub(super) fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// The size of a record, in bytes.
    pub(super) fn bytes(&self, record: usize) -> usize {
        self.records[record].bytes()
    }

    /// The version that the store last told of a record.
    pub(super) fn version(&self, record: usize) -> u64 {
        self.records[record].version
    }

    /// Sets the version that the store tells of a record, if there is such a record.
    pub(super) fn set_version(&mut self, record: usize, version: u64) {
        if let Some(record) = self.records.get_mut(record) {
            record.version = version;
        }
    }

    /// Restores a record that an earlier leader stored.
    pub(super) fn restore(&mut self, record: usize, version: u64) {
        if self.records.len() <= record {
            self.records
                .resize_with(record + 1, PlacementRecord::default);
        }
        self.records[record].version = version;
    }

    /// The placements of a stored record are restored. What it holds of jobs that are over, or what
    /// another record holds too, goes with its next write.
    pub(super) fn restored(&mut self, record: usize, stored_placements: usize, now: Time) {
        let record = &mut self.records[record];
        let holds_more = record.placements().len() < stored_placements;
        record.dirty_since = holds_more.then_some(now);
    }

    /// The record that a new placement goes into: the open one, until it is full or in flight; then
    /// one that is half empty, or a new one. Small gaps are left: placements that fill them would each
    /// cost a change of a record of their own.
    pub(super) fn choose(&mut self, placement: &Placement) -> usize {
        let max_bytes = self.max_bytes;
        let accepts = |record: &PlacementRecord| {
            record.is_idle() && record.bytes() + record.bytes_for(placement) <= max_bytes
        };
        if !self.records.get(self.open).is_some_and(accepts) {
            let is_half_empty =
                |record: &PlacementRecord| accepts(record) && record.bytes() <= max_bytes / 2;
            let half_empty = self.records.iter().enumerate();
            let half_empty = half_empty.filter(|(_, record)| is_half_empty(record));
            let emptiest =
                half_empty.min_by_key(|(_, record)| (!record.has_pending(), record.bytes()));
            self.open = emptiest.map_or(self.records.len(), |(number, _)| number);
            if self.open == self.records.len() {
                self.records.push(PlacementRecord::default());
            }
        }
        self.open
    }

    /// Enters a placement into a record; a launch waits for it where a priority is given.
    pub(super) fn enter(
        &mut self,
        record: usize,
        placement: Placement,
        pending: Option<Priority>,
        now: Time,
    ) {
        let entry = &mut self.records[record];
        entry.insert(placement.clone());
        if let Some(priority) = pending {
            entry.add_pending(placement, priority, now);
            self.awaiting_write.insert(record);
        } else {
            entry.dirty_since.get_or_insert(now);
        }
    }

    /// Removes a placement from a record.
    pub(super) fn remove(&mut self, record: usize, placement: &Placement, now: Time) {
        let record = &mut self.records[record];
        if record.remove(placement) {
            record.dirty_since.get_or_insert(now);
        }
    }

    /// Takes the last placement out of a record that is too large, as after a leader whose records
    /// may be larger.
    pub(super) fn take_excess(&mut self, record: usize) -> Option<Placement> {
        let record = &mut self.records[record];
        if record.bytes() <= self.max_bytes || record.placements().len() <= 1 {
            return None;
        }
        let last = record.placements().last().cloned()?;
        record.remove(&last);
        Some(last)
    }

    /// Notes that a placement went from one record to another. Until that is written, the old record
    /// stays as it is: what it told must not be forgotten in between.
    pub(super) fn moved(&mut self, from: usize, to: usize, now: Time) {
        self.records[from].pending_move_targets.insert(to);
        self.shrinking.insert(from);
        self.records[from].dirty_since.get_or_insert(now);
    }

    /// The record to write next: of those that launches wait for, the most urgent; else one that has
    /// been out of date for `max_age_s`, if any age is given. Not in any fixed order: what comes last in
    /// it would wait for ever while the write rate is short.
    pub(super) fn next_to_write(&mut self, max_age_s: Option<f64>, now: Time) -> Option<usize> {
        let records = &self.records;
        self.awaiting_write
            .retain(|number| records[*number].has_pending());
        let idle = self.awaiting_write.iter().copied();
        let idle = idle.filter(|number| records[*number].is_idle());
        let by_urgency = idle.map(|number| (records[number].urgency(now), number));
        let most_urgent = by_urgency.max_by(|(a, _), (b, _)| compare_urgency(a, b));
        let is_outdated = |record: &PlacementRecord, max_age_s: f64| {
            record.is_idle() && record.dirty_since.is_some_and(|t| now - t > max_age_s)
        };
        most_urgent.map(|(_, number)| number).or_else(|| {
            let max_age_s = max_age_s?;
            records.iter().position(|r| is_outdated(r, max_age_s))
        })
    }

    /// What a record holds when it is written, with the pending placements that it stores: those of as
    /// many jobs as a transaction has compares for; the others wait for the next write.
    pub(super) fn stored_value(
        &self,
        record: usize,
        max_jobs: usize,
    ) -> (StoredPlacements, SentPlacements) {
        let mut stored = StoredPlacements::default();
        let mut pending = Vec::new();
        let mut jobs: BTreeSet<&JobId> = BTreeSet::new();
        let entry = &self.records[record];
        for placement in entry.placements() {
            let allocation = &placement.allocation;
            if entry.is_pending(placement) {
                if !jobs.contains(&allocation.job) && jobs.len() >= max_jobs {
                    continue;
                }
                jobs.insert(&allocation.job);
                pending.push(placement.clone());
            }
            let job = allocation.job.to_string();
            let machines = stored.places.entry(job).or_default();
            let tasks = machines.entry(placement.machine.to_string()).or_default();
            tasks.push((allocation.task, allocation.attempt));
        }
        (stored, SentPlacements { record, pending })
    }

    /// A write of a record is in flight.
    pub(super) fn write_started(&mut self, record: usize) {
        self.records[record].in_flight = true;
        self.records[record].dirty_since = None;
        self.awaiting_write.remove(&record);
    }

    /// A write of a record was not applied, or nobody knows: it is to be written again.
    pub(super) fn write_failed(&mut self, record: usize, now: Time) {
        self.records[record].in_flight = false;
        self.records[record].dirty_since.get_or_insert(now);
        self.awaiting_write.insert(record);
    }

    /// A write of a record was applied: records that waited for it to take over placements may
    /// shrink.
    pub(super) fn write_applied(&mut self, sent: &SentPlacements, version: u64) {
        let record = sent.record;
        self.records[record].in_flight = false;
        self.records[record].version = version;
        let records = &mut self.records;
        self.shrinking.retain(|number| {
            records[*number].pending_move_targets.remove(&record);
            !records[*number].pending_move_targets.is_empty()
        });
        for placement in &sent.pending {
            self.records[record].mark_stored(placement);
        }
        // Those for which the last write had no compares.
        if self.records[record].has_pending() {
            self.awaiting_write.insert(record);
        }
    }
}

fn compare_urgency(a: &WriteUrgency, b: &WriteUrgency) -> Ordering {
    let by_priority = a.priority.cmp(&b.priority);
    by_priority.then(a.waited_s.total_cmp(&b.waited_s))
}
