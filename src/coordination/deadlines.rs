//! Which deadlines can still be met, and which jobs must therefore come first.
//!
//! When more is due than the machines can do, jobs in the order of their deadlines would all be
//! late by a little. So the largest of those that cannot all be met yield: Moore's rule, which
//! keeps the number of late jobs least when each needs all machines, as large arrays nearly do.

use super::Time;
use std::collections::BinaryHeap;

/// What is left of a job that has a deadline.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    pub at: Time,
    /// Processor seconds.
    pub work: f64,
    /// The least time that it takes with all machines to itself.
    pub least_s: f64,
}

/// Work in a heap: the largest on top.
#[derive(PartialEq, PartialOrd)]
struct Load(f64, usize);

impl Eq for Load {}

impl Ord for Load {
    fn cmp(&self, other: &Load) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Of jobs in the order of their deadlines, which can be met on so many processors, of which
/// `taken` processor seconds are spoken for.
pub fn met(jobs: &[Due], now: Time, cpus: f64, taken: f64) -> Vec<bool> {
    let mut met = vec![false; jobs.len()];
    let mut kept: BinaryHeap<Load> = BinaryHeap::new();
    let mut before = taken;
    let rate = cpus.max(1.0);
    for (i, job) in jobs.iter().enumerate() {
        if now + job.least_s > job.at {
            continue;
        }
        met[i] = true;
        kept.push(Load(job.work, i));
        let alone = job.least_s.max(job.work / rate);
        before += job.work;
        let end = now + (before - job.work) / rate + alone;
        if end > job.at {
            let Some(Load(work, largest)) = kept.pop() else {
                continue;
            };
            met[largest] = false;
            before -= work;
        }
    }
    met
}
