//! The leader's writes to the key-value store, within its rate limit, and their outcomes.
//!
//! Final states of jobs come first, then placements that launches wait for, then completed tasks, then
//! removals of stale records. Every write compares the version of the leader's own record.

pub(super) mod completions;
mod final_states;
mod placements;
mod reread;

use super::write_queue::WriteInFlight;
use super::{ClusterState, Effect, WriteOutcome};
use crate::coordination::Time;
use crate::protocol::store::Transaction;
use crate::storage::records::LEADER_KEY;
use tracing::warn;

/// How long a record that no launch waits for may be outdated, as a share of a worker's lease. A
/// completion that is not recorded is not lost, since its worker keeps the task until a `forget`.
const MAX_RECORD_AGE_LEASES: f64 = 0.5;

impl ClusterState {
    /// Writes outdated records, as far as the rate limit allows.
    pub(crate) fn flush_writes(&mut self, now: Time) {
        if self.writes.is_paused(now) || !self.leadership.is_leader(now) {
            return;
        }
        while self.writes.has_capacity() {
            // Final states come first, and the other writes wait for them: users are notified of them,
            // and they cost little.
            let has_finished_jobs = !self.finished_jobs.is_empty();
            if self.write_final_state(now) {
                continue;
            }
            if has_finished_jobs
                && self.writes.available(now) < final_states::MAX_FINAL_STATE_OPERATIONS as f64
            {
                break;
            }
            let wrote = self.write_placements(now)
                || self.write_completions(now)
                || self.write_removals(now);
            if !wrote {
                break;
            }
        }
    }

    fn submit_write(&mut self, transaction: Transaction, write: WriteInFlight) {
        let id = self.leadership.next_id();
        self.writes.sent(id, write);
        self.effects.push(Effect::Write { id, transaction });
    }

    /// Starts a transaction that fails unless this leader's token is still the latest and the cluster
    /// version is the one that the leader knows.
    fn begin_transaction(&self) -> Transaction {
        let fenced = Transaction::at_version(self.leadership.write_fence());
        fenced.version(LEADER_KEY, self.leadership.token().0)
    }

    /// How long a record that no launch waits for may be outdated, in seconds.
    fn max_record_age_s(&self) -> f64 {
        self.settings.cluster.workers.lease_s * MAX_RECORD_AGE_LEASES
    }

    fn write_removals(&mut self, now: Time) -> bool {
        let keys = self.writes.take_stale_keys(now);
        if keys.is_empty() {
            return false;
        }
        let transaction = keys
            .iter()
            .fold(self.begin_transaction(), |txn, key| txn.delete(key));
        let write = WriteInFlight {
            removals: keys,
            ..WriteInFlight::default()
        };
        self.submit_write(transaction, write);
        true
    }

    /// Applies the outcome of a write.
    pub(crate) fn write_finished(&mut self, id: u64, outcome: WriteOutcome, now: Time) {
        let Some(write) = self.writes.finished(id) else {
            return;
        };
        if matches!(outcome, WriteOutcome::TooLarge) {
            self.reduce_write_size(&write, now);
        }
        let applied = match &outcome {
            WriteOutcome::Applied(revision) => Some(*revision),
            _ => None,
        };
        if let Some(sent) = write.placements {
            self.placements_written(sent, applied, now);
        }
        for record in write.completions {
            self.completions_written(&record, applied, now);
        }
        if applied.is_none() {
            self.writes.add_stale_keys(write.removals);
        }
        if let Some(job) = write.final_state {
            self.final_state_written(&job, applied, now);
        }
        match outcome {
            WriteOutcome::Applied(_) => {}
            WriteOutcome::Rejected | WriteOutcome::TooLarge => self.writes.pause(now),
            WriteOutcome::Indeterminate(items) => self.apply_reread(items, now),
        }
    }

    /// Reduces the size of writes after the store rejected one as too large, although it was within the
    /// known limits. Without that, the write would be rejected for ever.
    fn reduce_write_size(&mut self, write: &WriteInFlight, now: Time) {
        self.writes.halve_operations();
        let max_bytes = self.placement_records.max_bytes();
        let sent = write.placements.as_ref();
        let largest = sent
            .map(|sent| self.placement_records.bytes(sent.record))
            .filter(|bytes| *bytes <= max_bytes);
        let single_completion = (write.completions.len() == 1).then_some(max_bytes);
        if let Some(bytes) = largest.or(single_completion) {
            self.placement_records.set_max_bytes(bytes / 2);
        }
        warn!(
            max_operations = self.writes.max_operations(),
            max_record_bytes = self.placement_records.max_bytes(),
            "the state service rejected a write as too large, reducing the size of writes"
        );
        if let Some(sent) = sent {
            self.split_placement_record(sent.record, now);
        }
    }
}
