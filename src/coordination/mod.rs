//! Leadership, scheduling and users' requests, without clocks, threads or sockets.
//!
//! Everything here takes events with their time and returns effects for other actors to carry out.
//!
//! - [`election`] decides which controller leads;
//! - [`state`] holds the types for jobs, machines and allocations;
//! - [`manager`] drives the leader's work;
//! - [`cluster`] is the leader's view of the cluster: heartbeats, reconciliation, records;
//! - [`scheduling`] decides which task runs on which machine, by [`prediction`] of run times;
//! - `autoscaling` decides which machines to rent and which to return;
//! - [`requests`] answers users, on any controller.

mod autoscaling;
pub mod cluster;
pub mod election;
pub mod manager;
pub mod prediction;
pub mod requests;
pub mod scheduling;
pub mod state;

/// Seconds of the monotonic clock since the process began.
pub type Time = f64;
