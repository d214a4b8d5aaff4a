//! Leader election: a record in the state service, attached to a lease. The record's version is the
//! leader's token, so that tokens come from nowhere else and only rise.
//!
//! [`Election`] is a state machine without clocks, threads or sockets. Its driver carries out one
//! [`Operation`] at a time and hands the outcome back as an [`Input`], with the time of its clock.

mod messages;
mod state_machine;
mod term;

pub use messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation, Step};
pub use state_machine::Election;
