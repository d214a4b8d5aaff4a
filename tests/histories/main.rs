//! Generated histories of a cluster under faults, against simulated state service, workers and cloud.
//! The faults: lost responses, delayed and duplicate messages, workers that receive nothing, machines
//! that restart or fail together, zone partitions, leader changes, former leaders that still reach
//! workers, and leaders that pause between a check and the action that relies on it.
//!
//! `checks` holds the safety rules, which every history checks as it runs. After each history all
//! faults end, and every job must reach its final state.
//!
//! `generated` plays random sequences of steps. `combinations` plays given combinations of faults in
//! timed histories: in simulated time, workers send heartbeats periodically, tasks complete and
//! messages take time.

#[path = "../common/mod.rs"]
mod common;

mod checks;
mod combinations;
mod delivery;
mod generated;
mod job;
mod leader;
mod network;
mod peers;
mod random;
mod settings;
mod steps;
mod tasks;
mod timed;
mod worker;
mod world;
