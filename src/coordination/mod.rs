//! Leadership and the scheduler.
//!
//! Everything but [`election`] is clock-free: it takes events with their time, and returns effects
//! for other actors to carry out. [`core`] owns the state and guards the invariants that the rules
//! rest on; [`queue`], [`backfill`], [`placement`], [`predict`], [`fleet`] and [`health`] decide.

pub mod backfill;
pub mod core;
pub mod election;
pub mod fleet;
pub mod health;
pub mod placement;
pub mod predict;
pub mod queue;
pub mod recovery;
pub mod state;

/// Seconds of the steady clock since the process began.
pub type Time = f64;
