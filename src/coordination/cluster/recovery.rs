//! How a new leader rebuilds its state: from the records, then from heartbeats of the workers.

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
    pub open: Vec<VersionedValue>,
    /// Records of completed tasks.
    pub run: Vec<VersionedValue>,
    /// Placement records.
    pub places: Vec<VersionedValue>,
}

/// The value of a record, if it can be read.
fn decode<T: DeserializeOwned>(item: VersionedValue) -> Option<T> {
    serde_json::from_value(item.value)
        .map_err(|error| warn!(key = %item.key, %error, "the record cannot be read"))
        .ok()
}

impl ClusterState {
    /// Loads what earlier leaders recorded. Once a worker has seen this leader's token, no older
    /// command reaches it, and its heartbeat is the truth.
    pub(crate) fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        self.clock = WallClock::new(wall_ms, now);
        let mut open: BTreeMap<u64, OpenRecord> = BTreeMap::new();
        for item in records.open {
            let version = item.version;
            if let Some(record) = decode::<OpenRecord>(item) {
                open.insert(version, record);
            }
        }
        for (version, record) in open {
            self.job_accepted(record, version, wall_ms, now);
        }
        for item in records.run {
            self.recover_completions(item);
        }
        for item in records.places {
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
            "leadership begins, records are read"
        );
    }

    fn recover_completions(&mut self, item: VersionedValue) {
        let Some((id, number)) = parse_completion_key(&item.key) else {
            return;
        };
        let id: JobId = id.into();
        let Some(job) = self.jobs.get_mut(&id) else {
            // Left over by the end of a job with more records than one transaction removes.
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
                if let Some(record) = job.completion_records.get_mut(shard) {
                    record.version = version;
                }
            }
            // Never written here, as it may tell of tasks that this leader's record of such a number
            // does not.
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
