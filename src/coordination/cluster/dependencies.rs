//! Dependencies between jobs: when a job may begin, what cancels it with a job that it depends on, and
//! whose deadline and priority it works towards.
//!
//! A job that waits for others takes no part in scheduling. It may begin once the end of every job that
//! it names is on record as `done`; whatever is not known means waiting. Ends are not listed anywhere,
//! so a new leader, which knows those of open jobs only, has the others read, each once. Once a job is
//! cancelled, so are all that depend on it, however far: each gets its end on record, and users are told
//! of it then.

use super::{ClusterState, Effect};
use crate::coordination::state::{Deadline, Job, JobId};
use crate::coordination::Time;
use crate::protocol::job::{JobState, Priority};
use crate::storage::records::EndRecord;
use std::collections::{BTreeSet, HashMap};
use tracing::{debug, info};

/// Ends that are read at once.
const MAX_END_READS: usize = 32;
/// Seconds before an end that was not on record is read again.
const END_READ_RETRY_S: f64 = 1.0;

/// The graph of jobs that depend on others.
#[derive(Default)]
pub(super) struct DependencyGraph {
    /// For each job that others depend on and that is not known to have ended: those that name it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs of which neither the description nor the end is known here.
    unknown: BTreeSet<JobId>,
    /// Whether ends are being read.
    is_reading_ends: bool,
    next_end_read_at: Time,
}

impl DependencyGraph {
    /// Whether other jobs wait for this one.
    pub(super) fn has_dependents(&self, job: &JobId) -> bool {
        self.dependents.contains_key(job)
    }

    /// Whether it is not known what has become of a job that this one depends on.
    pub(super) fn has_unknown(&self, job: &Job) -> bool {
        let mut dependencies = job.unmet_dependencies.iter();
        dependencies.any(|id| self.unknown.contains(id))
    }

    fn add(&mut self, dependency: &JobId, dependent: &JobId) {
        let dependents = self.dependents.entry(dependency.clone()).or_default();
        dependents.insert(dependent.clone());
    }

    fn remove(&mut self, dependency: &JobId, dependent: &JobId) {
        if let Some(dependents) = self.dependents.get_mut(dependency) {
            dependents.remove(dependent);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
            }
        }
    }

    /// Removes a job whose end is known, and returns those that wait for it.
    fn take_dependents(&mut self, job: &JobId) -> BTreeSet<JobId> {
        self.dependents.remove(job).unwrap_or_default()
    }

    fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The jobs whose ends are to be read now.
    fn ends_to_read(&mut self, now: Time) -> Vec<JobId> {
        if self.is_reading_ends || now < self.next_end_read_at {
            return Vec::new();
        }
        let dependents = &self.dependents;
        self.unknown.retain(|id| dependents.contains_key(id));
        let ids: Vec<JobId> = self.unknown.iter().take(MAX_END_READS).cloned().collect();
        self.is_reading_ends = !ids.is_empty();
        ids
    }
}

/// What a job works towards: its own priority and deadline, or those of a job that depends on it.
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

    /// Takes in a job that depends on this one and takes `duration_s` itself.
    fn include(&mut self, dependent: &Job, duration_s: f64) {
        self.priority = self.priority.max(dependent.priority);
        let Some(theirs) = &dependent.deadline else {
            return;
        };
        let earlier = Deadline {
            remaining_path_s: theirs.remaining_path_s + duration_s,
            ..theirs.clone()
        };
        let ours = self.deadline.as_ref();
        if ours.is_none_or(|ours| earlier.latest() < ours.latest()) {
            self.deadline = Some(earlier);
        }
    }
}

impl ClusterState {
    /// Registers what a new job waits for, and who waits for it.
    pub(super) fn register_dependencies(&mut self, id: &JobId, now: Time) {
        self.dependencies.unknown.remove(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.cancelled {
            return self.dependency_ended(id, JobState::Cancelled, now);
        }
        let spec = job.spec.clone();
        let mut is_cancelled = false;
        for name in &spec.waits_on {
            let dependency: JobId = name.as_str().into();
            match self.jobs.get(&dependency) {
                Some(job) if job.will_be_cancelled() => is_cancelled = true,
                Some(job) if job.final_state_recorded => continue,
                Some(_) => {}
                None => {
                    self.dependencies.unknown.insert(dependency.clone());
                }
            }
            self.dependencies.add(&dependency, id);
            if let Some(job) = self.jobs.get_mut(id) {
                job.unmet_dependencies.insert(dependency);
            }
        }
        if is_cancelled {
            return self.cancel_dependents(id, now);
        }
        self.propagate_urgency(id);
        for name in &spec.waits_on {
            self.propagate_urgency(&name.as_str().into());
        }
    }

    /// Placements and completed tasks on record prove that all that a job depends on was done then.
    pub(super) fn clear_met_dependencies(&mut self) {
        let jobs = self.jobs.values();
        let begun = jobs.filter(|job| job.allocated() > 0 || job.completed() > 0);
        let begun: Vec<JobId> = begun.map(|job| job.id.clone()).collect();
        for id in begun {
            self.clear_dependencies(&id);
        }
    }

    /// A job waits for nothing any more, whatever it has waited for.
    pub(super) fn clear_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for dependency in std::mem::take(&mut job.unmet_dependencies) {
            self.dependencies.remove(&dependency, id);
            self.propagate_urgency(&dependency);
        }
    }

    /// A job's end is on record, since then at the latest: what waits for it goes on, or is cancelled
    /// with it.
    pub(super) fn dependency_ended(&mut self, id: &JobId, state: JobState, since: Time) {
        self.dependencies.unknown.remove(id);
        for dependent in self.dependencies.take_dependents(id) {
            if state == JobState::Cancelled {
                self.cancel_dependents(&dependent, since);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&dependent) else {
                continue;
            };
            job.unmet_dependencies.remove(id);
            job.ready_at = job.ready_at.max(since);
            if job.is_eligible() {
                debug!(job = %dependent, "dependencies are met");
                self.needs_scheduling = true;
            }
        }
    }

    /// A job that this one depends on is cancelled, so neither it nor what depends on it ever begins.
    fn cancel_dependents(&mut self, id: &JobId, now: Time) {
        let mut cancelled = vec![id.clone()];
        while let Some(id) = cancelled.pop() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.will_be_cancelled() || job.final_state_recorded {
                continue;
            }
            job.dependency_cancelled = true;
            info!(job = %id, "job cancelled with a dependency");
            // It has no allocations, unless something went wrong before.
            self.stop_job(&id, 0.0, now);
            self.clear_dependencies(&id);
            self.mark_finished(&id);
            cancelled.extend(self.dependencies.take_dependents(&id));
        }
    }

    /// Updates what a job works towards, and with it what those do on which it depends: the same,
    /// earlier by the time that it takes.
    fn propagate_urgency(&mut self, id: &JobId) {
        let mut changed = vec![id.clone()];
        while let Some(id) = changed.pop() {
            if self.update_urgency(&id) {
                changed.extend(self.jobs[&id].unmet_dependencies.iter().cloned());
            }
        }
    }

    /// Returns whether anything has changed.
    fn update_urgency(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut urgency = Urgency::own(job);
        for dependent in self.dependencies.dependents_of(id) {
            if let Some(dependent) = self.jobs.get(dependent) {
                urgency.include(dependent, self.duration_s(dependent));
            }
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let changed = job.priority != urgency.priority || job.deadline != urgency.deadline;
        job.priority = urgency.priority;
        job.deadline = urgency.deadline;
        self.needs_scheduling |= changed;
        changed
    }

    /// How long a job takes from when it may begin, in seconds, with all the resources that it wants:
    /// its image comes first.
    fn duration_s(&self, job: &Job) -> f64 {
        let rate = self.machine_types.slowest_fetch_gb_per_s();
        let fetch_s = if rate.is_finite() && rate > 0.0 {
            job.spec.image_gb / rate
        } else {
            0.0
        };
        job.predicted_s + fetch_s
    }

    /// Has the ends of jobs read that others depend on and that are not known.
    pub(crate) fn request_unknown_ends(&mut self, now: Time) {
        if !self.leadership.is_leader(now) {
            return;
        }
        let ids = self.dependencies.ends_to_read(now);
        if !ids.is_empty() {
            self.effects.push(Effect::ReadEnds(ids));
        }
    }

    /// The ends that were read; none for a job whose end is not on record, or could not be read.
    pub(crate) fn ends_found(&mut self, ends: Vec<(JobId, Option<EndRecord>)>, now: Time) {
        self.dependencies.is_reading_ends = false;
        for (id, end) in ends {
            match end {
                Some(end) => {
                    let since = end.at_ms.map_or(now, |ms| self.clock.time_of(ms).min(now));
                    self.dependency_ended(&id, end.state, since);
                }
                None => self.dependencies.next_end_read_at = now + END_READ_RETRY_S,
            }
        }
    }

    /// A job's end is on record, as some node has read.
    pub(crate) fn job_end_recorded(&mut self, id: &str, state: JobState, now: Time) {
        match state {
            JobState::Cancelled if self.jobs.contains_key(id) => self.cancel(id, now),
            _ => self.dependency_ended(&id.into(), state, now),
        }
    }
}
