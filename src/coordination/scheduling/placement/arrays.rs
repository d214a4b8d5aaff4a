//! Placement of the tasks of arrays.

use crate::coordination::scheduling::backfill::Reservation;
use crate::coordination::scheduling::cycle::{RejectedRequest, SchedulingCycle};
use crate::coordination::scheduling::plan::Blocked;
use crate::coordination::state::Job;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Seconds of waiting that are accepted to fill the machines in the fill order, so that machines at the
/// end of the order become empty and can be returned.
const FILL_ORDER_PENALTY_S: f64 = 2.0;

/// A machine on which a task fits, and the cost of placing it there, in seconds.
struct ArrayCandidate {
    cost_s: f64,
    machine: usize,
}

impl Ord for ArrayCandidate {
    fn cmp(&self, other: &ArrayCandidate) -> Ordering {
        let by_cost = self.cost_s.total_cmp(&other.cost_s);
        by_cost.then(self.machine.cmp(&other.machine))
    }
}

impl PartialOrd for ArrayCandidate {
    fn partial_cmp(&self, other: &ArrayCandidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ArrayCandidate {
    fn eq(&self, other: &ArrayCandidate) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ArrayCandidate {}

/// The machines on which a task fits, cheapest first. A heap, because a job uses few of them and sorting
/// all of them would be wasted work.
pub(in crate::coordination::scheduling) struct MachinesByCost(BinaryHeap<Reverse<ArrayCandidate>>);

impl MachinesByCost {
    /// Whether the task fits on no machine.
    pub(in crate::coordination::scheduling) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn next(&mut self) -> Option<usize> {
        self.0.pop().map(|candidate| candidate.0.machine)
    }
}

/// The parameters for placing tasks of an array.
pub(in crate::coordination::scheduling) struct ArrayPlacement<'a> {
    /// The machines on which a task fits, cheapest first.
    pub(in crate::coordination::scheduling) machines: MachinesByCost,
    /// The head's reservation, which must not be delayed.
    pub(in crate::coordination::scheduling) head: Option<&'a mut Reservation>,
    /// Whether the job ignores the reservation.
    pub(in crate::coordination::scheduling) is_guaranteed: bool,
    /// The maximum number of tasks to place.
    pub(in crate::coordination::scheduling) max_tasks: usize,
}

impl SchedulingCycle<'_> {
    /// The machines on which a task of an array fits, ordered by failures and image fetch time, then by
    /// the fill order.
    pub(in crate::coordination::scheduling) fn machines_for(
        &mut self,
        job: &Job,
    ) -> Result<MachinesByCost, Blocked> {
        // A job at its team's limit waits for the quota and must not get the reservation. The same holds for a
        // job that holds its share of all allocations.
        if !self.within_quota(job, 1) || !self.within_allocation_limit(job) {
            return Err(Blocked::Policy);
        }
        let request = job.request();
        // A job that requests at least as much as a rejected request need not be tried.
        if self
            .rejected_requests
            .iter()
            .any(|rejected| rejected.rules_out(job, &request))
        {
            return Err(Blocked::Capacity);
        }
        let allowed: Vec<usize> = self.allowed(job).collect();
        self.count_examined(allowed.len());
        let with_capacity = allowed
            .into_iter()
            .filter(|i| self.machines[*i].free_for_arrays().fits(&request));
        let candidates = with_capacity.map(|i| {
            let fill_order_s = FILL_ORDER_PENALTY_S * self.machines[i].fill_rank;
            Reverse(ArrayCandidate {
                cost_s: self.delay_s(job, i) + fill_order_s,
                machine: i,
            })
        });
        let candidates: Vec<Reverse<ArrayCandidate>> = candidates.collect();
        if candidates.is_empty() && job.spec.types.is_none() && job.spec.zone.is_none() {
            self.rejected_requests.push(RejectedRequest {
                request,
                spot: job.spec.spot,
            });
        }
        Ok(MachinesByCost(BinaryHeap::from(candidates)))
    }

    /// Places as many tasks of an array as possible.
    pub(in crate::coordination::scheduling) fn place_array(
        &mut self,
        job: &Job,
        mut placement: ArrayPlacement,
    ) -> Result<(), Blocked> {
        let request = job.request();
        let mut is_blocked_by_policy = false;
        let mut is_blocked_by_reservation = false;
        // Tasks of the job that this cycle has already placed are skipped.
        let planned = self.planned.get(&job.id).copied().unwrap_or(0);
        let tasks = job.unplaced().skip(planned).take(placement.max_tasks);
        let mut tasks = tasks.peekable();
        while tasks.peek().is_some() {
            let Some(i) = placement.machines.next() else {
                break;
            };
            let end = self.now + self.fetch_s(job, i) + job.predicted_s + self.forget_s(i);
            let mut held = self.machines[i].machine.live_allocations_of(&job.id);
            while self.machines[i].free_for_arrays().fits(&request) {
                let Some(task) = tasks.peek().copied() else {
                    break;
                };
                if !self.within_quota(job, 1) || !self.within_allocation_limit(job) {
                    return Err(Blocked::Policy);
                }
                let machine = self.machines[i].machine;
                if !self.zone_allowed(job, &machine.zone)
                    || !self.within_heartbeat_share(job, i, held)
                {
                    is_blocked_by_policy = true;
                    break;
                }
                let head = placement.head.as_deref();
                let delays_head = head.is_some_and(|head| !head.allows(i, &request, end));
                if delays_head && !placement.is_guaranteed {
                    is_blocked_by_reservation = true;
                    break;
                }
                if let Some(head) = placement.head.as_deref_mut() {
                    head.admit(i, &request, end);
                }
                tasks.next();
                held += 1;
                self.allocate(job, task, i);
            }
        }
        let waits = tasks.peek().is_some();
        if is_blocked_by_reservation && !self.planned.contains_key(&job.id) {
            self.mark_starved(job);
        }
        if !waits {
            Ok(())
        } else if is_blocked_by_policy || !self.within_quota(job, 1) {
            Err(Blocked::Policy)
        } else {
            Err(Blocked::Capacity)
        }
    }
}
