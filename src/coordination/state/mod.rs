//! Data model of the cluster: jobs, tasks, machines, allocations and the records of them.

mod allocation;
mod deadline;
mod eligibility;
mod ids;
mod job;
mod job_memory;
mod machine;
mod machine_types;
mod placement_record;
mod quota;
mod resources;
mod task;
mod task_allocations;
mod worker_session;

pub use allocation::{
    Allocation, AllocationId, AllocationState, PendingStop, RunTime, TaskProfile,
};
pub use deadline::Deadline;
pub(crate) use eligibility::{may_use, may_use_type};
pub use ids::{ClassName, JobId, MachineName, MachineTypeName, ZoneName};
pub use job::Job;
pub(crate) use job::MAX_WAIT_WITH_CAPACITY_S;
pub use job_memory::{leader_memory_bytes, ALLOCATION_BYTES};
pub use machine::{FailureHistory, Machine, MachinePhase};
pub use machine_types::MachineTypes;
pub use placement_record::{Placement, PlacementRecord, WriteUrgency};
pub use quota::{QuotaUsage, QuotaUsageByTeam};
pub use resources::Resources;
pub use task::{AllocationRef, CompletionRecord};
pub use worker_session::{WorkerSession, MAX_UNACKNOWLEDGED};
