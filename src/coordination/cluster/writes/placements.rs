//! Records placements, which launches wait for.

use crate::coordination::cluster::placement_records::SentPlacements;
use crate::coordination::cluster::write_queue::WriteInFlight;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{AllocationState, JobId, Placement};
use crate::coordination::Time;
use crate::settings::COMPARES_PER_OPERATION;
use crate::storage::records::{final_state_key, placement_key};
use std::collections::BTreeSet;

/// Compares of every write of placements: the leader's record and the placement record itself.
const OWN_COMPARES: usize = 2;

impl ClusterState {
    /// Writes a placement record: one that launches wait for, or else one that has long been outdated.
    pub(super) fn write_placements(&mut self, now: Time) -> bool {
        if self.writes.available(now) < 1.0 {
            return false;
        }
        let max_age_s = self.max_record_age_s();
        let max_age_s = (!self.writes.is_scarce(now)).then_some(max_age_s);
        let Some(record) = self.placement_records.next_to_write(max_age_s, now) else {
            return false;
        };
        let (stored, sent) = self
            .placement_records
            .stored_value(record, self.max_jobs_in_transaction());
        let value = serde_json::to_value(&stored).expect("serializing plain data cannot fail");
        let key = placement_key(record);
        let mut transaction = self
            .begin_transaction()
            .version(&*key, self.placement_records.version(record))
            .put(key, value);
        let jobs: BTreeSet<&JobId> = sent.pending.iter().map(|p| &p.allocation.job).collect();
        for id in jobs {
            transaction = transaction.absent(final_state_key(id));
        }
        self.writes.spend(1, now);
        let stats = self.writes.stats_mut();
        stats.placements += 1;
        stats.launches += sent.pending.len();
        self.placement_records.write_started(record);
        let write = WriteInFlight {
            placements: Some(sent),
            ..WriteInFlight::default()
        };
        self.submit_write(transaction, write);
        true
    }

    /// The number of jobs that a transaction can compare to have no final state.
    fn max_jobs_in_transaction(&self) -> usize {
        let version = usize::from(self.leadership.write_fence().mod_revision().is_some());
        COMPARES_PER_OPERATION * self.writes.max_operations() - OWN_COMPARES - version
    }

    /// Applies the outcome of the write of a placement record. If it was applied, its pending
    /// placements may be launched.
    pub(super) fn placements_written(
        &mut self,
        sent: SentPlacements,
        applied: Option<u64>,
        now: Time,
    ) {
        let Some(revision) = applied else {
            return self.placement_records.write_failed(sent.record, now);
        };
        self.placement_records.write_applied(&sent, revision);
        for placement in sent.pending {
            self.placement_stored(placement);
        }
    }

    fn placement_stored(&mut self, placement: Placement) {
        let id = &placement.allocation;
        let job = self.jobs.get(&id.job);
        if job.is_none_or(|job| job.cancelled) {
            return;
        }
        let machine = self.machines.get_mut(&placement.machine);
        let allocation = machine.and_then(|machine| machine.allocation_mut(id));
        let pending = allocation.filter(|a| a.state == AllocationState::Pending);
        if let Some(allocation) = pending {
            allocation.state = AllocationState::Launching;
            self.machines_to_notify.insert(placement.machine);
        }
    }
}
