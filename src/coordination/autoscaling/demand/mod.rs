//! How many machines are wanted: for services, for what is expected, and for batches.

mod batches;
mod gangs;
mod supply;

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{Job, MachinePhase, Resources};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec};
use std::sync::Arc;
use supply::slots_by_zone;

/// Amounts are decimal fractions: sums may miss by a little.
const SLACK: f64 = 1e-6;

/// Tasks of one shape that want machines.
pub(crate) struct Demand {
    pub spec: Arc<JobSpec>,
    pub count: u32,
    /// Whether the cloud may take the machine back.
    pub spot: bool,
}

impl Demand {
    fn cpus(&self) -> f64 {
        f64::from(self.count) * self.spec.cpus
    }
}

/// Demands of the same shape and with the same choice of machines as one.
pub(crate) fn merged(demands: Vec<Demand>) -> Vec<Demand> {
    let mut merged: Vec<Demand> = Vec::new();
    for demand in demands {
        let same = merged.iter_mut().find(|m| {
            let (a, b) = (&m.spec, &demand.spec);
            m.spot == demand.spot
                && Resources::of(a) == Resources::of(b)
                && (&a.types, &a.zone) == (&b.types, &b.zone)
        });
        match same {
            Some(m) => m.count += demand.count,
            None => merged.push(demand),
        }
    }
    merged
}

impl ClusterState {
    /// What is wanted beyond the machines that are up or coming.
    pub(crate) fn demands(&self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        // Resources on machines that are on their way.
        let mut coming: Vec<(bool, Resources)> = Vec::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Booting)
        {
            if let Some(t) = self.type_of(&m.kind) {
                coming.push((m.spot, Resources::of_type(t)));
            }
        }
        for r in self.fleet.renting.values() {
            if let Some(t) = self.type_of(&r.kind) {
                for _ in 0..r.count {
                    coming.push((r.spot, Resources::of_type(t)));
                }
            }
        }
        let mut absorb = |need: &Resources, spot: bool, count: u32| {
            let mut left = count;
            for (_, room) in coming.iter_mut().filter(|c| spot || !c.0) {
                while left > 0 && room.fits(need) {
                    room.take(need);
                    left -= 1;
                }
            }
            left
        };
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_service() && j.may_begin())
        {
            let count = self.wanted(job, job.unplaced_count());
            let left = absorb(&job.need(), job.spec.spot, count);
            if left > 0 {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count: left,
                    spot: job.spec.spot,
                });
            }
        }
        for (need, count, _) in self.fleet.expected(self, now) {
            let free: u32 = self
                .machines
                .values()
                .filter(|m| self.takes_tasks(m, now) && !m.spot)
                .map(|m| self.free_room(m).slots(&need))
                .sum();
            let left = absorb(&need, false, count.saturating_sub(free));
            let class = self
                .fleet
                .services
                .values()
                .find(|a| Resources::of(&a.spec) == need);
            if let (Some(a), true) = (class, left > 0) {
                demands.push(Demand {
                    spec: a.spec.clone(),
                    count: left,
                    spot: false,
                });
            }
        }
        let supply = self.supply(now);
        for job in self.overdue_batches(now) {
            if job.spec.kind == JobKind::Gang && (job.spec.one_zone || job.spec.spread) {
                let free = slots_by_zone(job, &supply, |machine| machine.free);
                demands.extend(self.gang_demands(job, &free));
                continue;
            }
            let tasks = match job.spec.kind {
                JobKind::Gang => job.spec.tasks,
                _ => 1,
            };
            let left = absorb(&job.need(), job.spec.spot, self.wanted(job, tasks));
            if left > 0 {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count: left,
                    spot: job.spec.spot && self.settings.policy.spot,
                });
            }
        }
        demands.extend(self.batch_demands(&supply, now));
        demands
    }

    /// Batches that have found no room for so long that they get machines of their own: those at hand
    /// may suffice to end them in time, and yet not to begin them, or to begin them again.
    fn overdue_batches(&self, now: Time) -> impl Iterator<Item = &Job> {
        let batches = self.jobs.values().filter(|j| !j.is_service());
        let waiting = batches.filter(move |j| j.may_begin() && now >= j.retry_at);
        waiting.filter(move |j| j.is_overdue(now) || j.lacks_machines(now))
    }

    /// As many of a job's tasks as its team's limit lets run.
    pub(crate) fn wanted(&self, job: &Job, count: u32) -> u32 {
        let Some(team) = self.team(&job.spec.team) else {
            return 0;
        };
        let used = self.team_use.get(&job.spec.team).map_or(0.0, |u| u.0);
        if team.cpus_max <= 0.0 || job.spec.cpus <= 0.0 {
            return count;
        }
        let free = ((team.cpus_max - used + SLACK) / job.spec.cpus).max(0.0);
        count.min(free as u32)
    }
}
