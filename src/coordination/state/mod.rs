//! Jobs, machines, and the allocations that tasks have or may have on machines.

mod allocation;
mod deadline;
mod job;
mod machine;
mod placement_record;
mod resources;
mod task;

pub use allocation::{Allocation, AllocationId, AllocationState, Stop, TaskProfile};
pub use deadline::Deadline;
pub use job::Job;
pub(crate) use job::WAITS_WITH_ROOM_S;
pub use machine::{Machine, MachinePhase, MAX_UNACKNOWLEDGED};
pub use placement_record::PlacementRecord;
pub use resources::Resources;
use std::sync::Arc;
pub use task::{AllocationRef, CompletionRecord, Task};

/// The name of a job, a machine, a zone or a type of machine.
pub type Name = Arc<str>;
