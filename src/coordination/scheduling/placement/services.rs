//! Where replicas of services go, and the room that is kept for those to come.

use super::SchedulingCycle;
use crate::coordination::scheduling::queue::{outranks, Blocked};
use crate::coordination::state::{Allocation, AllocationId, AllocationState, Job, Resources};

/// Seconds of waiting that a free start is worth against stopping other work.
const PREEMPTION_PENALTY_S: f64 = 1.0;
/// Seconds of waiting that are accepted to keep services together, so that few machines are left
/// with a replica each when the batches end.
const APART_S: f64 = 1.0;

impl SchedulingCycle<'_> {
    /// A replica goes where it starts soonest; lesser work makes room where that is sooner.
    pub(crate) fn place_service(&mut self, job: &Job, task: u32) -> Result<(), Blocked> {
        if !self.within_limit(job, 1) {
            return Err(Blocked::Rule);
        }
        let need = job.need();
        let mut best: Option<(f64, usize, Vec<AllocationId>)> = None;
        let candidates: Vec<usize> = self.allowed(job).collect();
        self.core.look(candidates.len());
        for i in &candidates {
            if !self.rooms[*i].fits(&need) || !self.zone_allowed(job, &self.machines[*i].zone) {
                continue;
            }
            // Among equals the fullest: others can then empty and be returned.
            let packing = 0.1 * self.free_share(*i) + self.apart_s(*i);
            let delay_s = self.delay_s(job, *i) + self.unheard_penalty_s(self.machines[*i]);
            let cost = delay_s + packing;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, *i, Vec::new()));
            }
        }
        for i in candidates {
            // Stopping work costs at least this much: most machines need not be looked into.
            let m = self.machines[i];
            let delay_s = self.delay_s(job, i) + self.unheard_penalty_s(m) + self.apart_s(i);
            let least = delay_s + PREEMPTION_PENALTY_S;
            if best.as_ref().is_some_and(|b| b.0 <= least) || self.rooms[i].fits(&need) {
                continue;
            }
            if !self.zone_allowed(job, &self.machines[i].zone) {
                continue;
            }
            self.core.look(self.machines[i].places.len());
            let Some(victims) = self.make_room(job, i, &need) else {
                continue;
            };
            let packing = 0.1 * self.free_share(i);
            let cost = least + 0.01 * self.lost_s(i, &victims) + packing;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, victims));
            }
        }
        let Some((_, i, victims)) = best else {
            return Err(Blocked::Resources);
        };
        for key in victims {
            let name = self.machines[i].name.clone();
            self.rooms[i].add(&self.machines[i].places[&key].load.need);
            self.victims.insert(key.clone());
            self.plans.stops.push((name, key));
        }
        self.plan(job, task, i, false);
        Ok(())
    }

    fn apart_s(&self, i: usize) -> f64 {
        if self.machines[i].holds_services() {
            0.0
        } else {
            APART_S
        }
    }

    fn free_share(&self, i: usize) -> f64 {
        let total = self.kinds[i].map_or(1.0, |t| t.cpus);
        (self.rooms[i].cpus / total.max(1e-3)).clamp(0.0, 1.0)
    }

    fn lost_s(&self, i: usize, victims: &[AllocationId]) -> f64 {
        let places = &self.machines[i].places;
        let age = |k: &AllocationId| self.now - places[k].running_since.unwrap_or(self.now);
        victims.iter().map(age).sum()
    }

    /// Which lesser work to stop so that the room suffices: none, if it does already.
    fn make_room(&self, job: &Job, i: usize, need: &Resources) -> Option<Vec<AllocationId>> {
        let mut room = self.rooms[i];
        let mut victims = Vec::new();
        if room.fits(need) {
            return Some(victims);
        }
        let mut lesser: Vec<(&AllocationId, &Allocation)> = self.machines[i]
            .live()
            .filter(|(key, p)| {
                // What saves before it stops, or is not surely there, does not free its room now.
                let quick = matches!(p.stage, AllocationState::Observed(_)) && p.stop.is_none();
                quick
                    && p.load.yields
                    && outranks(job.priority, p.load.priority)
                    && !self.victims.contains(*key)
            })
            .collect();
        // The youngest first: they lose the least.
        lesser.sort_by(|a, b| b.1.since.total_cmp(&a.1.since));
        for (key, place) in lesser {
            room.add(&place.load.need);
            victims.push(key.clone());
            if room.fits(need) {
                return Some(victims);
            }
        }
        None
    }

    /// Sets room aside for the replicas that are expected before a machine could be rented: where
    /// their image is, and on the fullest machines.
    pub(crate) fn keep_warm(&mut self) {
        for (need, count, image) in self.core.fleet.expected(self.core, self.now) {
            let mut free: Vec<(bool, f64, usize)> = (0..self.machines.len())
                .filter(|i| self.open[*i] && !self.machines[*i].spot)
                .filter(|i| self.room(*i).fits(&need))
                .map(|i| {
                    let cold = !self.machines[i].images.contains(&image);
                    (cold, self.free_share(i), i)
                })
                .collect();
            free.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let mut left = count;
            for (_, _, i) in free {
                while left > 0 && self.room(i).fits(&need) {
                    self.warm[i].add(&need);
                    left -= 1;
                }
            }
        }
    }
}
