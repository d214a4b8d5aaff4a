//! Recording the ends of jobs.

use crate::coordination::cluster::write_queue::WriteInFlight;
use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{Job, JobId};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::store::Transaction;
use crate::storage::records::{completion_key, end_key, open_key, EndRecord};
use tracing::info;

/// Operations of a transaction that records an end: the end itself, and the removal of the open job.
pub(super) const MAX_END_OPERATIONS: usize = 2;
/// That of a job whose end its user's cancellation has recorded.
const CANCELLED_END_OPERATIONS: usize = 1;

/// How a job ends.
fn end_state(job: &Job) -> JobState {
    if job.will_be_cancelled() {
        JobState::Cancelled
    } else {
        JobState::Done
    }
}

impl ClusterState {
    /// Ends a job: a write-once key, and its description closes. Its other records are of no use
    /// from then on; they are removed when there is time. Returns whether another may be tried.
    pub(super) fn write_end(&mut self, now: Time) -> bool {
        let jobs = &self.jobs;
        let is_idle = |id: &JobId| jobs.get(id).is_none_or(|job| !has_write_in_flight(job));
        let Some(finished) = self.finished_jobs.first_that(is_idle) else {
            return false;
        };
        let at_ms = self.clock.wall_ms(now);
        let job = self.jobs.get_mut(&finished.job);
        let Some(job) = job.filter(|job| job.needs_final_state()) else {
            self.finished_jobs.remove(&finished);
            return true;
        };
        let operations = if job.cancelled {
            CANCELLED_END_OPERATIONS
        } else {
            MAX_END_OPERATIONS
        };
        if !self.writes.spend(operations, now) {
            return false;
        }
        job.final_state_in_flight = true;
        let end = (!job.cancelled).then(|| EndRecord {
            state: end_state(job),
            at_ms: Some(at_ms),
        });
        self.finished_jobs.remove(&finished);
        self.writes.stats_mut().ends += operations;
        let transaction = self.end_transaction(&finished.job, end);
        let write = WriteInFlight {
            end: Some(finished.job),
            ..WriteInFlight::default()
        };
        self.submit_write(transaction, write);
        true
    }

    fn end_transaction(&self, id: &JobId, end: Option<EndRecord>) -> Transaction {
        let transaction = self.begin_transaction().delete(open_key(id));
        match end {
            Some(end) => transaction
                .absent(end_key(id))
                .put(end_key(id), end.to_value()),
            None => transaction,
        }
    }

    /// Takes in what became of the write of an end.
    pub(super) fn end_written(&mut self, id: &JobId, applied: Option<u64>, now: Time) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.final_state_in_flight = false;
            self.mark_finished(id);
        }
        if applied.is_some() {
            self.job_ended(id, now);
        }
    }

    /// A job's end is recorded. What may still be of it on a machine, such as a copy of a task that
    /// completed elsewhere, counts until it is proven gone.
    pub(super) fn job_ended(&mut self, id: &JobId, now: Time) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| !job.final_state_recorded)
        else {
            return;
        };
        job.final_state_recorded = true;
        let was_announced = job.cancelled;
        job.cancelled |= job.dependency_cancelled;
        let state = end_state(job);
        if job.dependency_cancelled && !was_announced {
            self.service_arrivals.departed(&job.spec, now);
        }
        if state == JobState::Done {
            log_completion(job, now);
        }
        if !was_announced {
            self.effects.push(Effect::JobEnded {
                id: id.clone(),
                state,
            });
        }
        self.finished_jobs.forget(id);
        let stored = job.completion_records.iter().enumerate();
        let stored = stored.filter(|(_, record)| record.version > 0);
        let numbers = stored.map(|(shard, _)| self.shards.record_number(shard));
        let numbers = numbers.chain(job.foreign_shards.iter().copied());
        let keys = numbers.map(|number| completion_key(id, number));
        self.writes.add_stale_keys(keys);
        self.stop_job(id, 0.0, now);
        self.dependency_ended(id, state, now);
        self.drop_ended_job(id);
    }

    /// Drops a job whose end is recorded, once no machine may hold anything of it.
    pub(crate) fn drop_ended_job(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| job.final_state_recorded && job.allocated() == 0) {
            self.jobs.remove(id);
        }
    }
}

fn has_write_in_flight(job: &Job) -> bool {
    let mut completions = job.completion_records.iter();
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
