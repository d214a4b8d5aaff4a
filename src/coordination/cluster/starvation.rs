//! Jobs that only the head's reservation, or a pause after failures, keeps from free resources.

use crate::coordination::state::{JobId, MAX_WAIT_WITH_CAPACITY_S};
use crate::coordination::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The share of the time for which no job waits with room after which the reservation yields.
const STARVED_SHARE: f64 = 0.6;

/// Since when jobs are kept from free resources.
#[derive(Default)]
pub(crate) struct Starvation {
    since: BTreeMap<JobId, Time>,
}

impl Starvation {
    /// Counts a job from now on, unless it is counted already.
    pub(super) fn start(&mut self, job: &JobId, now: Time) {
        self.since.entry(job.clone()).or_insert(now);
    }

    /// Takes in which jobs a scheduling cycle has kept from free resources. A job that pauses takes no
    /// part in cycles: what is known of it stays.
    pub(super) fn update(
        &mut self,
        starved: &BTreeSet<JobId>,
        pauses: impl Fn(&JobId) -> bool,
        now: Time,
    ) {
        self.since
            .retain(|job, _| starved.contains(job) || pauses(job));
        for job in starved {
            self.start(job, now);
        }
    }

    /// Whether a job has been kept for so long that it goes past the reservation. Predictions may be
    /// wrong for ever, and nobody is to wait for long while there is room.
    pub(crate) fn is_starved(&self, job: &JobId, now: Time) -> bool {
        let since = self.since.get(job);
        since.is_some_and(|since| now - since > STARVED_SHARE * MAX_WAIT_WITH_CAPACITY_S)
    }
}
