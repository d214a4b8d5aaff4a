//! Jobs: acceptance, status for users, cancellation and completion.

use super::finished_jobs::FinishedJob;
use super::{ClusterState, Effect};
use crate::coordination::state::{leader_memory_bytes, AllocationId, Job, JobId};
use crate::coordination::Time;
use crate::protocol::job::{JobSpec, JobState, JobStatus};
use crate::storage::records::OpenRecord;
use std::sync::Arc;
use tracing::{debug, info};

/// The key under which run times are learned together: jobs of one team and class.
pub(super) fn owner(spec: &JobSpec) -> String {
    format!("{}/{}", spec.team, spec.class)
}

impl ClusterState {
    /// Adds a job, or applies its cancellation, from this version of its record.
    pub(crate) fn job_accepted(
        &mut self,
        record: OpenRecord,
        version: u64,
        wall_ms: u64,
        now: Time,
    ) {
        let age_s = wall_ms.saturating_sub(record.at_ms) as f64 / 1000.0;
        let id: JobId = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.arrival_order = job.arrival_order.min(version);
            if record.cancelled && !job.cancelled {
                self.cancel(&id, now);
            }
            return;
        }
        self.add_job(record, version, now - age_s, now);
    }

    fn add_job(&mut self, record: OpenRecord, version: u64, arrived_at: Time, now: Time) {
        let cancelled = record.cancelled;
        let memory_bytes = leader_memory_bytes(&record.spec, record.bytes());
        let spec = Arc::new(record.spec);
        if !cancelled {
            self.service_arrivals.arrived(&spec, arrived_at);
        }
        let mut job = Job::new(spec.clone(), version, arrived_at, f64::INFINITY);
        job.cancelled = cancelled;
        job.memory_bytes = memory_bytes;
        self.open_job_bytes += memory_bytes;
        if !job.is_service() {
            let owner = owner(&spec);
            job.predicted_s = self.predictor.predict(&owner, spec.estimate_s, spec.cpus);
        }
        let id = job.id.clone();
        debug!(job = %id, class = %spec.class, tasks = spec.tasks, "job added");
        self.jobs.insert(id.clone(), job);
        if cancelled {
            self.mark_finished(&id);
        }
        self.register_dependencies(&id, now);
        self.needs_scheduling = true;
    }

    /// Queues a finished job, so that its final state is recorded.
    pub(super) fn mark_finished(&mut self, id: &JobId) {
        let job = self.jobs.get(id);
        let dependency_cancelled = job.is_some_and(|job| job.dependency_cancelled);
        self.finished_jobs.insert(FinishedJob {
            job: id.clone(),
            is_urgent: self.dependencies.has_dependents(id) || dependency_cancelled,
        });
    }

    /// Cancels a job on its user's request.
    pub(crate) fn cancel(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled) else {
            return;
        };
        job.cancelled = true;
        let (id, spec) = (job.id.clone(), job.spec.clone());
        info!(job = %id, allocations = job.allocated(), "job cancelled by its user");
        self.stop_job(&id, 0.0, now);
        self.clear_dependencies(&id);
        self.dependency_finished(&id, JobState::Cancelled, now);
        self.mark_finished(&id);
        self.service_arrivals.departed(&spec, now);
        self.effects.push(Effect::JobFinished {
            id,
            state: JobState::Cancelled,
        });
    }

    /// The status of a job for users; `None` for a job that is not open, or that may have to be
    /// cancelled with a dependency: it must not be called pending for long after that dependency was
    /// cancelled.
    pub(crate) fn status(&self, id: &str) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        let may_be_cancelled =
            job.dependency_cancelled || self.dependencies.has_unknown_dependency(job);
        if !job.cancelled && may_be_cancelled {
            return None;
        }
        let state = if job.cancelled {
            JobState::Cancelled
        } else if job.running() + job.completed() == 0 {
            JobState::Pending
        } else {
            JobState::Running
        };
        Some(JobStatus {
            id: id.to_string(),
            state,
            done: job.completed(),
            running: job.running(),
        })
    }

    /// Marks a task as completed. The tasks of a gang complete together.
    pub(super) fn complete_task(&mut self, id: &JobId, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_gang = job.is_gang();
        let tasks = if is_gang {
            0..job.task_count()
        } else {
            task..task + 1
        };
        let completed: Vec<u32> = tasks.filter(|task| job.complete_task(*task)).collect();
        job.consecutive_failures = 0;
        // Other allocations of a completed task are no longer needed.
        let others = if is_gang {
            Vec::new()
        } else {
            job.allocations_of(task).to_vec()
        };
        let needs_final_state = job.needs_final_state();
        self.attribute_failures(id);
        if needs_final_state {
            self.mark_finished(id);
        }
        for task in completed {
            self.mark_completion_outdated(id, task, now);
        }
        for other in others {
            let allocation = AllocationId::new(id.clone(), task, other.attempt);
            self.stop(&other.machine, &allocation, 0.0, now);
        }
    }
}
