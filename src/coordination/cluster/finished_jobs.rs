//! Finished jobs whose final state is still to be recorded.

use crate::coordination::state::JobId;
use std::collections::BTreeSet;

/// A finished job, and whether its final state is recorded before those of other jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FinishedJob {
    /// The job.
    pub(super) job: JobId,
    /// Whether the job has dependents or was cancelled with a dependency.
    pub(super) is_urgent: bool,
}

/// The queue of finished jobs.
#[derive(Default)]
pub(super) struct FinishedJobs {
    urgent: BTreeSet<JobId>,
    others: BTreeSet<JobId>,
}

impl FinishedJobs {
    /// Adds a job.
    pub(super) fn insert(&mut self, finished: FinishedJob) {
        self.queue_of(finished.is_urgent).insert(finished.job);
    }

    /// Removes one entry.
    pub(super) fn remove(&mut self, finished: &FinishedJob) {
        self.queue_of(finished.is_urgent).remove(&finished.job);
    }

    /// Removes all entries of a job.
    pub(super) fn forget(&mut self, job: &JobId) {
        self.urgent.remove(job);
        self.others.remove(job);
    }

    /// The first job that `accepts` matches, urgent jobs first.
    pub(super) fn first_matching(&self, accepts: impl Fn(&JobId) -> bool) -> Option<FinishedJob> {
        let first = |queue: &BTreeSet<JobId>, is_urgent| {
            let job = queue.iter().find(|job| accepts(job)).cloned();
            job.map(|job| FinishedJob { job, is_urgent })
        };
        first(&self.urgent, true).or_else(|| first(&self.others, false))
    }

    /// The number of entries.
    pub(super) fn len(&self) -> usize {
        self.urgent.len() + self.others.len()
    }

    /// Whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.others.is_empty()
    }

    fn queue_of(&mut self, is_urgent: bool) -> &mut BTreeSet<JobId> {
        if is_urgent {
            &mut self.urgent
        } else {
            &mut self.others
        }
    }
}
