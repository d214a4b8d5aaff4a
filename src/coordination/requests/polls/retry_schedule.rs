//! Polls that were turned away: when they are worth repeating, and that they then come first.

use crate::coordination::Time;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The longest time that a poll is told to stay away: as long as users stay away by themselves. Who
/// comes back later, at another node, waits longer than it need.
const MAX_RETRY_AFTER_S: f64 = 5.0;
const MIN_RETRY_AFTER_S: f64 = 1.0;

/// Since when jobs wait for an answer, bounded in number.
pub(super) struct Retries {
    most: usize,
    since: HashMap<Arc<str>, Time>,
    /// In the order of their times; with some that were answered since.
    order: VecDeque<(Arc<str>, Time)>,
    /// Seconds between two polls that can be answered.
    spacing_s: f64,
    next_slot: Time,
}

impl Retries {
    pub(super) fn new(most: usize, polls_per_s: f64) -> Retries {
        Retries {
            most: most.max(1),
            since: HashMap::new(),
            order: VecDeque::new(),
            spacing_s: 1.0 / polls_per_s.max(1.0),
            next_slot: 0.0,
        }
    }

    /// Polls are answered in the order of this: when the job was first turned away, or else came.
    pub(super) fn rank(&self, job: &str, came: Time) -> Time {
        self.since.get(job).copied().unwrap_or(came)
    }

    pub(super) fn answered(&mut self, job: &str) {
        self.since.remove(job);
    }

    /// Notes that a poll of the job is turned away; seconds after which it will be answered. Each
    /// gets a slot of its own, so that they do not come together.
    pub(super) fn turn_away(&mut self, job: &str, now: Time) -> u32 {
        if !self.since.contains_key(job) {
            let job: Arc<str> = job.into();
            self.since.insert(job.clone(), now);
            self.order.push_back((job, now));
            self.forget_oldest();
        }
        let slot = self.next_slot.max(now + MIN_RETRY_AFTER_S);
        let slot = slot.min(now + MAX_RETRY_AFTER_S);
        self.next_slot = slot + self.spacing_s;
        (slot - now).ceil().min(MAX_RETRY_AFTER_S) as u32
    }

    fn forget_oldest(&mut self) {
        while self.order.len() > self.most {
            let Some((job, since)) = self.order.pop_front() else {
                return;
            };
            if self.since.get(&job) == Some(&since) {
                self.since.remove(&job);
            }
        }
    }
}
