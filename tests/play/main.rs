//! Simulated days of the scheduler in virtual time: generated loads and faults, and the rules that
//! are checked at the end of a day.

mod cancellations;
mod combined_faults;
#[path = "../common/mod.rs"]
mod common;
mod failures;
mod guests;
mod leaders;
mod limits;
mod overload;
mod reservations;
mod rules;
mod services;
mod simulation;
mod slow_links;
mod state_service;
mod worker;
mod workload;
mod zones;
