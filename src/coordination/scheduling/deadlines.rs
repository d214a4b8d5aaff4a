//! Which deadlines can still be met, and which jobs must therefore come first.
//!
//! When more is due than the machines can do, jobs in the order of their deadlines would all be
//! late by a little. So the largest of those that cannot all be met yield: Moore's rule, which
//! keeps the number of late jobs least when each needs all machines, as large arrays nearly do.

use crate::coordination::Time;
use std::collections::BinaryHeap;

/// What is left of a job that has a deadline.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// When it must be done.
    pub due_at: Time,
    /// Its work, in processor seconds.
    pub cpu_seconds: f64,
    /// The least time that it takes with all machines to itself, in seconds.
    pub min_duration_s: f64,
}

/// Of jobs in the order of their deadlines, which can be met on so many processors, of which
/// `taken` processor seconds are spoken for.
pub fn feasible(jobs: &[RemainingWork], now: Time, cpus: f64, taken: f64) -> Vec<bool> {
    let mut feasible = vec![false; jobs.len()];
    // The largest on top, to a thousandth of a processor second.
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut before = taken;
    let rate = cpus.max(1.0);
    for (i, job) in jobs.iter().enumerate() {
        if now + job.min_duration_s > job.due_at {
            continue;
        }
        feasible[i] = true;
        kept.push(((1000.0 * job.cpu_seconds) as u64, i));
        let alone_s = job.min_duration_s.max(job.cpu_seconds / rate);
        before += job.cpu_seconds;
        let end = now + (before - job.cpu_seconds) / rate + alone_s;
        if end > job.due_at {
            if let Some((_, largest)) = kept.pop() {
                feasible[largest] = false;
                before -= jobs[largest].cpu_seconds;
            }
        }
    }
    feasible
}
