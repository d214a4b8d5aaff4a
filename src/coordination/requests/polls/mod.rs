//! Polls: job status queries that only the records can answer, in batches.
//!
//! The leader's state is not enough to answer them: it may lack a cancellation that a peer has already
//! confirmed to a user, and it is missing when there is no leader. No answer may be older than a
//! previous one. Pending polls therefore share read-only transactions, each of which compares the keys
//! of as many jobs as the limit on compares allows. Records that a comparison finds are read once and
//! cached: that a job was accepted, its dependencies and its final state never change.
//!
//! The batcher uses at most a share of the rate limit of the state service. A poll that exceeds this
//! share is rejected at once; its retry takes precedence.
//!
//! The layers, each using only those before it:
//!
//! - `limits` and `types`: shared definitions;
//! - `record_keys`, `decoded_records` and `read_queue`: reading records, a page at a time;
//! - `known_jobs`, `dependency_scan` and `comparison`: deciding many polls by one transaction;
//! - `dependency_checks`: the dependencies that submissions name;
//! - `retry_schedule` and `poll_queue`: pending polls, their order and timeouts;
//! - `batcher`: the state machine that a driver runs.

mod batcher;
mod comparison;
mod decoded_records;
mod dependency_checks;
mod dependency_scan;
mod known_jobs;
mod limits;
mod poll_queue;
mod read_queue;
mod record_keys;
mod retry_schedule;
mod types;

pub use batcher::PollBatcher;
pub use limits::Limits;
pub use types::{CheckId, CheckedDependencies, Poll, PollEffect, PollId};
