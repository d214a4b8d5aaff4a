//! Leader election by a record in the state service that is attached to a lease.
//!
//! A controller *campaigns* by a compare-and-swap that writes its name into the leader record and
//! attaches the record to the controller's lease. The winner leads a *term* for as long as it renews
//! the lease. When the lease expires, or the leader *steps down*, the record is deleted and the other
//! controllers campaign (*failover*). The version of the record is the leader's *fencing token*. Every
//! token is such a version, and versions only increase, so workers and the state service can reject a
//! former leader.
//!
//! [`Election`] is a pure state machine without clocks, threads or sockets. Its driver executes one
//! [`Operation`] at a time and returns the outcome as an [`Input`], with the time of its clock.
//!
//! - `state_machine`: following, campaigning and leading; delegates to `term` while leading
//! - `term`: renews a leader's lease and raises its token
//! - `leadership_lease`: the leader record and the timing that both use
//! - `messages`: the types of the interface

mod leadership_lease;
mod messages;
mod state_machine;
mod term;

pub use messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation, Step};
pub use state_machine::Election;
