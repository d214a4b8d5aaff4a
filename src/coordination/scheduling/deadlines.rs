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
    pub at: Time,
    /// Processor seconds.
    pub work: f64,
    /// The least time that it takes with all machines to itself.
    pub least_s: f64,
}

/// Of jobs in the order of their deadlines, which can be met on so many processors, of which
/// `taken` processor seconds are spoken for.
pub fn met(jobs: &[RemainingWork], now: Time, cpus: f64, taken: f64) -> Vec<bool> {
    let mut met = vec![false; jobs.len()];
    // The largest on top, to a thousandth of a processor second.
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut before = taken;
    let rate = cpus.max(1.0);
    for (i, job) in jobs.iter().enumerate() {
        if now + job.least_s > job.at {
            continue;
        }
        met[i] = true;
        kept.push(((1000.0 * job.work) as u64, i));
        let alone = job.least_s.max(job.work / rate);
        before += job.work;
        let end = now + (before - job.work) / rate + alone;
        if end > job.at {
            if let Some((_, largest)) = kept.pop() {
                met[largest] = false;
                before -= jobs[largest].work;
            }
        }
    }
    met
}
