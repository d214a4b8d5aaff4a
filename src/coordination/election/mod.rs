//! Leader election by a record in the state service that is attached to a lease.
//!
//! A node *campaigns* by writing its name into the leader's record, attached to a lease of its own, on
//! the condition that the record is unchanged. The winner leads a *term* for as long as it renews the
//! lease; when the lease expires, or the leader *resigns*, the record is deleted and the others
//! campaign (*failover*). The version of the record is the leader's *fencing token*: tokens come from
//! nowhere else and only rise, so workers and the state service can reject a deposed leader.
//!
//! [`Election`] is a pure state machine without clocks, threads or sockets. Its driver carries out one
//! [`Operation`] at a time and reports the outcome as an [`Input`], with the time of its clock.
//!
//! - `state_machine`: following, campaigning, and leading by a `term`
//! - `term`: a leader's renewals and the raising of its token
//! - `leadership_lease`: the record and the timing that both share
//! - `messages`: the types of the interface

mod leadership_lease;
mod messages;
mod state_machine;
mod term;

pub use messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation, Step};
pub use state_machine::Election;
