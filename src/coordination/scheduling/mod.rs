//! EASY backfilling: decides which waiting task runs on which machine.
//!
//! `run_cycle` reads the state of the cluster and returns a plan; it changes nothing.
//!
//! - `queue`: one scheduling cycle; `queue_order`: the order of the waiting jobs;
//! - `head_reservation`, [`backfill`]: the reservation of the first blocked job;
//! - [`deadlines`]: which deadlines can still be met;
//! - `cycle`: the cycle's working copy of free resources and quotas;
//! - `placement`: the choice of machines for services, arrays and gangs;
//! - `plan`: the result of a cycle.

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
