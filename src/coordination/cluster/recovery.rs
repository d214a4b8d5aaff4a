//! How a new leader rebuilds its picture: from the records, then from the workers themselves.

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{Name, PlacementRecord};
use crate::coordination::Time;
use crate::protocol::store::VersionedValue;
use crate::storage::records::{
    parse_completion_key, parse_placement_key, OpenRecord, StoredCompletions, StoredPlacements,
};
use std::collections::BTreeMap;
use tracing::info;

/// The records that a new leader reads.
#[derive(Debug, Default)]
pub struct Records {
    pub open: Vec<VersionedValue>,
    pub run: Vec<VersionedValue>,
    pub places: Vec<VersionedValue>,
}

impl ClusterState {
    /// Loads what earlier leaders recorded. Once a worker has seen our token, no older command
    /// reaches it, and its report is the truth.
    pub fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        self.day_ms = wall_ms as f64 - 1000.0 * now;
        let mut open: BTreeMap<u64, OpenRecord> = BTreeMap::new();
        for item in records.open {
            if let Some(record) = Self::decode::<OpenRecord>(&item.key, item.value) {
                open.insert(item.version, record);
            }
        }
        for (version, record) in open {
            self.job_accepted(record, version, wall_ms, now);
        }
        for item in records.run {
            let Some((id, number)) = parse_completion_key(&item.key) else {
                continue;
            };
            let id: Name = id.into();
            if !self.jobs.contains_key(&id) {
                // Left over by the end of a job with more records than one transaction removes.
                self.stale_keys.insert(item.key);
                continue;
            }
            let Some(record) = Self::decode::<StoredCompletions>(&item.key, item.value) else {
                continue;
            };
            self.recover_completion_record(&id, number, record, item.version);
        }
        for item in records.places {
            let Some(placement_record) = parse_placement_key(&item.key) else {
                continue;
            };
            if self.placement_records.len() <= placement_record {
                self.placement_records
                    .resize_with(placement_record + 1, PlacementRecord::default);
            }
            self.placement_records[placement_record].version = item.version;
            if let Some(record) = Self::decode::<StoredPlacements>(&item.key, item.value) {
                self.recover_placement_record(placement_record, record, now);
            }
        }
        self.waits_no_more();
        for placement_record in 0..self.placement_records.len() {
            self.split_placement_record(placement_record, now);
        }
        info!(
            "leads with token {}: {} open jobs, places on {} machines",
            self.token,
            self.jobs.len(),
            self.machines.len()
        );
    }

    /// A job that was accepted at some time of day.
    pub fn job_accepted(&mut self, record: OpenRecord, version: u64, wall_ms: u64, now: Time) {
        let age_s = wall_ms.saturating_sub(record.at_ms) as f64 / 1000.0;
        self.job_open(record, version, now, now - age_s);
    }

    fn recover_completion_record(
        &mut self,
        id: &Name,
        number: usize,
        record: StoredCompletions,
        version: u64,
    ) {
        for (first, last) in &record.done {
            for task in *first..=*last {
                self.recover_done(id, task);
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match self.cut.shard_index(number) {
            Some(i) => {
                if let Some(completion_record) = job.completion_records.get_mut(i) {
                    completion_record.version = version;
                }
            }
            // Never written here, as it may tell of tasks that our records of such a number do not.
            None => job.other_cuts.push(number),
        }
    }

    fn recover_placement_record(
        &mut self,
        placement_record: usize,
        record: StoredPlacements,
        now: Time,
    ) {
        let mut told = 0;
        for (id, machines) in record.places {
            let id: Name = id.as_str().into();
            told += machines.values().map(Vec::len).sum::<usize>();
            if !self.jobs.contains_key(&id) {
                continue;
            }
            for (machine, places) in machines {
                let machine: Name = machine.as_str().into();
                for (task, attempt) in places {
                    let key = (id.clone(), task, attempt);
                    self.recover_place(placement_record, key, &machine, now);
                }
            }
        }
        // What it holds of jobs that are over, or what another holds too, goes with its next writing.
        let placement_record = &mut self.placement_records[placement_record];
        placement_record.dirty = (placement_record.entries().len() < told).then_some(now);
    }
}
