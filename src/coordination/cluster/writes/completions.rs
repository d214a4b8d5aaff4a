//! Records which tasks have completed.

use super::ClusterState;
use crate::coordination::cluster::write_queue::{
    CompletionRecordId, OutdatedCompletions, WriteInFlight,
};
use crate::coordination::state::{Job, JobId};
use crate::coordination::Time;
use crate::protocol::store::Transaction;
use crate::storage::records::{completion_key, CompletionShards, StoredCompletions};
use std::collections::BTreeMap;

/// Completed tasks of a record that are written without waiting for the record's age: their workers list them in
/// heartbeats of limited length until then.
const MAX_UNRECORDED_TASKS: usize = 128;
/// How many times longer a record may be outdated while the rate limit is scarce.
const SCARCE_AGE_FACTOR: f64 = 2.0;
/// Bytes of a transaction that may be filled, of the 64 KiB allowed.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// A transaction that is being filled with completion records.
struct CompletionBatch {
    transaction: Transaction,
    records: Vec<CompletionRecordId>,
    bytes: usize,
    max_records: usize,
}

impl CompletionBatch {
    fn is_full(&self) -> bool {
        self.records.len() >= self.max_records || self.bytes >= MAX_TRANSACTION_BYTES
    }
}

impl ClusterState {
    /// Writes completion records that have been outdated for long enough.
    pub(super) fn write_completions(&mut self, now: Time) -> bool {
        let batch = self.fill_completion_batch(now);
        if batch.records.is_empty() {
            return false;
        }
        self.writes.spend(batch.records.len(), now);
        self.writes.stats_mut().completions += batch.records.len();
        for id in &batch.records {
            let job = self.jobs.get_mut(&id.job);
            let record = job.and_then(|job| job.completion_records.get_mut(&id.shard));
            if let Some(record) = record {
                record.write_sent();
            }
        }
        let write = WriteInFlight {
            completions: batch.records,
            ..WriteInFlight::default()
        };
        self.submit_write(batch.transaction, write);
        true
    }

    fn fill_completion_batch(&mut self, now: Time) -> CompletionBatch {
        let mut max_age_s = self.max_record_age_s();
        if self.writes.is_scarce(now) {
            max_age_s *= SCARCE_AGE_FACTOR;
        }
        let available = self.writes.available(now) as usize;
        let mut batch = CompletionBatch {
            transaction: self.begin_transaction(),
            records: Vec::new(),
            bytes: 0,
            max_records: self.writes.max_operations().min(available),
        };
        let mut in_flight = Vec::new();
        while !batch.is_full() {
            let Some(outdated) = self.writes.pop_outdated(max_age_s, now) else {
                break;
            };
            let id = &outdated.record;
            let Some(job) = self.jobs.get(&id.job).filter(|j| is_due(j, &outdated)) else {
                continue;
            };
            let Some(record) = job.completion_records.get(&id.shard) else {
                continue;
            };
            if record.in_flight {
                in_flight.push(outdated);
                continue;
            }
            let stored = self.stored_completions(job, id.shard);
            let value = serde_json::to_value(stored).expect("serializing plain data cannot fail");
            batch.bytes += value.to_string().len();
            let key = completion_key(&id.job, self.shards.record_number(id.shard));
            let version = record.version;
            batch.transaction = batch.transaction.version(&*key, version).put(key, value);
            batch.records.push(outdated.record);
        }
        self.writes.put_back_outdated(in_flight);
        batch
    }

    fn stored_completions(&self, job: &Job, shard: usize) -> StoredCompletions {
        let mut stored = StoredCompletions::default();
        let first = shard * self.shards.tasks_per_shard;
        let last = (first + self.shards.tasks_per_shard).min(job.task_count() as usize);
        for task in (first as u32..last as u32).filter(|task| job.is_done(*task)) {
            stored.push_done(task);
            // A completion that does not fit costs at worst another run of the task: its worker keeps
            // the result.
            if stored.bytes() > self.placement_records.max_bytes() {
                stored.done.pop();
                break;
            }
        }
        stored
    }

    /// Marks the completion record that holds a task as outdated.
    pub(crate) fn mark_completion_outdated(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let shard = task as usize / self.shards.tasks_per_shard;
        let record = job.completion_records.entry(shard).or_default();
        let unrecorded = record.add_unrecorded(task);
        self.queue_completion_record(id, shard, unrecorded, now);
    }

    /// Queues a completion record with this number of unrecorded tasks for a write.
    fn queue_completion_record(&mut self, id: &JobId, shard: usize, unrecorded: usize, now: Time) {
        let job = self.jobs.get_mut(id);
        let record = job.and_then(|job| job.completion_records.get_mut(&shard));
        let Some(record) = record else {
            return;
        };
        let is_due_now = unrecorded >= MAX_UNRECORDED_TASKS;
        let since = if is_due_now { f64::NEG_INFINITY } else { now };
        let is_queued = record.dirty_since.is_some_and(|queued| queued <= since);
        if is_queued {
            return;
        }
        record.dirty_since = Some(since);
        let record = CompletionRecordId {
            job: id.clone(),
            shard,
        };
        let outdated = OutdatedCompletions { since, record };
        if is_due_now {
            self.writes.push_due(outdated);
        } else {
            self.writes.push_outdated(outdated);
        }
    }

    /// Applies the outcome of the write of a completion record.
    pub(super) fn completions_written(
        &mut self,
        id: &CompletionRecordId,
        applied: Option<u64>,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let record = job.completion_records.entry(id.shard).or_default();
        if record.write_finished(applied) {
            self.queue_completion_record(&id.job, id.shard, 0, now);
        }
    }
}

/// Whether a completion record should still be written; a finished job gets its final state recorded
/// instead.
fn is_due(job: &Job, outdated: &OutdatedCompletions) -> bool {
    let is_open = !job.cancelled
        && !job.final_state_in_flight
        && !job.final_state_recorded
        && !job.needs_final_state();
    let record = job.completion_records.get(&outdated.record.shard);
    is_open && record.is_some_and(|record| record.dirty_since == Some(outdated.since))
}

/// Whether a task's completion is not on record yet, so that its worker must not forget it.
pub(in crate::coordination::cluster) fn is_completion_unrecorded(
    jobs: &BTreeMap<JobId, Job>,
    shards: CompletionShards,
    job: &JobId,
    task: u32,
) -> bool {
    jobs.get(job).is_some_and(|job| {
        let record = job
            .completion_records
            .get(&(task as usize / shards.tasks_per_shard));
        !job.final_state_recorded && record.is_some_and(|record| record.is_unrecorded(task))
    })
}
