//! EASY backfilling: which waiting task runs on which machine.
//!
//! `run_cycle` reads a snapshot of the cluster and returns a plan; it changes nothing itself.
//!
//! - `queue`: one scheduling cycle; `queue_order`: the order of its jobs;
//! - `head_reservation`, [`backfill`]: what the first blocked job reserves;
//! - [`deadlines`]: which deadlines can still be met;
//! - `cycle`: the cycle's working copy of the cluster;
//! - `placement`: which machines services, arrays and gangs get;
//! - `plan`: what a cycle decides.

pub mod backfill;
mod cycle;
pub mod deadlines;
mod head_reservation;
mod placement;
mod plan;
mod queue;
mod queue_order;

pub(crate) use plan::SchedulingPlan;
pub(crate) use queue::run_cycle;
