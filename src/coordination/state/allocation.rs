//! Places: tasks that are or may be on a machine.

use super::{Name, Resources};
use crate::coordination::prediction::corrected;
use crate::coordination::Time;
use crate::protocol::job::Priority;
use crate::protocol::worker::{Cause, TaskState};

/// What names a place on a machine: job, task and attempt.
pub type AllocationId = (Name, u32, u64);

/// How far a task on a machine has come, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationState {
    /// Decided, and not yet recorded: no launch has left.
    Pending,
    /// Recorded: a launch may leave or have left, and the worker has not shown the task yet.
    Launching,
    /// The worker has shown it.
    Observed(TaskState),
    /// It ended; the worker still remembers it.
    Exited(Cause),
}

/// A task was told to stop, or is to be.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub grace_s: f64,
    pub sent: bool,
}

/// What a pass over machines asks of a place, so that it need not look for the job.
#[derive(Clone, Copy, Debug)]
pub struct TaskProfile {
    pub need: Resources,
    pub priority: Priority,
    /// The predicted and the estimated run time; none for a service, whose room never frees.
    pub run_s: Option<(f64, f64)>,
    /// Whether it may be stopped for work that outranks it, and frees its room at once.
    pub yields: bool,
}

/// A task that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct Allocation {
    pub stage: AllocationState,
    pub since: Time,
    pub running_since: Option<Time>,
    /// The start that is recorded may have been made by an earlier leader.
    pub recovered: bool,
    /// The token under which a launch went straight to the worker: such a launch may arrive (again)
    /// until the worker has seen a higher one.
    pub direct_launch_token: Option<u64>,
    /// The report whose answer last carried the launch.
    pub launch_response_sequence: Option<u64>,
    pub stop: Option<Stop>,
    /// The worker showed it once, and shows it no more, though a launch of it may still come.
    pub missing: bool,
    pub load: TaskProfile,
}

impl Allocation {
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, AllocationState::Exited(_))
    }

    /// Whether no launch that was sent can still reach the worker, given its token and the number of
    /// its newest own report: until it sends another, it may yet take the answer to that one.
    pub fn launches_are_over(&self, token: u64, reported: u64) -> bool {
        self.direct_launch_token.is_none_or(|t| token > t)
            && self.launch_response_sequence.is_none_or(|s| reported > s)
    }

    /// When it is predicted to come free; never, for a service.
    pub fn predicted_end(&self, now: Time) -> Time {
        let Some((predicted_s, estimate_s)) = self.load.run_s else {
            return f64::INFINITY;
        };
        let start = self.running_since.unwrap_or(now);
        (start + corrected(predicted_s, now - start, estimate_s)).max(now)
    }

    /// Whether its room is free as soon as a command sent now is carried out.
    pub fn leaves_at_once(&self) -> bool {
        self.stop.is_some_and(|s| s.grace_s <= 0.0)
            && matches!(self.stage, AllocationState::Observed(_))
    }
}
