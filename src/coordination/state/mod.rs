//! Jobs, machines, and the places that tasks have or may have on machines.

mod deadline;
mod job;
mod machine;
mod place;
mod placement_record;
mod room;
mod task;

pub use deadline::Due;
pub use job::Job;
pub(super) use job::WAITS_WITH_ROOM_S;
pub use machine::{Machine, Phase, MOST_UNACKNOWLEDGED};
pub use place::{Load, Place, PlaceKey, Stage, Stop};
pub use placement_record::PlacementRecord;
pub use room::Room;
use std::sync::Arc;
pub use task::{CompletionRecord, Task, TaskLocation};

/// The name of a job, a machine, a zone or a type of machine.
pub type Name = Arc<str>;
