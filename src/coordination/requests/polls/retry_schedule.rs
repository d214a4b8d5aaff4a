//! When rejected polls are to be retried, and that they take precedence then.

use crate::coordination::Time;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The longest delay before a retry: the interval at which clients poll by themselves. Who retries
/// later, at another node, waits longer than necessary.
const MAX_RETRY_AFTER_S: f64 = 5.0;
const MIN_RETRY_AFTER_S: f64 = 1.0;

/// Since when the polls of jobs have been rejected, bounded in number, and the slots of their
/// retries.
pub(super) struct RetrySchedule {
    max_jobs: usize,
    first_rejected_at: HashMap<Arc<str>, Time>,
    /// In the order of rejection; includes some that were answered since.
    rejections: VecDeque<Rejection>,
    /// Seconds between two polls that can be answered.
    slot_interval_s: f64,
    next_slot: Time,
}

/// The first rejection of a job's polls.
struct Rejection {
    job: Arc<str>,
    at: Time,
}

impl RetrySchedule {
    /// Remembers at most `max_jobs` jobs, and spreads retries over time so that `polls_per_s` come.
    pub(super) fn new(max_jobs: usize, polls_per_s: f64) -> RetrySchedule {
        RetrySchedule {
            max_jobs: max_jobs.max(1),
            first_rejected_at: HashMap::new(),
            rejections: VecDeque::new(),
            slot_interval_s: 1.0 / polls_per_s.max(1.0),
            next_slot: 0.0,
        }
    }

    /// The time by which polls are ordered: when the job was first rejected, or else when the poll
    /// was enqueued.
    pub(super) fn pending_since(&self, job: &str, enqueued_at: Time) -> Time {
        let rejected_at = self.first_rejected_at.get(job);
        rejected_at.copied().unwrap_or(enqueued_at)
    }

    /// A poll of the job is answered.
    pub(super) fn remove(&mut self, job: &str) {
        self.first_rejected_at.remove(job);
    }

    /// Records that a poll of the job is rejected; returns the seconds after which to retry. Each
    /// retry gets a slot of its own, so that they do not come together.
    pub(super) fn reject(&mut self, job: &str, now: Time) -> u32 {
        if !self.first_rejected_at.contains_key(job) {
            let job: Arc<str> = job.into();
            self.first_rejected_at.insert(job.clone(), now);
            self.rejections.push_back(Rejection { job, at: now });
            self.forget_oldest();
        }
        let slot = self.next_slot.max(now + MIN_RETRY_AFTER_S);
        let slot = slot.min(now + MAX_RETRY_AFTER_S);
        self.next_slot = slot + self.slot_interval_s;
        (slot - now).ceil().min(MAX_RETRY_AFTER_S) as u32
    }

    fn forget_oldest(&mut self) {
        while self.rejections.len() > self.max_jobs {
            let Some(Rejection { job, at }) = self.rejections.pop_front() else {
                return;
            };
            if self.first_rejected_at.get(&job) == Some(&at) {
                self.first_rejected_at.remove(&job);
            }
        }
    }
}
