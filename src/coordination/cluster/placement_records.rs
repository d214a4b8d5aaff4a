//! All placement records: which record a new placement goes into, and which record is written next.

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
    /// The pending placements in the record.
    pub(super) pending: Vec<Placement>,
}

/// All placement records of the cluster, by number.
pub(super) struct PlacementRecords {
    records: Vec<PlacementRecord>,
    /// Records that launches wait for.
    awaiting_write: BTreeSet<usize>,
    /// The record that new placements go into.
    current: usize,
    /// Records that wait until other records have stored the placements moved to them.
    shrinking: BTreeSet<usize>,
    /// The largest size of a stored record, in bytes.
    max_bytes: usize,
}

impl PlacementRecords {
    /// Starts without records; none will exceed `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> PlacementRecords {
        PlacementRecords {
            records: Vec::new(),
            awaiting_write: BTreeSet::new(),
            current: 0,
            shrinking: BTreeSet::new(),
            max_bytes,
        }
    }

    /// The number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The number of records that launches wait for.
    pub(super) fn awaiting_write_count(&self) -> usize {
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

    /// The last known version of a record in the store.
    pub(super) fn version(&self, record: usize) -> u64 {
        self.records[record].version
    }

    /// Sets the version of a record in the store, if there is such a record.
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

    /// Completes the restoration of a record's placements. Stored placements that were not restored, of
    /// finished jobs or duplicates of another record's, are dropped by the next write.
    pub(super) fn restored(&mut self, record: usize, stored_placements: usize, now: Time) {
        let record = &mut self.records[record];
        let holds_more = record.placements().len() < stored_placements;
        record.dirty_since = holds_more.then_some(now);
    }

    /// The record that a new placement goes into: the current one until it is full or in flight, then
    /// one that is at most half full, or a new one. Small gaps stay unused, because each placement that
    /// fills one would cost a separate write.
    pub(super) fn choose(&mut self, placement: &Placement) -> usize {
        let max_bytes = self.max_bytes;
        let accepts = |record: &PlacementRecord| {
            record.is_idle() && record.bytes() + record.bytes_for(placement) <= max_bytes
        };
        if !self.records.get(self.current).is_some_and(accepts) {
            let is_half_empty =
                |record: &PlacementRecord| accepts(record) && record.bytes() <= max_bytes / 2;
            let half_empty = self.records.iter().enumerate();
            let half_empty = half_empty.filter(|(_, record)| is_half_empty(record));
            let emptiest =
                half_empty.min_by_key(|(_, record)| (!record.has_pending(), record.bytes()));
            self.current = emptiest.map_or(self.records.len(), |(number, _)| number);
            if self.current == self.records.len() {
                self.records.push(PlacementRecord::default());
            }
        }
        self.current
    }

    /// Inserts a placement into a record. A launch waits for its write if `pending` holds a priority.
    pub(super) fn insert(
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

    /// Takes the last placement out of a record that is too large. A record can be too large if an
    /// earlier leader had a higher limit.
    pub(super) fn take_excess(&mut self, record: usize) -> Option<Placement> {
        let record = &mut self.records[record];
        if record.bytes() <= self.max_bytes || record.placements().len() <= 1 {
            return None;
        }
        let last = record.placements().last().cloned()?;
        record.remove(&last);
        Some(last)
    }

    /// Notes that a placement has moved from one record to another. The old record is not rewritten
    /// until the new one is stored, so that the placement is always on record.
    pub(super) fn moved(&mut self, from: usize, to: usize, now: Time) {
        self.records[from].pending_move_targets.insert(to);
        self.shrinking.insert(from);
        self.records[from].dirty_since.get_or_insert(now);
    }

    /// The record to write next: the most urgent of those that launches wait for, or else one that has
    /// been outdated for `max_age_s`, if that is given. A fixed order would starve the last records
    /// while the write rate is scarce.
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

    /// The value to store for a record, and the pending placements in it. These are limited to
    /// `max_jobs` jobs, the number of compares that a transaction has for them; the others wait for the
    /// next write.
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
            let machines = stored.allocations.entry(job).or_default();
            let tasks = machines.entry(placement.machine.to_string()).or_default();
            tasks.push((allocation.task, allocation.attempt));
        }
        (stored, SentPlacements { record, pending })
    }

    /// Notes that a write of a record is in flight.
    pub(super) fn write_started(&mut self, record: usize) {
        self.records[record].in_flight = true;
        self.records[record].dirty_since = None;
        self.awaiting_write.remove(&record);
    }

    /// Notes that a write of a record failed or is indeterminate: the record is written again.
    pub(super) fn write_failed(&mut self, record: usize, now: Time) {
        self.records[record].in_flight = false;
        self.records[record].dirty_since.get_or_insert(now);
        self.awaiting_write.insert(record);
    }

    /// Notes that a write of a record was applied. Records that waited for it to store moved placements
    /// may shrink.
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
        // Placements for which the last write had no compares left.
        if self.records[record].has_pending() {
            self.awaiting_write.insert(record);
        }
    }
}

fn compare_urgency(a: &WriteUrgency, b: &WriteUrgency) -> Ordering {
    let by_priority = a.priority.cmp(&b.priority);
    by_priority.then(a.waited_s.total_cmp(&b.waited_s))
}
