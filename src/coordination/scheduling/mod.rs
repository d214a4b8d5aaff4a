//! EASY backfilling: which waiting task runs on which machine.
//!
//! - [`queue`] orders the jobs and runs one scheduling cycle;
//! - [`backfill`] computes the reservation of the job at the head of the queue;
//! - [`deadlines`] tells which deadlines can still be met;
//! - [`placement`] picks machines for services, arrays and gangs.

pub mod backfill;
pub mod deadlines;
pub mod placement;
pub mod queue;
