//! Jobs, machines, and the allocations that tasks have or may have on machines.

mod allocation;
mod deadline;
mod job;
mod machine;
mod placement_record;
mod resources;
mod task;

pub use allocation::{Load, Place, PlaceKey, Stage, Stop};
pub use deadline::Due;
pub use job::Job;
pub(crate) use job::WAITS_WITH_ROOM_S;
pub use machine::{Machine, Phase, MOST_UNACKNOWLEDGED};
pub use placement_record::PlacementRecord;
pub use resources::Room;
use std::sync::Arc;
pub use task::{CompletionRecord, Task, TaskLocation};

/// The name of a job, a machine, a zone or a type of machine.
pub type Name = Arc<str>;
