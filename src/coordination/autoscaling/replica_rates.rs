//! How many replicas of a class of services come and go.

use crate::coordination::Time;
use crate::protocol::job::JobSpec;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Boot times over which arrivals and ends of services are counted.
const WINDOW_BOOTS: f64 = 4.0;

/// Replicas by the second in which they came or went.
#[derive(Default)]
struct CountsBySecond(BTreeMap<i64, u32>);

impl CountsBySecond {
    fn add(&mut self, replicas: u32, now: Time) {
        *self.0.entry(now.floor() as i64).or_default() += replicas;
    }

    fn since(&self, from: Time) -> f64 {
        let counts = self.0.range(from.ceil() as i64..).map(|(_, n)| *n);
        f64::from(counts.sum::<u32>())
    }

    fn forget_before(&mut self, from: Time) {
        self.0 = self.0.split_off(&(from.floor() as i64));
    }
}

/// Replicas that come and go in the time that a machine takes to boot, on average.
pub(crate) struct Rates {
    pub came: f64,
    pub went: f64,
}

/// How many replicas of a class came and went of late.
pub(crate) struct ReplicaRates {
    /// The class's latest job.
    pub spec: Arc<JobSpec>,
    /// What was there at first is no sign of what comes.
    first: Time,
    came: CountsBySecond,
    went: CountsBySecond,
}

impl ReplicaRates {
    pub(crate) fn new(spec: Arc<JobSpec>, now: Time) -> ReplicaRates {
        ReplicaRates {
            spec,
            first: now,
            came: CountsBySecond::default(),
            went: CountsBySecond::default(),
        }
    }

    pub(crate) fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        self.spec = spec.clone();
        self.first = self.first.min(now);
        self.came.add(spec.tasks, now);
    }

    pub(crate) fn left(&mut self, replicas: u32, now: Time) {
        self.went.add(replicas, now);
    }

    /// By the last few boot times; what was there in the first `skipped_s` does not count.
    pub(crate) fn within_a_boot(&self, boot_s: f64, skipped_s: f64, now: Time) -> Rates {
        let window_s = WINDOW_BOOTS * boot_s;
        let from = (now - window_s).max(self.first + skipped_s);
        Rates {
            came: self.came.since(from) * boot_s / window_s,
            went: self.went.since(from) * boot_s / window_s,
        }
    }

    pub(crate) fn forget_old(&mut self, boot_s: f64, now: Time) {
        let from = now - WINDOW_BOOTS * boot_s;
        self.came.forget_before(from);
        self.went.forget_before(from);
    }
}
