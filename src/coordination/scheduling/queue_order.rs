//! The order of the queue: guaranteed jobs first, then by priority, deadline and arrival.

use super::deadlines::{feasible, RemainingWork};
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{Deadline, Job, JobId, QuotaUsage};
use crate::coordination::Time;
use std::cmp::Ordering;
use std::collections::HashMap;

/// A job's position among the jobs of its priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QueuePosition {
    /// The lowest lateness tier that the job can still meet; lower tiers come first.
    tier: usize,
    /// The order within the tier: the latest start that meets the deadline, or when the job was ready.
    time: Time,
}

impl QueuePosition {
    fn compare(&self, other: &QueuePosition) -> Ordering {
        let by_tier = self.tier.cmp(&other.tier);
        by_tier.then(self.time.total_cmp(&other.time))
    }
}

/// A job with a deadline and without a position so far.
struct Unpositioned<'a> {
    job: &'a Job,
    deadline: &'a Deadline,
    /// The factors by which the deadline may be exceeded, by the service-level objectives, ascending.
    lateness: Vec<f64>,
}

impl Unpositioned<'_> {
    /// When the job must be done to meet a lateness tier; infinity beyond the last tier.
    fn due_at(&self, tier: usize) -> Time {
        let factor = self.lateness.get(tier);
        factor.map_or(f64::INFINITY, |factor| self.deadline.at(*factor))
    }

    fn remaining_work(&self, tier: usize) -> RemainingWork {
        RemainingWork {
            due_at: self.due_at(tier),
            cpu_seconds: self.job.work_left(),
            min_duration_s: self.job.predicted_s,
        }
    }

    fn position(&self, tier: usize) -> QueuePosition {
        let due_at = self.due_at(tier);
        let time = if due_at.is_finite() {
            due_at - self.job.predicted_s
        } else {
            self.job.ready_at
        };
        QueuePosition { tier, time }
    }
}

/// The order in which waiting jobs are placed.
pub(super) struct QueueOrder {
    positions: HashMap<JobId, QueuePosition>,
    guaranteed: HashMap<JobId, bool>,
}

impl QueueOrder {
    /// The order of the waiting jobs on a cluster with `cpus` CPUs. Jobs without a deadline are
    /// ordered by the time at which they became ready, jobs with a deadline by the latest start that
    /// meets it. Jobs whose deadline can no longer be met come after those whose deadline can, in
    /// tiers of lateness.
    pub(super) fn new(cluster: &ClusterState, queue: &[&Job], cpus: f64, now: Time) -> QueueOrder {
        QueueOrder {
            positions: positions(cluster, queue, cpus, now),
            guaranteed: within_guarantee(cluster),
        }
    }

    /// Whether a job fits into its team's guarantee, so that it need not wait for other teams' jobs.
    pub(super) fn is_guaranteed(&self, job: &Job) -> bool {
        self.guaranteed.get(&job.id).copied().unwrap_or(false)
    }

    /// Compares jobs: guaranteed ones first, then by priority, then by position.
    pub(super) fn compare(&self, a: &Job, b: &Job) -> Ordering {
        let by_guarantee = self.is_guaranteed(b).cmp(&self.is_guaranteed(a));
        let by_priority = b.priority.cmp(&a.priority);
        let by_position = self.position(a).compare(&self.position(b));
        by_guarantee
            .then(by_priority)
            .then(by_position)
            .then(a.arrival_order.cmp(&b.arrival_order))
    }

    fn position(&self, job: &Job) -> QueuePosition {
        let position = self.positions.get(&job.id).copied();
        position.unwrap_or(QueuePosition {
            tier: 0,
            time: job.ready_at,
        })
    }
}

fn positions(
    cluster: &ClusterState,
    queue: &[&Job],
    cpus: f64,
    now: Time,
) -> HashMap<JobId, QueuePosition> {
    let mut positions = HashMap::new();
    let mut left: Vec<Unpositioned> = Vec::new();
    for job in queue {
        let Some(deadline) = &job.deadline else {
            let position = QueuePosition {
                tier: 0,
                time: job.ready_at,
            };
            positions.insert(job.id.clone(), position);
            continue;
        };
        left.push(Unpositioned {
            job,
            deadline,
            lateness: allowed_lateness(cluster, &deadline.class),
        });
    }
    let mut committed = 0.0;
    let mut tier = 0;
    while !left.is_empty() {
        left.sort_by(|a, b| {
            let by_due_time = a.due_at(tier).total_cmp(&b.due_at(tier));
            by_due_time.then(a.job.arrival_order.cmp(&b.job.arrival_order))
        });
        let work: Vec<RemainingWork> = left.iter().map(|u| u.remaining_work(tier)).collect();
        let feasible = feasible(&work, now, cpus, committed);
        let mut rest = Vec::new();
        for (i, unpositioned) in left.into_iter().enumerate() {
            if !feasible[i] {
                rest.push(unpositioned);
                continue;
            }
            committed += work[i].cpu_seconds;
            let id = unpositioned.job.id.clone();
            positions.insert(id, unpositioned.position(tier));
        }
        left = rest;
        tier += 1;
    }
    positions
}

/// The factors by which jobs of a class may exceed their deadline, by the service-level objectives.
fn allowed_lateness(cluster: &ClusterState, class: &str) -> Vec<f64> {
    let objectives = cluster.settings().cluster.objectives.iter();
    let of_class = objectives.filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(class));
    let mut factors: Vec<f64> = of_class.filter_map(|o| o.times).collect();
    factors.sort_by(f64::total_cmp);
    if factors.is_empty() {
        vec![1.0]
    } else {
        factors
    }
}

/// Whether each job fits into its team's guarantee together with the team's earlier open jobs.
fn within_guarantee(cluster: &ClusterState) -> HashMap<JobId, bool> {
    let teams = &cluster.settings().cluster.teams;
    if teams.iter().all(|team| team.cpus <= 0.0) {
        return HashMap::new();
    }
    let mut jobs: Vec<&Job> = cluster.jobs().filter(|job| job.is_eligible()).collect();
    jobs.sort_by(|a, b| {
        let by_ready_time = a.ready_at.total_cmp(&b.ready_at);
        by_ready_time.then(a.arrival_order.cmp(&b.arrival_order))
    });
    let mut sums: HashMap<&str, QuotaUsage> = HashMap::new();
    let mut within = HashMap::new();
    for job in jobs {
        let Some(team) = cluster.team(&job.spec.team) else {
            continue;
        };
        let sum = sums.entry(&job.spec.team).or_default();
        let tasks = f64::from(job.task_count() - job.completed());
        sum.add(&job.request(), tasks);
        let fits = sum.cpus <= team.cpus && sum.gpus <= team.gpus;
        within.insert(job.id.clone(), fits);
    }
    within
}
