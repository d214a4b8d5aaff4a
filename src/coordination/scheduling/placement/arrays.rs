//! Where the tasks of arrays go.

use crate::coordination::scheduling::backfill::Reservation;
use crate::coordination::scheduling::cycle::{FullFor, SchedulingCycle};
use crate::coordination::scheduling::plan::Blocked;
use crate::coordination::state::Job;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Seconds of waiting that are accepted to fill the machines in their order: what comes last then
/// empties and can be returned.
const FILL_ORDER_PENALTY_S: f64 = 2.0;

/// A machine with room for a task, and what it costs to place one there, in seconds.
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

/// The machines that have room for a task, the best first. A job takes few of them, so that they are
/// put in order only as far as it asks.
pub(in crate::coordination::scheduling) struct MachinesByCost(BinaryHeap<Reverse<ArrayCandidate>>);

impl MachinesByCost {
    /// Whether no machine has room.
    pub(in crate::coordination::scheduling) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn next(&mut self) -> Option<usize> {
        self.0.pop().map(|candidate| candidate.0.machine)
    }
}

/// How tasks of an array are placed.
pub(in crate::coordination::scheduling) struct ArrayPlacement<'a> {
    /// The machines with room, the best first.
    pub(in crate::coordination::scheduling) machines: MachinesByCost,
    /// The reservation that must not be delayed.
    pub(in crate::coordination::scheduling) head: Option<&'a mut Reservation>,
    /// Whether the job goes past the reservation all the same.
    pub(in crate::coordination::scheduling) is_guaranteed: bool,
    /// How many tasks may be placed at the most.
    pub(in crate::coordination::scheduling) max_tasks: usize,
}

impl SchedulingCycle<'_> {
    /// The machines that have room for a task of an array. They come by where its image is, else in
    /// the order in which machines fill.
    pub(in crate::coordination::scheduling) fn machines_for(
        &mut self,
        job: &Job,
    ) -> Result<MachinesByCost, Blocked> {
        // A job at its team's limit waits for that, and must not come to hold the reservation.
        if !self.within_quota(job, 1) {
            return Err(Blocked::Policy);
        }
        let request = job.request();
        // The smallest tasks that found no room show what larger ones need not try.
        if self.full_for.iter().any(|full| full.covers(job, &request)) {
            return Err(Blocked::Capacity);
        }
        let allowed: Vec<usize> = self.allowed(job).collect();
        self.count_examined(allowed.len());
        let with_room = allowed
            .into_iter()
            .filter(|i| self.machines[*i].free_for_batches().fits(&request));
        let candidates = with_room.map(|i| {
            let fill_order_s = FILL_ORDER_PENALTY_S * self.machines[i].fill_rank;
            Reverse(ArrayCandidate {
                cost_s: self.delay_s(job, i) + fill_order_s,
                machine: i,
            })
        });
        let candidates: Vec<Reverse<ArrayCandidate>> = candidates.collect();
        if candidates.is_empty() && job.spec.types.is_none() && job.spec.zone.is_none() {
            self.full_for.push(FullFor {
                request,
                spot: job.spec.spot,
            });
        }
        Ok(MachinesByCost(BinaryHeap::from(candidates)))
    }

    /// Places as many tasks of an array as can be, on machines that have room for one.
    pub(in crate::coordination::scheduling) fn place_array(
        &mut self,
        job: &Job,
        mut placement: ArrayPlacement,
    ) -> Result<(), Blocked> {
        let request = job.request();
        let mut is_zone_blocked = false;
        let mut is_held_back = false;
        // What this cycle has planned of the job already is not waiting any more.
        let planned = self.planned.get(&job.id).copied().unwrap_or(0);
        let tasks = job.unplaced().skip(planned).take(placement.max_tasks);
        let mut tasks = tasks.peekable();
        while tasks.peek().is_some() {
            let Some(i) = placement.machines.next() else {
                break;
            };
            let end = self.now + self.fetch_s(job, i) + job.predicted_s;
            while self.machines[i].free_for_batches().fits(&request) {
                let Some(task) = tasks.peek().copied() else {
                    break;
                };
                if !self.within_quota(job, 1) {
                    return Err(Blocked::Policy);
                }
                let machine = self.machines[i].machine;
                if !self.zone_allowed(job, &machine.zone) {
                    is_zone_blocked = true;
                    break;
                }
                let head = placement.head.as_deref();
                let delays_head = head.is_some_and(|head| !head.allows(i, &request, end));
                if delays_head && !placement.is_guaranteed {
                    is_held_back = true;
                    break;
                }
                if let Some(head) = placement.head.as_deref_mut() {
                    head.admit(i, &request, end);
                }
                tasks.next();
                self.allocate(job, task, i);
            }
        }
        let waits = tasks.peek().is_some();
        if is_held_back && !self.planned.contains_key(&job.id) {
            self.mark_starved(job);
        }
        if !waits {
            Ok(())
        } else if is_zone_blocked || !self.within_quota(job, 1) {
            Err(Blocked::Policy)
        } else {
            Err(Blocked::Capacity)
        }
    }
}
