//! Where the tasks of gangs go: all at once, or none.

use super::{failure_penalty_s, SchedulingCycle};
use crate::coordination::scheduling::backfill::Reservation;
use crate::coordination::scheduling::queue::Blocked;
use crate::coordination::state::{Job, Name};
use std::collections::{BTreeSet, HashMap};

impl SchedulingCycle<'_> {
    /// All tasks of a gang, or none.
    pub(crate) fn place_gang(
        &mut self,
        job: &Job,
        mut head: Option<&mut Reservation>,
        guaranteed: bool,
    ) -> Result<(), Blocked> {
        if self.placed.contains_key(&job.id) {
            return Ok(());
        }
        let tasks: Vec<u32> = job.unplaced().collect();
        if !self.within_limit(job, tasks.len() as u32) {
            return Err(Blocked::Rule);
        }
        let reserved = head.as_deref().filter(|_| !guaranteed);
        let Some(chosen) = self.fit_gang(job, tasks.len(), reserved) else {
            if reserved.is_some() && self.fit_gang(job, tasks.len(), None).is_some() {
                self.withhold(job);
            }
            return Err(Blocked::Resources);
        };
        let (need, end) = (job.need(), self.now + job.predicted_s);
        for (task, i) in tasks.iter().zip(chosen) {
            if let Some(head) = head.as_mut() {
                head.admit(i, &need, end);
            }
            self.plan(job, *task, i, true);
        }
        Ok(())
    }

    /// A machine for each of so many tasks of a gang, in zones that allow it and without delaying the
    /// reservation.
    fn fit_gang(&self, job: &Job, tasks: usize, head: Option<&Reservation>) -> Option<Vec<usize>> {
        let (need, end) = (job.need(), self.now + job.predicted_s);
        let mut machines: Vec<usize> = self
            .allowed(job)
            .filter(|i| head.is_none_or(|h| h.allows(*i, &need, end)))
            .collect();
        // Where it has failed comes last.
        machines.sort_by(|a, b| {
            let failures = |i: usize| failure_penalty_s(job, self.machines[i]);
            let slots = |i: usize| self.room(i).slots(&need);
            let by_failures = failures(*a).total_cmp(&failures(*b));
            by_failures.then(slots(*b).cmp(&slots(*a)))
        });
        if !job.spec.one_zone {
            return self.fill(job, tasks, &machines);
        }
        let zones: BTreeSet<&Name> = machines.iter().map(|i| &self.machines[*i].zone).collect();
        zones.into_iter().find_map(|zone| {
            let here = machines.iter().copied();
            let here: Vec<usize> = here.filter(|i| self.machines[*i].zone == *zone).collect();
            self.fill(job, tasks, &here)
        })
    }

    /// Takes machines in this order until so many tasks have one each.
    fn fill(&self, job: &Job, tasks: usize, machines: &[usize]) -> Option<Vec<usize>> {
        let need = job.need();
        let mut chosen = Vec::new();
        let mut in_zone: HashMap<&Name, u32> = HashMap::new();
        for i in machines {
            let here = in_zone.entry(&self.machines[*i].zone).or_default();
            let free = self.room(*i).slots(&need).min(job.most_in_zone() - *here);
            let count = (free as usize).min(tasks - chosen.len());
            *here += count as u32;
            chosen.extend(std::iter::repeat_n(*i, count));
        }
        (chosen.len() == tasks).then_some(chosen)
    }
}
