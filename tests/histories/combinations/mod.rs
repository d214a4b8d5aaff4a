//! Faults that meet, each meeting a short history that is played with many seeds.

mod cancellations;
mod leaders;
mod machines;
mod messages;
mod mixed;

/// Histories of most tests.
const SEEDS: u64 = 20;
/// How long the lease of a leader goes on that has lost the state service, at the most.
const LEADER_LEASE_S: f64 = 5.0;
