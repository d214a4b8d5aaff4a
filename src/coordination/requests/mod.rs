//! Requests of users, decided without clocks, threads or sockets.
//!
//! A [`Request`] is a state machine for one submission, query or cancellation: [`RequestEvent`]s go
//! in, [`RequestEffect`]s come out, and a driver carries them out. A request is answered from this
//! node's own view, by the leader, or from the records of the state service. Where the state service
//! refuses this node, the request is forwarded to another controller. Queries that only the records
//! can answer go to the node's [`polls::PollBatcher`], which checks many of them with one
//! transaction.
//!
//! Invariants of every answer:
//!
//! - a job is reported as accepted, done or cancelled only once the record that says so is written;
//! - a recorded end is final: no answer contradicts an end that is already on record;
//! - a transaction without a response may have been applied, or may be applied later: it is repeated
//!   with the same compares, or the records are read, but its outcome is never guessed.
//!
//! The layers, each using only those before it:
//!
//! - `answers`, `store_call`, `step`, `context` and `decision`: shared types;
//! - `dependency_search`, `job_lookup`, `dependency_check` and `acceptance`: parts of a request that
//!   take several calls to the state service;
//! - `admission`, `submission` and `cancellation`: requests that the state service decides;
//! - [`polls`]: batched queries;
//! - `events` and `request`: the state machine that a driver runs.

mod acceptance;
mod admission;
mod answers;
mod cancellation;
mod context;
mod decision;
mod dependency_check;
mod dependency_search;
mod events;
mod job_lookup;
pub mod polls;
mod request;
mod step;
mod store_call;
mod submission;

pub use admission::cannot_run;
pub use answers::{Answer, PeerAnswer, RetryReason};
pub use context::Context;
pub use events::{LocalJobView, RequestEffect, RequestEvent};
pub use request::Request;
pub use store_call::{StoreAnswer, StoreCall};
