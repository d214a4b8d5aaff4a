//! Placement of the tasks of gangs: all of them or none.

use crate::coordination::scheduling::backfill::Reservation;
use crate::coordination::scheduling::cycle::{failure_penalty_s, SchedulingCycle};
use crate::coordination::scheduling::plan::Blocked;
use crate::coordination::state::{Job, ZoneName};
use std::collections::{BTreeSet, HashMap};

impl SchedulingCycle<'_> {
    /// Places all tasks of a gang, or none.
    pub(in crate::coordination::scheduling) fn place_gang(
        &mut self,
        job: &Job,
        mut head: Option<&mut Reservation>,
        is_guaranteed: bool,
    ) -> Result<(), Blocked> {
        if self.planned.contains_key(&job.id) {
            return Ok(());
        }
        let tasks: Vec<u32> = job.unplaced().collect();
        if !self.within_quota(job, tasks.len() as u32) {
            return Err(Blocked::Policy);
        }
        let reserved = head.as_deref().filter(|_| !is_guaranteed);
        let Some(chosen) = self.fit_gang(job, tasks.len(), reserved) else {
            if reserved.is_some() && self.fit_gang(job, tasks.len(), None).is_some() {
                self.mark_starved(job);
            }
            return Err(Blocked::Capacity);
        };
        let (request, end) = (job.request(), self.now + job.predicted_s);
        for (task, i) in tasks.iter().zip(chosen) {
            if let Some(head) = head.as_mut() {
                head.admit(i, &request, end);
            }
            self.allocate(job, *task, i);
        }
        Ok(())
    }

    /// A machine for each of `tasks` tasks of a gang, within the zone constraints and without delaying
    /// the reservation; `None` if the tasks do not fit.
    fn fit_gang(&self, job: &Job, tasks: usize, head: Option<&Reservation>) -> Option<Vec<usize>> {
        let (request, end) = (job.request(), self.now + job.predicted_s);
        let mut machines: Vec<usize> = self
            .allowed(job)
            .filter(|i| head.is_none_or(|head| head.allows(*i, &request, end)))
            .collect();
        // Machines on which the gang has failed come last.
        machines.sort_by(|a, b| {
            let failures = |i: usize| failure_penalty_s(job, self.machines[i].machine);
            let slots = |i: usize| self.machines[i].free_for_batches().slots(&request);
            let by_failures = failures(*a).total_cmp(&failures(*b));
            by_failures.then(slots(*b).cmp(&slots(*a)))
        });
        if !job.spec.one_zone {
            return self.fill(job, tasks, &machines);
        }
        let zone_of = |i: usize| &self.machines[i].machine.zone;
        let zones: BTreeSet<&ZoneName> = machines.iter().map(|i| zone_of(*i)).collect();
        zones.into_iter().find_map(|zone| {
            let of_zone = machines.iter().copied().filter(|i| zone_of(*i) == zone);
            let of_zone: Vec<usize> = of_zone.collect();
            self.fill(job, tasks, &of_zone)
        })
    }

    /// Assigns `tasks` tasks to the machines in this order; `None` if they do not all fit.
    fn fill(&self, job: &Job, tasks: usize, machines: &[usize]) -> Option<Vec<usize>> {
        let request = job.request();
        let mut chosen = Vec::new();
        let mut in_zone: HashMap<&ZoneName, u32> = HashMap::new();
        for i in machines {
            let machine = &self.machines[*i];
            let count_in_zone = in_zone.entry(&machine.machine.zone).or_default();
            let slots = machine.free_for_batches().slots(&request);
            let slots = slots.min(job.max_per_zone() - *count_in_zone);
            let count = (slots as usize).min(tasks - chosen.len());
            *count_in_zone += count as u32;
            chosen.extend(std::iter::repeat_n(*i, count));
        }
        (chosen.len() == tasks).then_some(chosen)
    }
}
