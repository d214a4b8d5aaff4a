//! What a scheduling cycle decides.

use crate::coordination::state::{AllocationId, JobId, MachineName};
use std::collections::BTreeSet;

/// Why a job's next task was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// Its team's quota, a rule about zones, or a pause after failures: it holds up nobody else.
    Policy,
    /// No machine has the resources that it requests.
    Capacity,
}

/// A task that is to be placed on a machine.
pub(crate) struct PlannedAllocation {
    /// Its job.
    pub(crate) job: JobId,
    /// Its number in the job.
    pub(crate) task: u32,
    /// The machine.
    pub(crate) machine: MachineName,
    /// Whether the job is a gang, whose tasks share their attempt.
    pub(crate) is_gang: bool,
}

/// A task that is to be stopped for work of a higher priority.
pub(crate) struct Preemption {
    /// The machine that it is on.
    pub(crate) machine: MachineName,
    /// Its allocation.
    pub(crate) allocation: AllocationId,
}

/// What a scheduling cycle decides.
#[derive(Default)]
pub(crate) struct SchedulingPlan {
    /// Tasks to place, in this order.
    pub(crate) allocations: Vec<PlannedAllocation>,
    /// Tasks to stop before that.
    pub(crate) preemptions: Vec<Preemption>,
    /// Jobs of which nothing runs, and that only the reservation keeps from free resources.
    pub(crate) starved: BTreeSet<JobId>,
    /// How many machines and allocations the cycle has examined.
    pub(crate) examined: u64,
}
