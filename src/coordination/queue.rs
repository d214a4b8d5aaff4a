//! One pass over what waits: services first, then the queue in its order with backfilling.

use super::backfill::{reserve, Frees, Reservation};
use super::core::Core;
use super::placement::Pass;
use super::state::*;
use super::Time;
use crate::protocol::job::{Kind, Priority};
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;
use tracing::info;

/// Why a job's next task was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// Its team's limit, a rule about zones, or a pause after failures: it holds up nobody else.
    Rule,
    Room,
}

impl Core {
    /// Decides what to place now. Plans are recorded before any launch leaves.
    pub(super) fn schedule(&mut self, now: Time) {
        if self.types.is_empty() || !self.jobs.values().any(|j| waits(j, now)) {
            return;
        }
        let mut pass = Pass::new(self, now);
        self.look(self.machines.len());
        let mut services: Vec<&Job> = Vec::new();
        let mut queue: Vec<&Job> = Vec::new();
        for job in self.jobs.values().filter(|j| waits(j, now)) {
            match job.is_service() {
                true => services.push(job),
                false => queue.push(job),
            }
        }
        services.sort_by_key(|j| (Reverse(j.spec.priority), j.seq));
        for job in services {
            for task in job.unplaced() {
                if pass.place_service(job, task).is_err() {
                    break;
                }
            }
        }
        pass.keep_warm();
        let within = self.within_guarantee();
        let rank = |j: &Job| !within.get(&j.id).copied().unwrap_or(false);
        queue.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| in_turn(a, b, now)));
        self.place_queue(&mut pass, &queue, &|j| !rank(j));
        let plans = pass.finish();
        for stop in plans.stops {
            let grace_s = self.grace(&stop.1);
            self.stop(&stop.0, &stop.1, grace_s, now);
        }
        let mut gangs: HashMap<Name, u64> = HashMap::new();
        for plan in plans.places {
            let fresh = self.unique();
            let attempt = match plan.gang {
                true => *gangs.entry(plan.job.clone()).or_insert(fresh),
                false => fresh,
            };
            self.add_place(
                &plan.job,
                plan.task,
                &plan.machine,
                attempt,
                Stage::Planned,
                now,
            );
        }
    }

    fn grace(&self, key: &PlaceKey) -> f64 {
        match self.jobs.get(&key.0) {
            Some(job) if job.spec.checkpoint_s > 0.0 && !job.cancelled => job.spec.save_s,
            _ => 0.0,
        }
    }

    fn place_queue(&self, pass: &mut Pass, queue: &[&Job], guaranteed: &dyn Fn(&Job) -> bool) {
        let mut head: Option<Reservation> = None;
        let mut rest = Vec::new();
        for (i, job) in queue.iter().enumerate() {
            match self.place_job(pass, job, None, guaranteed(job)) {
                Ok(()) | Err(Blocked::Rule) => {}
                Err(Blocked::Room) => {
                    head = self.reservation(pass, job);
                    rest = queue[i + 1..].to_vec();
                    break;
                }
            }
        }
        // Guaranteed work need not wait on other teams, hence not on their reservation.
        rest.sort_by(|a, b| {
            let key = |j: &Job| (!guaranteed(j), j.predicted_s);
            let (a_key, b_key) = (key(a), key(b));
            a_key
                .0
                .cmp(&b_key.0)
                .then(a_key.1.total_cmp(&b_key.1))
                .then(a.seq.cmp(&b.seq))
        });
        for job in rest {
            let _ = self.place_job(pass, job, head.as_mut(), guaranteed(job));
        }
    }

    /// Places as many tasks of a job as can be.
    fn place_job(
        &self,
        pass: &mut Pass,
        job: &Job,
        head: Option<&mut Reservation>,
        guaranteed: bool,
    ) -> Result<(), Blocked> {
        if job.spec.kind == Kind::Gang {
            return match job.live {
                0 => pass.place_gang(job, head),
                _ => Ok(()),
            };
        }
        pass.place_tasks(job, head, guaranteed)
    }

    /// Where the head starts, by the predicted ends of what runs.
    fn reservation(&self, pass: &Pass, job: &Job) -> Option<Reservation> {
        let machines = pass.allowed(job).map(|i| {
            let m = pass.machine(i);
            self.look(m.places.len());
            let ends = m
                .live()
                .map(|(_, p)| (p.predicted_end(pass.now), p.load.need));
            Frees {
                machine: i,
                room: pass.room(i),
                ends: ends.filter(|(end, _)| end.is_finite()).collect(),
            }
        });
        let found = reserve(pass.now, &job.need(), machines.collect());
        if let Some(r) = found {
            let name = &pass.machine(r.machine).name;
            tracing::debug!(
                "{}: waits, reserved on {name} in {:.0} s",
                job.id,
                r.at - pass.now
            );
        }
        found
    }

    /// Which jobs fit into their team's guarantee along with its earlier unfinished ones.
    pub(super) fn within_guarantee(&self) -> HashMap<Name, bool> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
        jobs.sort_by_key(|j| j.seq);
        let mut sums: HashMap<&str, (f64, f64)> = HashMap::new();
        let mut within = HashMap::new();
        for job in jobs {
            let Some(team) = self.team(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(&job.spec.team).or_default();
            let tasks = (job.tasks.len() as u32 - job.done) as f64;
            sum.0 += tasks * job.spec.cpus;
            sum.1 += tasks * job.spec.gpus;
            let fits = sum.0 <= team.cpus && sum.1 <= team.gpus;
            within.insert(job.id.clone(), fits);
        }
        within
    }

    /// Tells why jobs stall: for people who read the log.
    pub(super) fn explain_stalls(&self, now: Time) {
        let silence_s = self.silence_s();
        let up = self
            .machines
            .values()
            .filter(|m| m.takes_tasks(now, silence_s, self.first_token))
            .count();
        let waiting: u32 = self
            .jobs
            .values()
            .filter(|j| waits(j, now))
            .map(Job::unplaced_count)
            .sum();
        if waiting == 0 {
            return;
        }
        let oldest = self
            .jobs
            .values()
            .filter(|j| waits(j, now))
            .min_by_key(|j| j.seq);
        if let Some(job) = oldest {
            let (cpus, most) = (
                self.team_use.get(&job.spec.team).map_or(0.0, |u| u.0),
                self.team(&job.spec.team).map_or(0.0, |t| t.cpus_max),
            );
            info!(
                "{waiting} tasks wait on {up} of {} machines; the oldest is {}, {:.0} s: \
                 its team uses {cpus} CPUs of at most {most}",
                self.machines.len(),
                job.id,
                now - job.arrived
            );
        }
    }
}

/// A job's turn among those of its rank: in order of arrival, but a deadline brings it forward to
/// the latest start that meets it. One that is missed already yields to those that are not.
fn turn(job: &Job, now: Time) -> (bool, Time) {
    match job.spec.deadline_s {
        None => (false, job.arrived),
        Some(due_s) => {
            let latest = job.arrived + due_s - job.predicted_s;
            (job.arrived + due_s < now, latest)
        }
    }
}

/// The order of the queue: by priority, then in turn.
pub(super) fn in_turn(a: &Job, b: &Job, now: Time) -> Ordering {
    let by_time = || {
        turn(a, now)
            .partial_cmp(&turn(b, now))
            .unwrap_or(Ordering::Equal)
    };
    let by_priority = b.spec.priority.cmp(&a.spec.priority);
    by_priority.then_with(by_time).then(a.seq.cmp(&b.seq))
}

fn waits(job: &Job, now: Time) -> bool {
    !job.cancelled && now >= job.retry_at && job.unplaced_count() > 0
}

/// Whether work may be stopped for other work of a higher priority.
pub(super) fn outranks(a: Priority, b: Priority) -> bool {
    a > b
}
