//! User requests: state machines without clocks, threads or sockets.
//!
//! A [`Request`] is a state machine for one submission, query or cancellation. It takes
//! [`RequestEvent`]s and returns [`RequestEffect`]s, which a driver executes. A request is answered
//! from this controller's state, by the leader, or from the records in the state service. If the state
//! service is unavailable to this controller, the request is forwarded to a peer. Queries that only
//! the records can answer go to the [`polls::PollBatcher`], which checks many of them with one
//! transaction.
//!
//! Invariants of every answer:
//!
//! - a job is reported as accepted, done or cancelled only once the record that says so is written;
//! - a recorded final state never changes: no answer contradicts one that was recorded before;
//! - a transaction without a response is indeterminate, and may even be applied later: it is retried
//!   with the same compares, or the records are read, but its outcome is never assumed.
//!
//! The layers, each using only those before it:
//!
//! - `answers`, `store_call`, `step`, `context` and `decision`: shared types;
//! - `job_lookup`, `dependency_check` and `acceptance`: steps of a request that make several calls to the
//!   state service;
//! - `admission`, `submission` and `cancellation`: requests that write to the state service;
//! - [`polls`]: batched queries;
//! - `events` and `request`: the state machine of a request.

mod acceptance;
mod admission;
mod answers;
mod cancellation;
mod context;
mod decision;
mod dependency_check;
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
