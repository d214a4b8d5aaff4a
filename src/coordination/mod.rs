//! Leadership, scheduling and users' requests, free of clocks, threads and sockets.
//!
//! These modules take events with their times and return effects, which other actors carry out.
//!
//! - [`election`] decides which controller leads;
//! - [`state`] holds the types for jobs, machines and allocations;
//! - [`manager`] drives the leader's work;
//! - [`cluster`] is the leader's view of the cluster: heartbeats, reconciliation, records;
//! - [`scheduling`] decides which task runs on which machine, using [`prediction`] of run times;
//! - `autoscaling` decides which machines to rent and which to return;
//! - [`requests`] handles users' requests on any controller.

mod autoscaling;
pub mod cluster;
pub mod election;
pub mod manager;
pub mod prediction;
pub mod requests;
pub mod scheduling;
pub mod state;

/// Seconds on the monotonic clock since the process started.
pub type Time = f64;
