//! Rebuilds the state of a new leader from the records; workers' heartbeats then complete it.

use super::wall_clock::WallClock;
use super::ClusterState;
use crate::coordination::state::{AllocationId, JobId, MachineName, Placement};
use crate::coordination::Time;
use crate::protocol::store::VersionedValue;
use crate::storage::records::{
    parse_completion_key, parse_placement_key, OpenRecord, StoredCompletions, StoredPlacements,
};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// The records that a new leader reads.
#[derive(Debug, Default)]
pub struct Records {
    /// Open jobs.
    pub open_jobs: Vec<VersionedValue>,
    /// Completion records.
    pub completions: Vec<VersionedValue>,
    /// Placement records.
    pub placements: Vec<VersionedValue>,
}

/// Decodes the value of a record; logs a warning if it cannot be decoded.
fn decode<T: DeserializeOwned>(item: VersionedValue) -> Option<T> {
    serde_json::from_value(item.value)
        .map_err(|error| warn!(key = %item.key, %error, "record cannot be decoded"))
        .ok()
}

impl ClusterState {
    /// Loads the records of earlier leaders. Once a worker has seen this leader's token, no older
    /// command can reach it, and its heartbeat is authoritative.
    pub(crate) fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        self.clock = WallClock::new(wall_ms, now);
        let mut open: BTreeMap<u64, OpenRecord> = BTreeMap::new();
        for item in records.open_jobs {
            let version = item.version;
            if let Some(record) = decode::<OpenRecord>(item) {
                open.insert(version, record);
            }
        }
        for (version, record) in open {
            self.job_accepted(record, version, wall_ms, now);
        }
        for item in records.completions {
            self.recover_completions(item);
        }
        for item in records.placements {
            self.recover_placements(item, now);
        }
        self.clear_met_dependencies();
        for record in 0..self.placement_records.len() {
            self.split_placement_record(record, now);
        }
        info!(
            token = %self.leadership.token(),
            open_jobs = self.jobs.len(),
            machines = self.machines.len(),
            "records read, leadership term starts"
        );
    }

    fn recover_completions(&mut self, item: VersionedValue) {
        let Some((id, number)) = parse_completion_key(&item.key) else {
            return;
        };
        let id: JobId = id.into();
        let Some(job) = self.jobs.get_mut(&id) else {
            // Left over from a finished job with more records than one transaction removes.
            self.writes.add_stale_keys([item.key]);
            return;
        };
        let version = item.version;
        let Some(stored) = decode::<StoredCompletions>(item) else {
            return;
        };
        for (first, last) in &stored.done {
            for task in *first..=*last {
                job.complete_task(task);
            }
        }
        match self.shards.shard_index(number) {
            Some(shard) => {
                let record = job.completion_records.entry(shard).or_default();
                record.version = version;
            }
            // This leader never writes such a record, because it may cover tasks that this leader's own
            // record with the same number does not.
            None => job.foreign_shards.push(number),
        }
    }

    fn recover_placements(&mut self, item: VersionedValue, now: Time) {
        let Some(record) = parse_placement_key(&item.key) else {
            return;
        };
        self.placement_records.restore(record, item.version);
        let Some(stored) = decode::<StoredPlacements>(item) else {
            return;
        };
        let mut count = 0;
        for (job, machines) in stored.allocations {
            let job: JobId = job.as_str().into();
            count += machines.values().map(Vec::len).sum::<usize>();
            if !self.jobs.contains_key(&job) {
                continue;
            }
            for (machine, tasks) in machines {
                let machine: MachineName = machine.as_str().into();
                for (task, attempt) in tasks {
                    let placement = Placement {
                        allocation: AllocationId::new(job.clone(), task, attempt),
                        machine: machine.clone(),
                    };
                    self.restore_allocation(record, placement, now);
                }
            }
        }
        self.placement_records.restored(record, count, now);
    }
}
