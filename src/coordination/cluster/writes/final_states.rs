//! Records the final states of jobs.

use crate::coordination::cluster::write_queue::WriteInFlight;
use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{Job, JobId};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::store::Transaction;
use crate::storage::records::{completion_key, final_state_key, open_key, FinalStateRecord};
use tracing::info;

/// Operations of a transaction that records a final state: the record itself, and the removal of the
/// open job.
pub(super) const MAX_FINAL_STATE_OPERATIONS: usize = 2;
/// Operations for a cancelled job, whose final state was recorded by the user's cancellation.
const CANCELLED_JOB_OPERATIONS: usize = 1;

/// The final state of a finished job.
fn final_state(job: &Job) -> JobState {
    if job.will_be_cancelled() {
        JobState::Cancelled
    } else {
        JobState::Done
    }
}

impl ClusterState {
    /// Records the final state of a job under a write-once key and removes the open job. The job's
    /// other records are no longer needed then, and are removed when the rate limit allows. Returns
    /// whether another write may be tried.
    pub(super) fn write_final_state(&mut self, now: Time) -> bool {
        let jobs = &self.jobs;
        let is_idle = |id: &JobId| jobs.get(id).is_none_or(|job| !has_write_in_flight(job));
        let Some(finished) = self.finished_jobs.first_matching(is_idle) else {
            return false;
        };
        let at_ms = self.clock.wall_ms(now);
        let job = self.jobs.get_mut(&finished.job);
        let Some(job) = job.filter(|job| job.needs_final_state()) else {
            self.finished_jobs.remove(&finished);
            return true;
        };
        let operations = if job.cancelled {
            CANCELLED_JOB_OPERATIONS
        } else {
            MAX_FINAL_STATE_OPERATIONS
        };
        if !self.writes.spend(operations, now) {
            return false;
        }
        job.final_state_in_flight = true;
        let record = (!job.cancelled).then(|| FinalStateRecord {
            state: final_state(job),
            at_ms: Some(at_ms),
        });
        self.finished_jobs.remove(&finished);
        self.writes.stats_mut().final_states += operations;
        let transaction = self.final_state_transaction(&finished.job, record);
        let write = WriteInFlight {
            final_state: Some(finished.job),
            ..WriteInFlight::default()
        };
        self.submit_write(transaction, write);
        true
    }

    fn final_state_transaction(&self, id: &JobId, record: Option<FinalStateRecord>) -> Transaction {
        let transaction = self.begin_transaction().delete(open_key(id));
        match record {
            Some(record) => transaction
                .absent(final_state_key(id))
                .put(final_state_key(id), record.to_value()),
            None => transaction,
        }
    }

    /// Applies the outcome of the write of a final state.
    pub(super) fn final_state_written(&mut self, id: &JobId, applied: Option<u64>, now: Time) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.final_state_in_flight = false;
            self.mark_finished(id);
        }
        if applied.is_some() {
            self.finish_job(id, now);
        }
    }

    /// Handles a job whose final state is on record. Allocations that may still exist, such as a
    /// duplicate of a task that completed elsewhere, count until they are proven gone.
    pub(super) fn finish_job(&mut self, id: &JobId, now: Time) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| !job.final_state_recorded)
        else {
            return;
        };
        job.final_state_recorded = true;
        let user_was_notified = job.cancelled;
        job.cancelled |= job.dependency_cancelled;
        let state = final_state(job);
        if job.dependency_cancelled && !user_was_notified {
            self.service_arrivals.departed(&job.spec, now);
        }
        if state == JobState::Done {
            log_completion(job, now);
        }
        if !user_was_notified {
            self.effects.push(Effect::JobFinished {
                id: id.clone(),
                state,
            });
        }
        self.finished_jobs.forget(id);
        let stored = job.completion_records.iter();
        let stored = stored.filter(|(_, record)| record.version > 0);
        let numbers = stored.map(|(shard, _)| self.shards.record_number(*shard));
        let numbers = numbers.chain(job.foreign_shards.iter().copied());
        let keys = numbers.map(|number| completion_key(id, number));
        self.writes.add_stale_keys(keys);
        self.stop_job(id, 0.0, now);
        self.dependency_finished(id, state, now);
        self.drop_finished_job(id);
    }

    /// Drops a job whose final state is recorded once no machine may hold any of its tasks.
    pub(crate) fn drop_finished_job(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.final_state_recorded && job.allocated() == 0) {
            let removed = self.jobs.remove(id);
            self.open_job_bytes -= removed.map_or(0, |job| job.memory_bytes);
        }
    }
}

fn has_write_in_flight(job: &Job) -> bool {
    let mut completions = job.completion_records.values();
    job.final_state_in_flight || completions.any(|record| record.in_flight)
}

fn log_completion(job: &Job, now: Time) {
    let started_at = job.first_started_at();
    let started_s = started_at.map_or(0.0, |at| at - job.ready_at);
    let took_s = now - job.ready_at;
    let turnaround_s = now - job.arrived_at;
    info!(
        job = %job.id,
        started_s = format_args!("{started_s:.0}"),
        took_s = format_args!("{took_s:.0}"),
        turnaround_s = format_args!("{turnaround_s:.0}"),
        due_s = job.spec.deadline_s,
        "job done"
    );
}
