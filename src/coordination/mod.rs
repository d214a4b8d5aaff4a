//! Leadership and the scheduler.
//!
//! Everything here is clock-free: it takes events with their time, and returns effects for other
//! actors to carry out. [`election`] decides who leads; [`core`] owns the state; [`places`] guards the
//! invariants that the rules rest on; [`jobs`], [`reports`], [`orders`] and [`writes`] change and tell
//! it; [`queue`], [`pipelines`], [`deadlines`], [`backfill`], [`placement`], [`predict`], `demand`,
//! [`fleet`], `traffic`, [`retiring`] and [`health`] decide. [`redirects`] is a follower's; [`requests`] are users', on any node.

pub mod backfill;
pub mod cancellations;
pub mod core;
pub mod deadlines;
mod demand;
pub mod election;
pub mod fleet;
pub mod health;
pub mod jobs;
pub mod orders;
pub mod pipelines;
pub mod placement;
pub mod places;
pub mod predict;
pub mod queue;
pub mod recovery;
pub mod redirects;
pub mod reports;
pub mod requests;
pub mod retiring;
pub mod state;
mod traffic;
pub mod writes;

/// Seconds of the steady clock since the process began.
pub type Time = f64;
