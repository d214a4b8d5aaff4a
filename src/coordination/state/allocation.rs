//! Allocations: one attempt of a task on one machine.

use super::{JobId, Resources};
use crate::coordination::prediction::corrected;
use crate::coordination::Time;
use crate::protocol::ids::{FencingToken, HeartbeatSequence};
use crate::protocol::job::Priority;
use crate::protocol::worker::{Cause, TaskState};
use std::fmt;

/// Identifies an allocation on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllocationId {
    /// The job.
    pub job: JobId,
    /// The number of the task in the job.
    pub task: u32,
    /// The attempt; all tasks of a gang that start together share theirs.
    pub attempt: u64,
}

impl AllocationId {
    /// The allocation of one attempt of a task.
    pub fn new(job: JobId, task: u32, attempt: u64) -> AllocationId {
        AllocationId { job, task, attempt }
    }

    /// The task's name as workers know it, such as `req-000412/3`.
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.job, self.task)
    }
}

impl fmt::Display for AllocationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}

/// How far an allocation has come, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationState {
    /// Decided, and not yet recorded: no launch has been sent.
    Pending,
    /// Recorded: a launch may have been sent, and no heartbeat has shown the task yet.
    Launching,
    /// A heartbeat has shown the task in this state.
    Observed(TaskState),
    /// The task has ended; the worker still remembers it.
    Exited(Cause),
}

/// A stop that was sent for an allocation, or is to be.
#[derive(Clone, Copy, Debug)]
pub struct PendingStop {
    /// Seconds that the task has to write its checkpoint.
    pub grace_s: f64,
    /// Whether a stop was sent.
    pub sent: bool,
}

/// The predicted and the estimated run time of a batch task, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// What the predictor expects.
    pub predicted_s: f64,
    /// What the job's owner estimated: an upper bound.
    pub estimate_s: f64,
}

/// What scheduling asks of an allocation, so that it need not look up the job.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// What the task takes of the machine.
    pub request: Resources,
    /// The job's effective priority when the task was placed.
    pub priority: Priority,
    /// Its run time; none for a service, whose resources never come free by themselves.
    pub run_time: Option<RunTime>,
    /// Whether it may be preempted, which frees its resources at once.
    pub is_preemptible: bool,
}

impl TaskProfile {
    /// Whether the task is a replica of a service.
    pub fn is_service(&self) -> bool {
        self.run_time.is_none()
    }
}

/// A task that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// How far it has come.
    pub state: AllocationState,
    /// When it was decided, or restored from the records.
    pub planned_at: Time,
    /// Since when a heartbeat has shown the task running.
    pub running_since: Option<Time>,
    /// Whether an earlier leader may have launched it.
    pub is_recovered: bool,
    /// The fencing token under which a launch was sent directly to the worker: a copy of it may
    /// still arrive until the worker has seen a higher token.
    pub direct_launch_token: Option<FencingToken>,
    /// The sequence number of the heartbeat whose response last carried the launch.
    pub launch_response_sequence: Option<HeartbeatSequence>,
    /// The stop that was or is to be sent.
    pub pending_stop: Option<PendingStop>,
    /// A heartbeat showed it once and shows it no longer, but a launch may still arrive.
    pub is_missing: bool,
    /// What scheduling needs to know of the task.
    pub profile: TaskProfile,
}

impl Allocation {
    /// An allocation as it is decided or restored.
    pub fn new(state: AllocationState, profile: TaskProfile, now: Time) -> Allocation {
        Allocation {
            state,
            planned_at: now,
            running_since: None,
            is_recovered: false,
            direct_launch_token: None,
            launch_response_sequence: None,
            pending_stop: None,
            is_missing: false,
            profile,
        }
    }

    /// Whether its task may be on the machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.state, AllocationState::Exited(_))
    }

    /// Whether its task is known to have run.
    pub fn has_run(&self) -> bool {
        self.running_since.is_some()
    }

    /// Whether a launch was sent, by whichever way.
    pub fn launch_was_sent(&self) -> bool {
        self.direct_launch_token.is_some() || self.launch_response_sequence.is_some()
    }

    /// Whether no launch that was sent can still reach the worker, given the token that it has
    /// acknowledged and the sequence number of its newest own heartbeat: until it sends another, it
    /// may yet receive the response to that one.
    pub fn launches_are_over(
        &self,
        acknowledged_token: FencingToken,
        reported_sequence: HeartbeatSequence,
    ) -> bool {
        self.direct_launch_token
            .is_none_or(|token| acknowledged_token > token)
            && self
                .launch_response_sequence
                .is_none_or(|sequence| reported_sequence > sequence)
    }

    /// When its resources are predicted to come free; never, for a service.
    pub fn predicted_end(&self, now: Time) -> Time {
        let Some(run_time) = self.profile.run_time else {
            return f64::INFINITY;
        };
        let start = self.running_since.unwrap_or(now);
        let run_s = corrected(run_time.predicted_s, now - start, run_time.estimate_s);
        (start + run_s).max(now)
    }

    /// Whether its resources are free as soon as a command sent now is carried out.
    pub fn frees_at_once(&self) -> bool {
        self.pending_stop.is_some_and(|stop| stop.grace_s <= 0.0)
            && matches!(self.state, AllocationState::Observed(_))
    }
}
