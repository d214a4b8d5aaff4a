//! The result of a scheduling cycle.

use crate::coordination::state::{AllocationId, JobId, MachineName};
use std::collections::BTreeSet;

/// Why a job's next task was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// The team's quota or a zone constraint; such a job does not block the jobs behind it.
    Policy,
    /// No machine has the requested resources free.
    Capacity,
}

/// A task to place on a machine.
pub(crate) struct PlannedAllocation {
    /// The job of the task.
    pub(crate) job: JobId,
    /// The number of the task in the job.
    pub(crate) task: u32,
    /// The machine to place the task on.
    pub(crate) machine: MachineName,
    /// Whether the job is a gang, whose tasks share an attempt number.
    pub(crate) is_gang: bool,
}

/// A task to stop in favor of a job with a higher priority.
pub(crate) struct Preemption {
    /// The machine of the allocation.
    pub(crate) machine: MachineName,
    /// The allocation of the task.
    pub(crate) allocation: AllocationId,
}

/// The decisions of a scheduling cycle.
#[derive(Default)]
pub(crate) struct SchedulingPlan {
    /// Tasks to place, in order.
    pub(crate) allocations: Vec<PlannedAllocation>,
    /// Tasks to stop first.
    pub(crate) preemptions: Vec<Preemption>,
    /// Jobs without allocations that only the head's reservation keeps from free resources.
    pub(crate) starved: BTreeSet<JobId>,
    /// How many machines and allocations the cycle examined.
    pub(crate) examined: u64,
}
