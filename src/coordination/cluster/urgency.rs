//! The priority and the deadline that a job inherits from its direct and indirect dependents.
//!
//! A changed job is queued together with its dependencies' update, and each step of the leader updates only
//! some of the queued jobs. Jobs are updated in the reverse order of their arrival: a job is accepted only
//! after its dependencies, so all of its dependents come first, and one change reaches each job once,
//! whatever the shape of the graph.

use super::ClusterState;
use crate::coordination::state::{Deadline, Job, JobId};
use crate::protocol::job::Priority;
use std::collections::BTreeSet;

/// Jobs and dependencies between jobs that one step of the leader visits.
const MAX_VISITS_PER_STEP: u64 = 4_000;

/// The jobs whose urgency has to be computed again.
#[derive(Default)]
pub(super) struct UrgencyUpdates {
    /// The jobs by their order of arrival.
    outdated: BTreeSet<(u64, JobId)>,
    /// How many jobs and dependencies all updates have visited.
    visits: u64,
}

impl UrgencyUpdates {
    /// Queues a job.
    fn insert(&mut self, job: &Job) {
        self.outdated.insert((job.arrival_order, job.id.clone()));
    }

    /// Takes the job that arrived last.
    fn take_last(&mut self) -> Option<JobId> {
        self.outdated.pop_last().map(|(_, id)| id)
    }

    /// How many jobs and dependencies all updates have visited.
    pub(super) fn visits(&self) -> u64 {
        self.visits
    }
}

/// The priority and deadline that a job is scheduled by: its own, or those inherited from a dependent.
struct Urgency {
    priority: Priority,
    deadline: Option<Deadline>,
}

impl Urgency {
    fn own(job: &Job) -> Urgency {
        let deadline = job.spec.deadline_s.map(|due_s| Deadline {
            arrived_at: job.arrived_at,
            due_s,
            class: job.spec.class.as_str().into(),
            remaining_path_s: 0.0,
        });
        Urgency {
            priority: job.spec.priority,
            deadline,
        }
    }

    fn current(job: &Job) -> Urgency {
        Urgency {
            priority: job.priority,
            deadline: job.deadline.clone(),
        }
    }

    /// Includes the urgency of a dependent, which itself takes `duration_s`. Returns whether this urgency
    /// has changed.
    fn include(&mut self, dependent: &Job, duration_s: f64) -> bool {
        let is_higher = dependent.priority > self.priority;
        self.priority = self.priority.max(dependent.priority);
        let Some(inherited) = &dependent.deadline else {
            return is_higher;
        };
        let latest = inherited.latest() - duration_s;
        let current = self.deadline.as_ref();
        let is_earlier = current.is_none_or(|current| latest < current.latest());
        if is_earlier {
            self.deadline = Some(Deadline {
                remaining_path_s: inherited.remaining_path_s + duration_s,
                ..inherited.clone()
            });
        }
        is_higher || is_earlier
    }
}

impl ClusterState {
    /// Sets the urgency of a job that was just added, and queues the dependencies that inherit it.
    pub(super) fn add_urgency(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.deadline = Urgency::own(job).deadline;
        if self.dependencies.has_dependents(id) {
            self.urgency_updates.insert(&self.jobs[id]);
        }
        let job = &self.jobs[id];
        let duration_s = self.duration_s(job);
        for dependency in &job.unmet_dependencies {
            let Some(dependency) = self.jobs.get(dependency) else {
                continue;
            };
            if Urgency::current(dependency).include(job, duration_s) {
                self.urgency_updates.insert(dependency);
            }
        }
    }

    /// Queues a job whose dependents or whose own urgency have changed.
    pub(super) fn queue_urgency_update(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            self.urgency_updates.insert(job);
        }
    }

    /// Updates queued jobs, as many as one step may visit.
    pub(crate) fn update_urgencies(&mut self) {
        let visits_before = self.urgency_updates.visits;
        while self.urgency_updates.visits - visits_before < MAX_VISITS_PER_STEP {
            let Some(id) = self.urgency_updates.take_last() else {
                return;
            };
            self.update_urgency(&id);
        }
    }

    /// How many jobs and dependencies the updates of this term have visited.
    pub(crate) fn urgency_visits(&self) -> u64 {
        self.urgency_updates.visits()
    }

    /// Computes the urgency of a job; if it has changed, queues the job's dependencies.
    fn update_urgency(&mut self, id: &JobId) {
        self.urgency_updates.visits += 1;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let mut urgency = Urgency::own(job);
        for dependent in self.dependencies.dependents_of(id) {
            self.urgency_updates.visits += 1;
            if let Some(dependent) = self.jobs.get(dependent) {
                urgency.include(dependent, self.duration_s(dependent));
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.priority == urgency.priority && job.deadline == urgency.deadline {
            return;
        }
        job.priority = urgency.priority;
        job.deadline = urgency.deadline;
        self.needs_scheduling = true;
        let job = &self.jobs[id];
        for dependency in &job.unmet_dependencies {
            self.urgency_updates.visits += 1;
            if let Some(dependency) = self.jobs.get(dependency) {
                self.urgency_updates.insert(dependency);
            }
        }
    }

    /// Seconds that a job takes from when it may start, including the fetch of its image, if it gets
    /// all the resources that it requests.
    fn duration_s(&self, job: &Job) -> f64 {
        let rate = self.machine_types.slowest_fetch_gb_per_s();
        let fetch_s = if rate.is_finite() && rate > 0.0 {
            job.spec.image_gb / rate
        } else {
            0.0
        };
        job.predicted_s + fetch_s
    }
}
