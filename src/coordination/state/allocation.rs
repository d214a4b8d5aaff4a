//! Allocations: attempts of tasks on machines.

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
    /// The job that the task belongs to.
    pub job: JobId,
    /// The number of the task in the job.
    pub task: u32,
    /// The attempt; all tasks of a gang that start together have the same attempt number.
    pub attempt: u64,
}

impl AllocationId {
    /// The id of one attempt of a task.
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

/// The last known state of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationState {
    /// Decided but not yet recorded: no launch has been sent.
    Pending,
    /// Recorded: a launch may have been sent, but no heartbeat has listed the task yet.
    Launching,
    /// A heartbeat has listed the task in this state.
    Observed(TaskState),
    /// The task has exited; the worker still lists it.
    Exited(Cause),
}

/// A stop command for an allocation, sent or still to be sent.
#[derive(Clone, Copy, Debug)]
pub struct PendingStop {
    /// The time that the task gets to write its checkpoint, in seconds.
    pub grace_s: f64,
    /// Whether the stop was sent.
    pub sent: bool,
}

/// The predicted and the estimated run time of a batch task, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// The predicted run time.
    pub predicted_s: f64,
    /// The job owner's estimate: an upper bound.
    pub estimate_s: f64,
}

/// The properties of a task that scheduling needs, copied so that it need not look up the job.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    /// The resources that the task requests.
    pub request: Resources,
    /// The job's effective priority when the task was placed.
    pub priority: Priority,
    /// The task's run time; `None` for a replica of a service, which runs until it is stopped.
    pub run_time: Option<RunTime>,
    /// Whether the task may be preempted, which frees its resources immediately.
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
    /// The last known state of the allocation.
    pub state: AllocationState,
    /// When the allocation was decided, or restored from the records.
    pub planned_at: Time,
    /// When a heartbeat first listed the task as running.
    pub running_since: Option<Time>,
    /// Whether an earlier leader may have launched the task, and no heartbeat has listed it since.
    pub is_recovered: bool,
    /// The fencing token with which a launch was sent directly to the worker: a delayed launch may
    /// still arrive until the worker has seen a higher token.
    pub direct_launch_token: Option<FencingToken>,
    /// The sequence number of the heartbeat whose response last carried the launch.
    pub launch_response_sequence: Option<HeartbeatSequence>,
    /// The stop that was sent or is still to be sent.
    pub pending_stop: Option<PendingStop>,
    /// Whether an earlier heartbeat listed the task and the latest one did not, while a launch may still
    /// arrive.
    pub is_missing: bool,
    /// The properties of the task that scheduling needs.
    pub profile: TaskProfile,
}

impl Allocation {
    /// A newly decided or restored allocation.
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

    /// Whether the task may still be on the machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.state, AllocationState::Exited(_))
    }

    /// Whether the worker's incarnation in which the task was launched is unknown: an earlier leader may
    /// have launched it, and no heartbeat has listed it since.
    pub fn has_unknown_incarnation(&self) -> bool {
        self.is_recovered && self.state == AllocationState::Launching
    }

    /// Whether the task is known to have run.
    pub fn has_run(&self) -> bool {
        self.running_since.is_some()
    }

    /// Whether a launch was sent, either directly or in a heartbeat response.
    pub fn launch_was_sent(&self) -> bool {
        self.direct_launch_token.is_some() || self.launch_response_sequence.is_some()
    }

    /// Whether no launch that was sent can still reach the worker, given the token that the worker has
    /// acknowledged and the sequence number of its newest unsolicited heartbeat: until the worker sends
    /// the next one, it may still receive the response to this one.
    pub fn no_launch_in_flight(
        &self,
        acknowledged_token: FencingToken,
        unsolicited_sequence: HeartbeatSequence,
    ) -> bool {
        self.direct_launch_token
            .is_none_or(|token| acknowledged_token > token)
            && self
                .launch_response_sequence
                .is_none_or(|sequence| unsolicited_sequence > sequence)
    }

    /// When the task is predicted to free its resources; infinity for a replica of a service.
    pub fn predicted_end(&self, now: Time) -> Time {
        let Some(run_time) = self.profile.run_time else {
            return f64::INFINITY;
        };
        let start = self.running_since.unwrap_or(now);
        let run_s = corrected(run_time.predicted_s, now - start, run_time.estimate_s);
        (start + run_s).max(now)
    }

    /// Whether the pending stop frees the resources as soon as the worker executes it, without time for
    /// a checkpoint.
    pub fn frees_at_once(&self) -> bool {
        self.pending_stop.is_some_and(|stop| stop.grace_s <= 0.0)
            && matches!(self.state, AllocationState::Observed(_))
    }
}
