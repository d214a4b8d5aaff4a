//! Placement of replicas of services, and reservations for expected replicas.

use crate::coordination::scheduling::cycle::SchedulingCycle;
use crate::coordination::scheduling::plan::{Blocked, Preemption};
use crate::coordination::state::{Allocation, AllocationId, AllocationState, Job, Resources};
use crate::protocol::job::Priority;

/// Seconds of waiting that are accepted to avoid preempting other tasks.
const PREEMPTION_PENALTY_S: f64 = 1.0;
/// Seconds of waiting that are accepted to place replicas on machines that already have replicas, so
/// that few machines are kept by a single replica when their other tasks have completed.
const NO_SERVICES_PENALTY_S: f64 = 1.0;
/// Cost, in seconds of waiting, of an entirely free machine: among otherwise equal machines the fullest
/// one comes first, so that others become empty and can be returned.
const FREE_SHARE_PENALTY_S: f64 = 0.1;
/// Cost, in seconds of waiting, of each second of run time that preemption discards.
const LOST_WORK_PENALTY: f64 = 0.01;

/// A machine for a replica, and the cost of placing it there, in seconds.
struct ServiceCandidate {
    cost_s: f64,
    machine: usize,
    /// Allocations that must be preempted first.
    victims: Vec<AllocationId>,
}

/// Keeps the cheaper of two candidates, the first among equals.
fn keep_cheaper(best: &mut Option<ServiceCandidate>, candidate: ServiceCandidate) {
    if best.as_ref().is_none_or(|b| candidate.cost_s < b.cost_s) {
        *best = Some(candidate);
    }
}

/// Whether a job of one priority may preempt tasks of another priority.
fn may_preempt(priority: Priority, other: Priority) -> bool {
    priority > other
}

impl SchedulingCycle<'_> {
    /// Places a replica on the machine with the lowest cost; tasks of lower priority are preempted if
    /// the replica starts sooner that way.
    pub(in crate::coordination::scheduling) fn place_service(
        &mut self,
        job: &Job,
        task: u32,
    ) -> Result<(), Blocked> {
        if !self.within_quota(job, 1) {
            return Err(Blocked::Policy);
        }
        let candidates: Vec<usize> = self.allowed(job).collect();
        self.count_examined(candidates.len());
        let mut best = None;
        for i in &candidates {
            if let Some(candidate) = self.candidate_without_preemption(job, *i) {
                keep_cheaper(&mut best, candidate);
            }
        }
        for i in candidates {
            if let Some(candidate) = self.candidate_with_preemption(job, i, best.as_ref()) {
                keep_cheaper(&mut best, candidate);
            }
        }
        let Some(best) = best else {
            return Err(Blocked::Capacity);
        };
        for victim in best.victims {
            self.preempt(best.machine, victim);
        }
        self.allocate(job, task, best.machine);
        Ok(())
    }

    fn candidate_without_preemption(&mut self, job: &Job, i: usize) -> Option<ServiceCandidate> {
        let machine = self.machines[i].machine;
        let fits = self.machines[i].free.fits(&job.request());
        if !fits || !self.zone_allowed(job, &machine.zone) {
            return None;
        }
        let packing_s =
            FREE_SHARE_PENALTY_S * self.machines[i].free_share() + self.no_services_penalty_s(i);
        let delay_s = self.delay_s(job, i) + self.stale_heartbeat_penalty_s(i);
        Some(ServiceCandidate {
            cost_s: delay_s + packing_s,
            machine: i,
            victims: Vec::new(),
        })
    }

    fn candidate_with_preemption(
        &mut self,
        job: &Job,
        i: usize,
        best: Option<&ServiceCandidate>,
    ) -> Option<ServiceCandidate> {
        // A lower bound for the cost with preemption, so that most machines need not be examined.
        let delay_s = self.delay_s(job, i)
            + self.stale_heartbeat_penalty_s(i)
            + self.no_services_penalty_s(i);
        let min_cost_s = delay_s + PREEMPTION_PENALTY_S;
        let request = job.request();
        let is_costlier = best.is_some_and(|best| best.cost_s <= min_cost_s);
        if is_costlier || self.machines[i].free.fits(&request) {
            return None;
        }
        let machine = self.machines[i].machine;
        if !self.zone_allowed(job, &machine.zone) {
            return None;
        }
        self.count_examined(machine.allocations().len());
        let victims = self.choose_victims(job, i, &request)?;
        let packing_s = FREE_SHARE_PENALTY_S * self.machines[i].free_share();
        let lost_s = LOST_WORK_PENALTY * self.lost_work_s(i, &victims);
        Some(ServiceCandidate {
            cost_s: min_cost_s + lost_s + packing_s,
            machine: i,
            victims,
        })
    }

    fn preempt(&mut self, i: usize, victim: AllocationId) {
        let machine = self.machines[i].machine;
        let request = machine.allocations()[&victim].profile.request;
        self.machines[i].free.add(&request.freed_by_exit());
        self.preempted.insert(victim.clone());
        self.plan.preemptions.push(Preemption {
            machine: machine.name.clone(),
            allocation: victim,
        });
    }

    fn no_services_penalty_s(&self, i: usize) -> f64 {
        if self.machines[i].machine.holds_services() {
            0.0
        } else {
            NO_SERVICES_PENALTY_S
        }
    }

    /// The total run time of the victims so far, in seconds.
    fn lost_work_s(&self, i: usize, victims: &[AllocationId]) -> f64 {
        let allocations = self.machines[i].machine.allocations();
        let ran_s = |id: &AllocationId| {
            let since = allocations[id].running_since.unwrap_or(self.now);
            self.now - since
        };
        victims.iter().map(ran_s).sum()
    }

    /// The tasks of lower priority to preempt so that the request fits; empty if it fits already, `None`
    /// if preemption does not suffice.
    fn choose_victims(
        &self,
        job: &Job,
        i: usize,
        request: &Resources,
    ) -> Option<Vec<AllocationId>> {
        let mut free = self.machines[i].free;
        let mut victims = Vec::new();
        if free.fits(request) {
            return Some(victims);
        }
        let allocations = self.machines[i].machine.live_allocations();
        let is_victim = |(id, allocation): &(&AllocationId, &Allocation)| {
            // A task that writes a checkpoint before it stops, or that no heartbeat has listed yet, does
            // not free its resources immediately.
            let frees_now = matches!(allocation.state, AllocationState::Observed(_))
                && allocation.pending_stop.is_none();
            frees_now
                && allocation.profile.is_preemptible
                && may_preempt(job.priority, allocation.profile.priority)
                && !self.preempted.contains(*id)
        };
        let mut lower_priority: Vec<(&AllocationId, &Allocation)> =
            allocations.filter(is_victim).collect();
        // The most recently placed tasks come first: they lose the least work.
        lower_priority.sort_by(|a, b| b.1.planned_at.total_cmp(&a.1.planned_at));
        for (id, allocation) in lower_priority {
            free.add(&allocation.profile.request.freed_by_exit());
            victims.push(id.clone());
            if free.fits(request) {
                return Some(victims);
            }
        }
        None
    }

    /// Reserves resources for the replicas that are expected before a machine could be rented for them:
    /// preferably on machines that have the image, then on the fullest machines.
    pub(in crate::coordination::scheduling) fn reserve_for_expected_replicas(&mut self) {
        for expected in self.cluster.expected_replicas(self.now) {
            let request = expected.request;
            let machines = self.machines.iter().enumerate();
            let with_capacity = machines.filter(|(_, m)| {
                m.accepts_tasks && !m.machine.spot && m.free_for_batches().fits(&request)
            });
            let ranked = with_capacity.map(|(i, m)| {
                let lacks_image = !m.machine.images.contains(&expected.image);
                (lacks_image, m.free_share(), i)
            });
            let mut ranked: Vec<(bool, f64, usize)> = ranked.collect();
            ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let mut left = expected.count;
            for (_, _, i) in ranked {
                while left > 0 && self.machines[i].free_for_batches().fits(&request) {
                    self.machines[i].reserved.add(&request);
                    left -= 1;
                }
            }
        }
    }
}
