//! Workers' leases: a worker whose lease has expired by the leader's clock has killed all its tasks.

use super::reconciliation::IncarnationEnd;
use super::{ClusterState, CLOCK_DRIFT, WORKER_RETRY_S};
use crate::coordination::state::{AllocationState, Machine, MachineName, MachinePhase};
use crate::coordination::Time;
use tracing::warn;

impl ClusterState {
    /// The latest time at which a worker's lease may have been renewed; `None` if an earlier leader may
    /// still renew it. Only this leader renews the lease of a worker that has seen a token of this
    /// term, or of any worker once all other controllers have promised not to answer heartbeats as a
    /// leader with a lower token. The last heartbeat counts too, because the worker's incarnation may
    /// have started just before sending it; a command for one incarnation has no effect in a later one.
    fn lease_renewed_at(&self, machine: &Machine) -> Option<Time> {
        let worker = &machine.worker;
        let last_response_at = worker.last_response_at();
        let last_heartbeat_at = worker.last_heartbeat_at();
        let known_at = last_response_at.max(last_heartbeat_at.unwrap_or(last_response_at));
        if worker.acknowledged_token() >= self.leadership.first_token() {
            return Some(known_at.max(self.leadership.elected_at()));
        }
        let promised_at = self.leadership.peers_promised_at();
        promised_at.map(|at| at.max(known_at))
    }

    /// Releases the allocations on machines whose workers' leases have expired: those workers have
    /// killed and forgotten all tasks.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let timeout_s = self.settings.cluster.workers.lease_s * CLOCK_DRIFT + WORKER_RETRY_S;
        let is_expired = |machine: &&Machine| {
            let renewed_at = self.lease_renewed_at(machine);
            let mut allocations = machine.allocations().values();
            machine.phase != MachinePhase::Booting
                && renewed_at.is_some_and(|at| now - at > timeout_s)
                && allocations.any(|a| a.state != AllocationState::Pending)
        };
        let expired = self.machines.values().filter(is_expired);
        let expired: Vec<MachineName> = expired.map(|machine| machine.name.clone()).collect();
        for name in expired {
            warn!(machine = %name, "worker's lease expired without a heartbeat");
            self.end_incarnation(&name, IncarnationEnd::LeaseExpired, now);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.worker.expire();
            }
        }
    }
}
