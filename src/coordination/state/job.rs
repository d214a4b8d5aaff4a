//! Jobs, from their acceptance to their end.

use super::{
    AllocationRef, CompletionRecord, Deadline, JobId, MachineName, Resources, RunTime, Task,
    TaskProfile,
};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The users' check at the end of a day: a class's largest jobs begin within this time.
const BEGINS_WITHIN_S: f64 = 240.0;

/// The share of that time after which a job that has not begun goes before others.
const OVERDUE_SHARE: f64 = 0.5;

/// The users' check: no job waits for this long while a machine that fits has room.
pub(crate) const MAX_WAIT_WITH_ROOM_S: f64 = 90.0;

/// The share of that time for which a job that has failed wherever it ran, and completed nothing, runs
/// one task at a time after a pause: it may have been submitted with a mistake.
const TRIAL_SHARE: f64 = 0.2;

/// An open job, or one that has ended and of which a machine may still hold a task.
pub struct Job {
    /// The description as its user submitted it.
    pub spec: Arc<JobSpec>,
    /// Its id.
    pub id: JobId,
    /// The version of its record when it was accepted: the order of arrival, equal for every leader.
    pub arrival_order: u64,
    /// When it was accepted.
    pub arrived_at: Time,
    /// Jobs that must be done before it begins, and whose end is not known yet.
    pub unmet_dependencies: BTreeSet<JobId>,
    /// Since when it depends on no other job's end.
    pub ready_at: Time,
    /// Whether a job that it depends on is cancelled: so is it, once that is recorded.
    pub dependency_cancelled: bool,
    /// The highest priority of it and of the jobs that depend on it.
    pub priority: Priority,
    /// The most urgent deadline of it and of the jobs that depend on it.
    pub deadline: Option<Deadline>,
    /// Its records of completed tasks, one for each shard.
    pub completion_records: Vec<CompletionRecord>,
    /// Numbers of completion records in other shardings, which other versions wrote; they are removed
    /// when it ends.
    pub foreign_shards: Vec<usize>,
    /// Whether its user has cancelled it; its allocations are being released.
    pub cancelled: bool,
    /// Whether a write of its end is in flight.
    pub end_in_flight: bool,
    /// Whether its end is recorded; a machine may still hold one of its tasks.
    pub end_recorded: bool,
    /// The predicted run time of a task, in seconds.
    pub predicted_s: f64,
    /// Machines on which its tasks have failed since one last completed, and when.
    pub failed_on: BTreeMap<MachineName, Time>,
    /// Until when it pauses after failures.
    pub retry_at: Time,
    /// Failures in a row that made it pause.
    pub consecutive_failures: u32,
    tasks: Vec<Task>,
    completed: u32,
    allocated: u32,
    running: u32,
    /// No task before this one is unplaced.
    first_unplaced: usize,
    first_started_at: Option<Time>,
    last_released_at: Option<Time>,
}

impl Job {
    /// A job without allocations, as it arrives.
    pub fn new(
        spec: Arc<JobSpec>,
        arrival_order: u64,
        arrived_at: Time,
        completion_records: usize,
        predicted_s: f64,
    ) -> Job {
        Job {
            id: spec.id.as_str().into(),
            arrival_order,
            arrived_at,
            unmet_dependencies: BTreeSet::new(),
            ready_at: arrived_at,
            dependency_cancelled: false,
            priority: spec.priority,
            deadline: None,
            tasks: vec![Task::default(); spec.tasks as usize],
            completed: 0,
            allocated: 0,
            running: 0,
            completion_records: vec![CompletionRecord::default(); completion_records],
            foreign_shards: Vec::new(),
            cancelled: false,
            end_in_flight: false,
            end_recorded: false,
            predicted_s,
            failed_on: BTreeMap::new(),
            retry_at: 0.0,
            consecutive_failures: 0,
            first_unplaced: 0,
            first_started_at: None,
            last_released_at: None,
            spec,
        }
    }

    /// What one of its tasks requests.
    pub fn request(&self) -> Resources {
        Resources::of(&self.spec)
    }

    /// What an allocation of one of its tasks needs to know of it.
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

    /// Its tasks, in the order of their numbers.
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// One of its tasks.
    pub fn task(&self, number: u32) -> Option<&Task> {
        self.tasks.get(number as usize)
    }

    /// How many of its tasks have completed.
    pub fn completed(&self) -> u32 {
        self.completed
    }

    /// How many allocations it has.
    pub fn allocated(&self) -> u32 {
        self.allocated
    }

    /// How many of its tasks are known to run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// When its first task started to run, as far as this leader knows.
    pub fn first_started_at(&self) -> Option<Time> {
        self.first_started_at
    }

    /// Adds an allocation of a task; returns whether there is such a task.
    pub fn add_allocation(&mut self, task: u32, allocation: AllocationRef) -> bool {
        let Some(task) = self.tasks.get_mut(task as usize) else {
            return false;
        };
        task.allocations.push(allocation);
        self.allocated += 1;
        true
    }

    /// Releases an allocation of a task, which `has_run` or not; returns it if there was one.
    pub fn release_allocation(
        &mut self,
        task: u32,
        machine: &MachineName,
        attempt: u64,
        has_run: bool,
        now: Time,
    ) -> Option<AllocationRef> {
        let allocations = &mut self.tasks.get_mut(task as usize)?.allocations;
        let held = |a: &AllocationRef| a.machine == *machine && a.attempt == attempt;
        let position = allocations.iter().position(held)?;
        let released = allocations.swap_remove(position);
        self.allocated -= 1;
        self.last_released_at = Some(now);
        self.running -= u32::from(has_run);
        self.first_unplaced = self.first_unplaced.min(task as usize);
        Some(released)
    }

    /// Notes that another placement record holds an allocation now.
    pub fn move_allocation(
        &mut self,
        task: u32,
        machine: &MachineName,
        attempt: u64,
        placement_record: usize,
    ) {
        let held = |a: &&mut AllocationRef| a.machine == *machine && a.attempt == attempt;
        let task = self.tasks.get_mut(task as usize);
        let allocation = task.and_then(|t| t.allocations.iter_mut().find(held));
        if let Some(allocation) = allocation {
            allocation.placement_record = placement_record;
        }
    }

    /// Counts a task that has started to run.
    pub fn task_started(&mut self, now: Time) {
        self.running += 1;
        self.first_started_at.get_or_insert(now);
    }

    /// Counts a task as completed; returns whether it was not before.
    pub fn complete_task(&mut self, number: u32) -> bool {
        let task = self.tasks.get_mut(number as usize);
        let Some(task) = task.filter(|task| !task.done) else {
            return false;
        };
        task.done = true;
        self.completed += 1;
        true
    }

    /// Whether nothing of it has begun for so long that it goes before others, whatever it yields to.
    pub fn is_overdue(&self, now: Time) -> bool {
        let waits = self.first_started_at.is_none() && self.allocated == 0 && self.completed == 0;
        waits && now - self.ready_at > BEGINS_WITHIN_S * OVERDUE_SHARE
    }

    /// Whether nothing of it has been on any machine for as long. It gets machines of its own then, but
    /// goes before no others: under overload most jobs would.
    pub fn lacks_machines(&self, now: Time) -> bool {
        let since = self.last_released_at.unwrap_or(self.ready_at);
        let waited_s = now - since.max(self.ready_at);
        self.allocated == 0
            && self.unplaced_count() > 0
            && waited_s > BEGINS_WITHIN_S * OVERDUE_SHARE
    }

    /// Whether it runs one task at a time, to show whether it fails again.
    pub fn is_on_trial(&self, now: Time) -> bool {
        let failed = self.consecutive_failures > 0 && self.completed == 0;
        failed && now < self.retry_at + TRIAL_SHARE * MAX_WAIT_WITH_ROOM_S
    }

    /// The processor seconds that are left, by its prediction; what runs is half done on average.
    pub fn work_left(&self) -> f64 {
        let tasks = f64::from(self.unplaced_count()) + f64::from(self.allocated) / 2.0;
        tasks * self.predicted_s * self.spec.cpus
    }

    /// Whether nothing is left of it but to record its end.
    pub fn is_finished(&self) -> bool {
        if self.end_recorded {
            return false;
        }
        if self.cancelled || self.dependency_cancelled {
            return self.allocated == 0;
        }
        !self.is_service() && self.completed as usize == self.tasks.len()
    }

    /// Whether it, or a job that it depends on, is cancelled.
    pub fn will_be_cancelled(&self) -> bool {
        self.cancelled || self.dependency_cancelled
    }

    /// Whether its tasks may be placed, as far as other jobs are concerned.
    pub fn is_eligible(&self) -> bool {
        !self.will_be_cancelled() && self.unmet_dependencies.is_empty()
    }

    /// Whether any of its tasks is to be placed now.
    pub fn is_waiting(&self, now: Time) -> bool {
        self.is_eligible() && now >= self.retry_at && self.unplaced_count() > 0
    }

    /// Whether it is a service, which runs until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether its tasks start and end together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// How many of its tasks may be in one zone.
    pub fn max_per_zone(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }

    /// The numbers of its unplaced tasks, in order.
    pub fn unplaced(&self) -> impl Iterator<Item = u32> + '_ {
        let candidates = self.tasks[self.first_unplaced..].iter().enumerate();
        candidates
            .filter(|(_, task)| task.is_unplaced())
            .map(|(i, _)| (self.first_unplaced + i) as u32)
    }

    /// How many of its tasks have neither completed nor any allocation.
    pub fn unplaced_count(&self) -> u32 {
        (self.tasks.len() as u32)
            .saturating_sub(self.completed)
            .saturating_sub(self.allocated)
    }
}
