//! Where the tasks of arrays go.

use super::SchedulingCycle;
use crate::coordination::scheduling::backfill::Reservation;
use crate::coordination::scheduling::queue::Blocked;
use crate::coordination::state::{Job, Resources};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Seconds of waiting that are accepted to fill the machines in their order: what comes last then
/// empties and can be returned.
const FILL_S: f64 = 2.0;

/// A machine with room for a task, and what it costs to place one there, in seconds.
struct Candidate {
    cost: f64,
    machine: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then(self.machine.cmp(&other.machine))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

/// The machines that have room for a task, the best first. A job takes few of them, so that they are
/// put in order only as far as it asks.
pub(crate) struct MachinesByCost(BinaryHeap<Reverse<Candidate>>);

impl MachinesByCost {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn next(&mut self) -> Option<usize> {
        self.0.pop().map(|candidate| candidate.0.machine)
    }
}

/// A shape of tasks that has found no room in this pass.
pub(crate) struct Full {
    need: Resources,
    /// Whether it could have used machines that the cloud may take back.
    spot: bool,
}

impl Full {
    /// Whether tasks of the job can find no room either: they are no smaller, and may use no more.
    fn covers(&self, job: &Job, need: &Resources) -> bool {
        need.fits(&self.need) && (self.spot || !job.spec.spot)
    }
}

impl SchedulingCycle<'_> {
    /// The machines that have room for a task of an array, the best first. They go where their
    /// image is, else in the order in which machines fill.
    pub(crate) fn rooms_for(&mut self, job: &Job) -> Result<MachinesByCost, Blocked> {
        let need = job.need();
        let mut found: Vec<Reverse<Candidate>> = Vec::new();
        // A job at its team's limit waits for that, and must not come to hold the reservation.
        if !self.within_limit(job, 1) {
            return Err(Blocked::Rule);
        }
        // The smallest tasks that found no room show what larger ones need not try.
        if self.full_for.iter().any(|f| f.covers(job, &need)) {
            return Err(Blocked::Resources);
        }
        let candidates: Vec<usize> = self.allowed(job).collect();
        self.core.look(candidates.len());
        for i in candidates {
            if !self.room(i).fits(&need) {
                continue;
            }
            let cost = self.delay_s(job, i) + FILL_S * self.rank[i];
            found.push(Reverse(Candidate { cost, machine: i }));
        }
        if found.is_empty() && job.spec.types.is_none() && job.spec.zone.is_none() {
            self.full_for.push(Full {
                need,
                spot: job.spec.spot,
            });
        }
        Ok(MachinesByCost(BinaryHeap::from(found)))
    }

    /// Places as many tasks of an array as can be, on machines that have room for one.
    pub(crate) fn place_tasks(
        &mut self,
        job: &Job,
        mut rooms: MachinesByCost,
        mut head: Option<&mut Reservation>,
        guaranteed: bool,
        most: usize,
    ) -> Result<(), Blocked> {
        let need = job.need();
        let mut zone_blocked = false;
        let mut withheld = false;
        // What this pass has placed of the job already is not waiting any more.
        let placed = self.placed.get(&job.id).copied().unwrap_or(0);
        let mut tasks = job.unplaced().skip(placed).take(most).peekable();
        while tasks.peek().is_some() {
            let Some(i) = rooms.next() else {
                break;
            };
            let end = self.now + self.fetch_s(job, i) + job.predicted_s;
            while tasks.peek().is_some() && self.room(i).fits(&need) {
                if !self.within_limit(job, 1) {
                    return Err(Blocked::Rule);
                }
                if !self.zone_allowed(job, &self.machines[i].zone) {
                    zone_blocked = true;
                    break;
                }
                let delays = head.as_ref().is_some_and(|h| !h.allows(i, &need, end));
                if delays && !guaranteed {
                    withheld = true;
                    break;
                }
                if let Some(head) = head.as_mut() {
                    head.admit(i, &need, end);
                }
                let task = tasks.next().expect("peeked");
                self.plan(job, task, i, false);
            }
        }
        let waits = tasks.peek().is_some();
        if withheld && !self.placed.contains_key(&job.id) {
            self.withhold(job);
        }
        match waits {
            false => Ok(()),
            true if zone_blocked || !self.within_limit(job, 1) => Err(Blocked::Rule),
            true => Err(Blocked::Resources),
        }
    }
}
