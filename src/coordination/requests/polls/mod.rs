//! Queries that only the records can answer, batched.
//!
//! The leader's state may lack a cancellation that another node has already confirmed to a user, a
//! node without a leader has no such state at all, and no answer may be older than one given before.
//! So the polls that are pending at a node share read-only transactions: each compares the keys of as
//! many jobs as a transaction takes compares. What a comparison leaves open is read once and cached:
//! that a job was accepted, its dependencies, and how it ended are immutable.
//!
//! All of this stays within a share of the rate limit of the state service. A poll that exceeds it is
//! rejected at once, and takes precedence when it is repeated.
//!
//! The layers, each using only those before it:
//!
//! - `limits` and `types`: what all of them share;
//! - `record_keys`, `decoded_records` and `read_queue`: reading records, a page at a time;
//! - `known_jobs` and `comparison`: deciding polls by one transaction;
//! - `retry_schedule` and `poll_queue`: pending polls, their order and timeouts;
//! - `batcher`: the state machine that a driver runs.

mod batcher;
mod comparison;
mod decoded_records;
mod known_jobs;
mod limits;
mod poll_queue;
mod read_queue;
mod record_keys;
mod retry_schedule;
mod types;

pub use batcher::PollBatcher;
pub use limits::Limits;
pub use types::{Poll, PollEffect, PollId};
