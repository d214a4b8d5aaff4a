//! Jobs: their descriptions, their state as users are told it, and their completed tasks.

use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{AllocationId, AllocationRef, Job, Name};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobState, JobStatus};
use crate::storage::records::OpenRecord;
use std::sync::Arc;
use tracing::{debug, info};

impl ClusterState {
    pub(crate) fn owner(job: &Job) -> String {
        format!("{}/{}", job.spec.team, job.spec.class)
    }

    /// A job's description, as recorded; `cancelled` when its user has taken it back.
    pub fn job_open(&mut self, record: OpenRecord, arrival_order: u64, now: Time, arrived: Time) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.arrival_order = job.arrival_order.min(arrival_order);
            if record.cancelled && !job.cancelled {
                self.cancel(&id, now);
            }
            return;
        }
        let tasks = record.spec.tasks as usize;
        let completion_records = tasks.div_ceil(self.cut.tasks_per_shard);
        let spec = Arc::new(record.spec);
        if !record.cancelled {
            self.fleet.arrived(&spec, arrived);
        }
        let mut job = Job::new(
            spec,
            arrival_order,
            arrived,
            completion_records,
            f64::INFINITY,
        );
        job.cancelled = record.cancelled;
        if !job.is_service() {
            let spec = &job.spec;
            job.predicted_s =
                self.predictor
                    .predict(&Self::owner(&job), spec.estimate_s, spec.cpus);
        }
        debug!("{id}: known, class {}, {tasks} tasks", job.spec.class);
        let cancelled = job.cancelled;
        self.jobs.insert(id.clone(), job);
        if cancelled {
            self.mark_over(&id);
        }
        self.enlist(&id, now);
        self.stirred = true;
    }

    /// Nothing is left of the job but the record of its end.
    pub(crate) fn mark_over(&mut self, id: &Name) {
        let first = self.is_needed(id) || self.jobs.get(id).is_some_and(|j| j.doomed);
        self.over.insert((!first, id.clone()));
    }

    pub fn cancel(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        let (id, spec) = (job.id.clone(), job.spec.clone());
        info!("{id}: cancelled, {} places to clear", job.live);
        self.stop_all(&id, 0.0, now);
        self.leave(&id);
        self.resolve(&id, JobState::Cancelled, now);
        self.mark_over(&id);
        self.fleet.left(&spec, now);
        self.effects.push(Effect::JobEnded {
            id,
            state: JobState::Cancelled,
        });
    }

    /// Stops whatever is or may be of a job on any machine.
    pub(crate) fn stop_all(&mut self, id: &Name, grace_s: f64, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let places = job.tasks.iter().enumerate().flat_map(|(i, task)| {
            let at = task.at.iter();
            at.map(move |a| (a.machine.clone(), (id.clone(), i as u32, a.attempt)))
        });
        let places: Vec<(Name, AllocationId)> = places.collect();
        for (machine, key) in places {
            self.stop(&machine, &key, grace_s, now);
        }
    }

    /// What a user is told; `None` for a job that is not open here, or that may have to end with one
    /// that it needs: nobody may call it pending for long after that one was cancelled.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        if !job.cancelled && (job.doomed || self.needs_unknown_job(job)) {
            return None;
        }
        let running = job.running;
        let state = match (job.cancelled, running + job.done) {
            (true, _) => JobState::Cancelled,
            (false, 0) => JobState::Pending,
            (false, _) => JobState::Running,
        };
        Some(JobStatus {
            id: id.to_string(),
            state,
            done: job.done,
            running,
        })
    }

    pub(crate) fn task_done(&mut self, id: &Name, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_gang = job.spec.kind == JobKind::Gang;
        // The tasks of a gang complete together.
        let tasks = match is_gang {
            true => 0..job.tasks.len() as u32,
            false => task..task + 1,
        };
        let mut touched = Vec::new();
        for t in tasks {
            let Some(slot) = job.tasks.get_mut(t as usize) else {
                continue;
            };
            if !slot.done {
                slot.done = true;
                job.done += 1;
                touched.push(t);
            }
        }
        job.setbacks = 0;
        // Another place of a task that is done is of no use.
        let rest: Vec<AllocationRef> = if is_gang {
            Vec::new()
        } else {
            job.tasks
                .get(task as usize)
                .map_or(Vec::new(), |t| t.at.clone())
        };
        let over = job.is_over();
        self.proves_faults(id);
        if over {
            self.mark_over(id);
        }
        for t in touched {
            self.touch(id, t, now);
        }
        for at in rest {
            self.stop(&at.machine, &(id.clone(), task, at.attempt), 0.0, now);
        }
    }

    pub(crate) fn recover_done(&mut self, id: &Name, task: u32) {
        if let Some(job) = self.jobs.get_mut(id) {
            if let Some(slot) = job.tasks.get_mut(task as usize).filter(|t| !t.done) {
                slot.done = true;
                job.done += 1;
            }
        }
    }
}
