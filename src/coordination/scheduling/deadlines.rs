//! Determines which deadlines can still be met.
//!
//! Under overload, running jobs in the order of their deadlines would make all of them slightly late.
//! So the largest of the jobs that cannot all be on time count as infeasible (Moore's algorithm). That
//! minimizes the number of late jobs if each job needs all machines, as large arrays nearly do.

use crate::coordination::Time;
use std::collections::BinaryHeap;

/// The remaining work of a job that has a deadline.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// When the job must be done.
    pub due_at: Time,
    /// The remaining work, in CPU seconds.
    pub cpu_seconds: f64,
    /// The minimum duration if the job had all machines to itself, in seconds.
    pub min_duration_s: f64,
}

/// Whether each deadline can be met on `cpus` CPUs; `jobs` must be in the order of their
/// deadlines. `committed` is the work, in CPU seconds, that comes before these jobs.
pub fn feasible(jobs: &[RemainingWork], now: Time, cpus: f64, committed: f64) -> Vec<bool> {
    let mut feasible = vec![false; jobs.len()];
    // A max-heap by work, in thousandths of a CPU second.
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut work_before = committed;
    let rate = cpus.max(1.0);
    for (i, job) in jobs.iter().enumerate() {
        if now + job.min_duration_s > job.due_at {
            continue;
        }
        feasible[i] = true;
        kept.push(((1000.0 * job.cpu_seconds) as u64, i));
        let duration_s = job.min_duration_s.max(job.cpu_seconds / rate);
        work_before += job.cpu_seconds;
        let end = now + (work_before - job.cpu_seconds) / rate + duration_s;
        if end > job.due_at {
            if let Some((_, largest)) = kept.pop() {
                feasible[largest] = false;
                work_before -= jobs[largest].cpu_seconds;
            }
        }
    }
    feasible
}
