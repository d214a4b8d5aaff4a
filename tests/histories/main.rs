//! Generated histories against stand-ins of the state service, the workers and the cloud, checked
//! for the rules: lost answers, late and repeated messages, copies of heartbeats, workers that hear
//! nothing, machines that are back at once or fall together, zones that are cut off, new leaders,
//! and former ones that still have the workers' ear or that stood still between a check and its act.
//!
//! `generated` plays steps in an order of their own; `combinations` plays faults that meet, on a
//! clock by which workers report, tasks end and messages take time.

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
