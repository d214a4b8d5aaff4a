//! Dependencies between jobs: when a dependent may start, and when it is cancelled. The module `urgency`
//! treats the deadlines and priorities that a job inherits from its dependents.
//!
//! A job with unmet dependencies takes no part in scheduling. It may start once the final state of each
//! dependency is on record as `done`; an unknown state means waiting. Final states cannot be listed, so
//! a new leader, which knows only open jobs, has the final state of each unknown dependency read once.
//! When a job is cancelled, so are all its direct and indirect dependents: the final state of each is
//! recorded, and users are notified then.

use super::{ClusterState, Effect};
use crate::coordination::state::{Job, JobId};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::records::FinalStateRecord;
use std::collections::{BTreeSet, HashMap};
use tracing::{debug, info};

/// Final states that are read at once.
const MAX_FINAL_STATE_READS: usize = 32;
/// Seconds before a final state that was not on record is read again.
const FINAL_STATE_RETRY_S: f64 = 1.0;

/// The graph of jobs and their dependencies.
#[derive(Default)]
pub(super) struct DependencyGraph {
    /// The dependents of each job that is not known to have finished.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Dependencies of which neither the specification nor the final state is known.
    unknown: BTreeSet<JobId>,
    /// Whether a read of final states is in progress.
    is_reading_final_states: bool,
    next_read_at: Time,
}

impl DependencyGraph {
    /// Whether other jobs wait for this one.
    pub(super) fn has_dependents(&self, job: &JobId) -> bool {
        self.dependents.contains_key(job)
    }

    /// Whether the state of any of a job's dependencies is unknown.
    pub(super) fn has_unknown_dependency(&self, job: &Job) -> bool {
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

    /// Removes a job whose final state is known, and returns its dependents.
    fn take_dependents(&mut self, job: &JobId) -> BTreeSet<JobId> {
        self.dependents.remove(job).unwrap_or_default()
    }

    /// The jobs that wait for this one.
    pub(super) fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The jobs whose final states should be read now.
    fn final_states_to_read(&mut self, now: Time) -> Vec<JobId> {
        if self.is_reading_final_states || now < self.next_read_at {
            return Vec::new();
        }
        let dependents = &self.dependents;
        self.unknown.retain(|id| dependents.contains_key(id));
        let ids: Vec<JobId> = self
            .unknown
            .iter()
            .take(MAX_FINAL_STATE_READS)
            .cloned()
            .collect();
        self.is_reading_final_states = !ids.is_empty();
        ids
    }
}

impl ClusterState {
    /// Registers the dependencies and the dependents of a new job.
    pub(super) fn register_dependencies(&mut self, id: &JobId, now: Time) {
        self.dependencies.unknown.remove(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.cancelled {
            return self.dependency_finished(id, JobState::Cancelled, now);
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
        self.add_urgency(id);
    }

    /// Clears the dependencies of jobs with recorded placements or completed tasks: those prove that
    /// the dependencies were done.
    pub(super) fn clear_met_dependencies(&mut self) {
        let jobs = self.jobs.values();
        let started = jobs.filter(|job| job.allocated() > 0 || job.completed() > 0);
        let started: Vec<JobId> = started.map(|job| job.id.clone()).collect();
        for id in started {
            self.clear_dependencies(&id);
        }
    }

    /// Removes all dependencies of a job.
    pub(super) fn clear_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for dependency in std::mem::take(&mut job.unmet_dependencies) {
            self.dependencies.remove(&dependency, id);
            self.queue_urgency_update(&dependency);
        }
    }

    /// Handles a final state that has been on record since `since` at the latest: the dependents become
    /// eligible, or are cancelled too.
    pub(super) fn dependency_finished(&mut self, id: &JobId, state: JobState, since: Time) {
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
                debug!(job = %dependent, "dependencies of the job are met");
                self.needs_scheduling = true;
            }
        }
    }

    /// Cancels a job and all its dependents, because a dependency was cancelled. None of them ever
    /// starts.
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
            info!(job = %id, "job cancelled because a dependency was cancelled");
            // The job has no allocations unless an earlier step went wrong.
            self.stop_job(&id, 0.0, now);
            self.clear_dependencies(&id);
            self.mark_finished(&id);
            cancelled.extend(self.dependencies.take_dependents(&id));
        }
    }

    /// Requests the final states of dependencies that are unknown.
    pub(crate) fn request_unknown_final_states(&mut self, now: Time) {
        if !self.leadership.is_leader(now) {
            return;
        }
        let ids = self.dependencies.final_states_to_read(now);
        if !ids.is_empty() {
            self.effects.push(Effect::ReadFinalStates(ids));
        }
    }

    /// Applies the final states that were read; `None` for a job whose final state is not on record or
    /// could not be read.
    pub(crate) fn final_states_read(
        &mut self,
        final_states: Vec<(JobId, Option<FinalStateRecord>)>,
        now: Time,
    ) {
        self.dependencies.is_reading_final_states = false;
        for (id, record) in final_states {
            match record {
                Some(record) => {
                    let since = record
                        .at_ms
                        .map_or(now, |ms| self.clock.time_of(ms).min(now));
                    self.dependency_finished(&id, record.state, since);
                }
                None => self.dependencies.next_read_at = now + FINAL_STATE_RETRY_S,
            }
        }
    }

    /// Handles a job's final state that some controller has read from its record.
    pub(crate) fn final_state_recorded(&mut self, id: &str, state: JobState, now: Time) {
        match state {
            JobState::Cancelled if self.jobs.contains_key(id) => self.cancel(id, now),
            _ => self.dependency_finished(&id.into(), state, now),
        }
    }
}
