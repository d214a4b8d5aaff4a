//! Simulation of the scheduler in virtual time under generated workloads and faults. Rules on served jobs and
//! on waiting times are checked at the end of each run.

mod cancellations;
mod combined_faults;
#[path = "../common/mod.rs"]
mod common;
mod expected_replicas;
mod failovers;
mod failures;
mod overload;
mod reservations;
mod rules;
mod scale_out;
mod services;
mod simulation;
mod slow_links;
mod state_service_faults;
mod unguaranteed_teams;
mod worker;
mod workload;
mod zones;
