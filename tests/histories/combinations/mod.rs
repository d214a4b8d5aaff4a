//! Combinations of faults, each in a short timed history that is played with many seeds. Each test
//! checks the safety rules throughout and that every job finishes after the last fault.

mod cancellations;
mod leaders;
mod machines;
mod messages;
mod mixed;

/// Number of seeds of most tests.
const SEEDS: u64 = 20;
/// Remaining leadership lease in seconds of a leader that loses the state service.
const LEADER_LEASE_S: f64 = 5.0;
