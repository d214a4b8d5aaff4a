//! Assigns retry times to rejected polls and remembers the rejections, so that retries take precedence.

use crate::coordination::Time;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The maximum delay before a retry, which is the interval at which clients poll anyway. A longer delay
/// would make a client wait longer than necessary, as it may retry at another controller.
const MAX_RETRY_AFTER_S: f64 = 5.0;
/// The minimum delay before a retry.
const MIN_RETRY_AFTER_S: f64 = 1.0;

/// The first rejections of the polls of a bounded number of jobs, and the time slots for retries.
pub(super) struct RetrySchedule {
    max_jobs: usize,
    first_rejected_at: HashMap<Arc<str>, Time>,
    /// In the order of rejection. May include jobs whose polls have been answered since.
    rejections: VecDeque<Rejection>,
    /// Seconds between two slots.
    slot_interval_s: f64,
    next_slot: Time,
}

/// The first rejection of a job's polls.
struct Rejection {
    job: Arc<str>,
    at: Time,
}

impl RetrySchedule {
    /// A schedule that remembers at most `max_jobs` jobs and has `polls_per_s` slots per second.
    pub(super) fn new(max_jobs: usize, polls_per_s: f64) -> RetrySchedule {
        RetrySchedule {
            max_jobs: max_jobs.max(1),
            first_rejected_at: HashMap::new(),
            rejections: VecDeque::new(),
            slot_interval_s: 1.0 / polls_per_s.max(1.0),
            next_slot: 0.0,
        }
    }

    /// The time by which polls are ordered: the first rejection of the job's polls, or else when the
    /// poll was enqueued.
    pub(super) fn pending_since(&self, job: &str, enqueued_at: Time) -> Time {
        let rejected_at = self.first_rejected_at.get(job);
        rejected_at.copied().unwrap_or(enqueued_at)
    }

    /// Removes the rejection of a job, one of whose polls has been answered.
    pub(super) fn remove(&mut self, job: &str) {
        self.first_rejected_at.remove(job);
    }

    /// Records the rejection of a poll of the job, and returns the seconds after which to retry. Each
    /// retry gets a separate slot, which spreads the retries over time.
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
