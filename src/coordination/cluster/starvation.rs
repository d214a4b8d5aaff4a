//! Jobs that only the reservation of the queue's head, or a pause after failures, keeps from free
//! resources.

use crate::coordination::state::{JobId, MAX_WAIT_WITH_CAPACITY_S};
use crate::coordination::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A job ignores the reservation after this share of the longest wait that is allowed while resources
/// are free.
const STARVED_SHARE: f64 = 0.6;

/// Since when jobs have been kept from free resources.
#[derive(Default)]
pub(crate) struct Starvation {
    since: BTreeMap<JobId, Time>,
}

impl Starvation {
    /// Starts to count for a job, unless it is counted already.
    pub(super) fn start(&mut self, job: &JobId, now: Time) {
        self.since.entry(job.clone()).or_insert(now);
    }

    /// Updates the jobs that a scheduling cycle has kept from free resources. A paused job takes no
    /// part in cycles, so its entry is kept.
    pub(super) fn update(
        &mut self,
        starved: &BTreeSet<JobId>,
        is_paused: impl Fn(&JobId) -> bool,
        now: Time,
    ) {
        self.since
            .retain(|job, _| starved.contains(job) || is_paused(job));
        for job in starved {
            self.start(job, now);
        }
    }

    /// Whether a job has been kept from free resources for so long that it may ignore the reservation.
    /// Predictions may be wrong indefinitely, and no job may wait long while resources are free.
    pub(crate) fn is_starved(&self, job: &JobId, now: Time) -> bool {
        let since = self.since.get(job);
        since.is_some_and(|since| now - since > STARVED_SHARE * MAX_WAIT_WITH_CAPACITY_S)
    }
}
