//! Jobs, from acceptance until their final state is recorded and no machine has a task of theirs.

use super::task_allocations::TaskAllocations;
use super::{
    AllocationRef, CompletionRecord, Deadline, JobId, MachineName, Resources, RunTime, TaskProfile,
};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Service level that users check at the end of a day: the largest jobs of a class start within this time.
const MAX_START_DELAY_S: f64 = 240.0;

/// The share of `MAX_START_DELAY_S` after which a job that has not started is placed before others.
const OVERDUE_SHARE: f64 = 0.5;

/// Service level that users check: no job waits for this long while a machine that it may use has the
/// free resources.
pub(crate) const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;

/// The share of `MAX_WAIT_WITH_CAPACITY_S` for which a job without a completed task runs one task at a
/// time after the pause that follows failures: its specification may be wrong.
const TRIAL_SHARE: f64 = 0.2;

/// An open job, or a finished job of which a machine may still have a task.
pub struct Job {
    /// The specification that the user submitted.
    pub spec: Arc<JobSpec>,
    /// The job's id.
    pub id: JobId,
    /// The version of the job's record when the job was accepted. It gives the order of arrival, which is
    /// the same for every leader.
    pub arrival_order: u64,
    /// When the job was accepted.
    pub arrived_at: Time,
    /// Dependencies whose final state is not known yet; the job starts only when all of them are done.
    pub unmet_dependencies: BTreeSet<JobId>,
    /// Since when no dependency has been unmet.
    pub ready_at: Time,
    /// Whether a dependency is cancelled: this job is then recorded as cancelled too.
    pub dependency_cancelled: bool,
    /// The highest priority of the job and its dependents.
    pub priority: Priority,
    /// The most urgent deadline of the job and its dependents.
    pub deadline: Option<Deadline>,
    /// The job's completion records by the index of their shard; a shard without a completed task has none.
    pub completion_records: BTreeMap<usize, CompletionRecord>,
    /// Numbers of completion records that other versions wrote with a different number of shards; they are
    /// deleted when the job is finished.
    pub foreign_shards: Vec<usize>,
    /// Whether the user has cancelled the job; its allocations are being released.
    pub cancelled: bool,
    /// Whether a write of the job's final state is in flight.
    pub final_state_in_flight: bool,
    /// Whether the job's final state is recorded; a machine may still have one of its tasks.
    pub final_state_recorded: bool,
    /// An estimate of the memory that the job takes on a leader, in bytes.
    pub memory_bytes: u64,
    /// The predicted run time of a task, in seconds.
    pub predicted_s: f64,
    /// Machines on which tasks of the job have failed since a task last completed, with the time.
    pub failed_on: BTreeMap<MachineName, Time>,
    /// No task is placed before this time, after failures.
    pub retry_at: Time,
    /// Consecutive failures, each of which made the job pause.
    pub consecutive_failures: u32,
    tasks: TaskAllocations,
    completed: u32,
    allocated: u32,
    running: u32,
    first_started_at: Option<Time>,
    last_released_at: Option<Time>,
}

impl Job {
    /// A newly accepted job without allocations.
    pub fn new(spec: Arc<JobSpec>, arrival_order: u64, arrived_at: Time, predicted_s: f64) -> Job {
        Job {
            id: spec.id.as_str().into(),
            arrival_order,
            arrived_at,
            unmet_dependencies: BTreeSet::new(),
            ready_at: arrived_at,
            dependency_cancelled: false,
            priority: spec.priority,
            deadline: None,
            tasks: TaskAllocations::new(spec.tasks),
            completed: 0,
            allocated: 0,
            running: 0,
            completion_records: BTreeMap::new(),
            foreign_shards: Vec::new(),
            cancelled: false,
            final_state_in_flight: false,
            final_state_recorded: false,
            memory_bytes: 0,
            predicted_s,
            failed_on: BTreeMap::new(),
            retry_at: 0.0,
            consecutive_failures: 0,
            first_started_at: None,
            last_released_at: None,
            spec,
        }
    }

    /// The request of each task of the job.
    pub fn request(&self) -> Resources {
        Resources::of(&self.spec)
    }

    /// The profile for an allocation of one of the job's tasks.
    pub fn profile(&self) -> TaskProfile {
        let run_time = RunTime {
            predicted_s: self.predicted_s,
            estimate_s: self.spec.estimate_s,
        };
        TaskProfile {
            request: self.request(),
            priority: self.priority,
            run_time: (!self.is_service()).then_some(run_time),
            is_preemptible: self.spec.kind == JobKind::Array && self.spec.checkpoint_s <= 0.0,
        }
    }

    /// The number of the job's tasks.
    pub fn task_count(&self) -> u32 {
        self.tasks.len()
    }

    /// Whether the job has a task with this number.
    pub fn has_task(&self, task: u32) -> bool {
        self.tasks.contains(task)
    }

    /// Whether a task has completed.
    pub fn is_done(&self, task: u32) -> bool {
        self.tasks.is_done(task)
    }

    /// Whether a task may be placed: it has not completed and has no allocation.
    pub fn is_unplaced(&self, task: u32) -> bool {
        self.tasks.is_unplaced(task)
    }

    /// The allocations on which a task runs or may run.
    pub fn allocations_of(&self, task: u32) -> &[AllocationRef] {
        self.tasks.of(task)
    }

    /// All allocations of the job, each with the number of its task.
    pub fn allocations(&self) -> impl Iterator<Item = (u32, &AllocationRef)> {
        self.tasks.iter()
    }

    /// How many tasks of the job have completed.
    pub fn completed(&self) -> u32 {
        self.completed
    }

    /// How many allocations the job has.
    pub fn allocated(&self) -> u32 {
        self.allocated
    }

    /// How many tasks of the job are known to be running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// When the first task of the job started to run, as far as this leader knows.
    pub fn first_started_at(&self) -> Option<Time> {
        self.first_started_at
    }

    /// Adds an allocation of a task; returns whether the task exists.
    pub fn add_allocation(&mut self, task: u32, allocation: AllocationRef) -> bool {
        let exists = self.tasks.add(task, allocation);
        self.allocated += u32::from(exists);
        exists
    }

    /// Releases an allocation of a task; `has_run` is whether the task was counted as running. Returns the
    /// allocation if it existed.
    pub fn release_allocation(
        &mut self,
        task: u32,
        machine: &MachineName,
        attempt: u64,
        has_run: bool,
        now: Time,
    ) -> Option<AllocationRef> {
        let released = self.tasks.remove(task, machine, attempt)?;
        self.allocated -= 1;
        self.last_released_at = Some(now);
        self.running -= u32::from(has_run);
        Some(released)
    }

    /// Updates the number of the placement record that contains an allocation.
    pub fn move_allocation(
        &mut self,
        task: u32,
        machine: &MachineName,
        attempt: u64,
        placement_record: usize,
    ) {
        let matches = |a: &&mut AllocationRef| a.machine == *machine && a.attempt == attempt;
        let allocation = self.tasks.of_mut(task).iter_mut().find(matches);
        if let Some(allocation) = allocation {
            allocation.placement_record = placement_record;
        }
    }

    /// Counts a task as running.
    pub fn task_started(&mut self, now: Time) {
        self.running += 1;
        self.first_started_at.get_or_insert(now);
    }

    /// Marks a task as completed; returns whether the task was not completed before.
    pub fn complete_task(&mut self, number: u32) -> bool {
        let is_new = self.tasks.complete(number);
        self.completed += u32::from(is_new);
        is_new
    }

    /// Whether no task of the job has started for so long that the job is placed before others, regardless
    /// of the queue order.
    pub fn is_overdue(&self, now: Time) -> bool {
        let waits = self.first_started_at.is_none() && self.allocated == 0 && self.completed == 0;
        waits && now - self.ready_at > MAX_START_DELAY_S * OVERDUE_SHARE
    }

    /// Whether the job has had unplaced tasks and no allocation for the time after which a job is overdue.
    /// Machines are rented for such a job, but it is not placed before others: under overload most jobs
    /// would be.
    pub fn lacks_machines(&self, now: Time) -> bool {
        let since = self.last_released_at.unwrap_or(self.ready_at);
        let waited_s = now - since.max(self.ready_at);
        self.allocated == 0
            && self.unplaced_count() > 0
            && waited_s > MAX_START_DELAY_S * OVERDUE_SHARE
    }

    /// Whether the job runs one task at a time, to find out whether it fails again.
    pub fn is_on_trial(&self, now: Time) -> bool {
        let failed = self.consecutive_failures > 0 && self.completed == 0;
        failed && now < self.retry_at + TRIAL_SHARE * MAX_WAIT_WITH_CAPACITY_S
    }

    /// The remaining work by the predicted run time, in CPU seconds. Allocated tasks are assumed to be
    /// half done on average.
    pub fn work_left(&self) -> f64 {
        let tasks = f64::from(self.unplaced_count()) + f64::from(self.allocated) / 2.0;
        tasks * self.predicted_s * self.spec.cpus
    }

    /// Whether only the recording of the job's final state is left to do.
    pub fn needs_final_state(&self) -> bool {
        if self.final_state_recorded {
            return false;
        }
        if self.cancelled || self.dependency_cancelled {
            return self.allocated == 0;
        }
        !self.is_service() && self.completed == self.tasks.len()
    }

    /// Whether the job or one of its dependencies is cancelled.
    pub fn will_be_cancelled(&self) -> bool {
        self.cancelled || self.dependency_cancelled
    }

    /// Whether the job's tasks may be placed: it is not cancelled and all dependencies are done.
    pub fn is_eligible(&self) -> bool {
        !self.will_be_cancelled() && self.unmet_dependencies.is_empty()
    }

    /// Whether the job has tasks that may be placed now.
    pub fn is_waiting(&self, now: Time) -> bool {
        self.is_eligible() && now >= self.retry_at && self.unplaced_count() > 0
    }

    /// Whether the job is a service, which runs until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether the job is a gang, whose tasks start and stop together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether the job is an array, whose tasks are independent.
    pub fn is_array(&self) -> bool {
        self.spec.kind == JobKind::Array
    }

    /// How many tasks of the job may be in one zone.
    pub fn max_per_zone(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }

    /// The numbers of the job's unplaced tasks, in order.
    pub fn unplaced(&self) -> impl Iterator<Item = u32> + '_ {
        self.tasks.unplaced()
    }

    /// How many tasks of the job have neither completed nor an allocation.
    pub fn unplaced_count(&self) -> u32 {
        (self.tasks.len())
            .saturating_sub(self.completed)
            .saturating_sub(self.allocated)
    }
}
