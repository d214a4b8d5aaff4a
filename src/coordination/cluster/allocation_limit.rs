//! The limit on allocations of arrays, so that a leader has the memory for all of them.
//!
//! A task takes memory from its placement until its worker has forgotten it. Gangs and services are placed as
//! a whole, so the memory for all their tasks is counted before they are accepted; arrays wait instead.
//!
//! A job may hold only a multiple of what it leaves free. So one array may use most of the limit, and many share
//! it, but some of it is always left for jobs that have no task yet.

use super::ClusterState;
use crate::coordination::state::{Machine, ALLOCATION_BYTES};
use crate::settings::Settings;
use crate::storage::open_job_budget::{max_allowance_bytes, max_open_job_bytes};

/// The share of the memory limit that allocations may take, however much open jobs take.
const ALLOCATIONS_SHARE: f64 = 0.15;
/// How many times as much as it leaves free an array may hold.
const MAX_HELD_PER_FREE: u64 = 4;

/// Whether an array that holds `held` units of what is limited may take one more, if `free` units are free.
pub(crate) fn may_hold_more(held: u64, free: u64) -> bool {
    held < MAX_HELD_PER_FREE * free.saturating_sub(1)
}

/// The memory that is kept for allocations, in bytes.
fn min_allocation_bytes(settings: &Settings) -> u64 {
    (ALLOCATIONS_SHARE * settings.cluster.limits.ram_mb * 1e6) as u64
}

impl ClusterState {
    /// How many further tasks of arrays may be placed.
    pub(crate) fn free_array_allocations(&self) -> u64 {
        let free_bytes = self.max_allocation_bytes();
        let free_bytes = free_bytes.saturating_sub(self.allocation_bytes());
        free_bytes / ALLOCATION_BYTES
    }

    /// What counts against the memory for open jobs, in bytes: the jobs, and allocations beyond the memory that
    /// is kept for these.
    pub(crate) fn accept_limit_usage_bytes(&self) -> u64 {
        let kept_bytes = min_allocation_bytes(&self.settings);
        self.open_job_bytes + self.allocation_bytes().saturating_sub(kept_bytes)
    }

    /// The memory of the allocations of arrays and gangs, in bytes.
    fn allocation_bytes(&self) -> u64 {
        let allocations = self.machines.values().map(Machine::batch_allocations);
        ALLOCATION_BYTES * allocations.sum::<usize>() as u64
    }

    /// The memory that allocations may take: what is kept for them, and what neither open jobs take nor the
    /// controllers may still accept.
    fn max_allocation_bytes(&self) -> u64 {
        let settings = &self.settings;
        let controllers = 1 + settings.peers.len() as u64;
        let allowance_bytes = controllers * max_allowance_bytes(settings);
        let kept_bytes = min_allocation_bytes(settings);
        let unused_bytes = max_open_job_bytes(settings)
            .saturating_sub(self.open_job_bytes)
            .saturating_sub(allowance_bytes);
        kept_bytes + unused_bytes
    }
}
