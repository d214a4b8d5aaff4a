//! The queue of pending polls: their order, timeouts and rejection beyond the rate limit.

use super::record_keys::RecordKey;
use super::retry_schedule::RetrySchedule;
use super::types::{PendingPoll, PollEffect};
use crate::coordination::requests::answers::{Answer, RetryReason};
use crate::coordination::Time;

/// A poll that waits for the read of a record.
pub(super) struct AwaitingPoll {
    pub(super) poll: PendingPoll,
    /// The record to be read.
    pub(super) key: RecordKey,
}

/// The polls that are not answered yet, except those in the comparison in flight.
pub(super) struct PollQueue {
    to_compare: Vec<PendingPoll>,
    awaiting_read: Vec<AwaitingPoll>,
    retries: RetrySchedule,
    /// The earliest time at which a poll can expire.
    next_expiry_at: Time,
}

impl PollQueue {
    /// An empty queue.
    pub(super) fn new(retries: RetrySchedule) -> PollQueue {
        PollQueue {
            to_compare: Vec::new(),
            awaiting_read: Vec::new(),
            retries,
            next_expiry_at: Time::INFINITY,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.to_compare.is_empty() && self.awaiting_read.is_empty()
    }

    /// The number of polls to compare.
    pub(super) fn len_to_compare(&self) -> usize {
        self.to_compare.len()
    }

    /// Adds a poll to compare.
    pub(super) fn push(&mut self, poll: PendingPoll) {
        self.next_expiry_at = self.next_expiry_at.min(poll.expires_at());
        self.to_compare.push(poll);
    }

    /// Adds a poll that waits for the read of a record.
    pub(super) fn push_awaiting(&mut self, poll: PendingPoll, key: RecordKey) {
        self.next_expiry_at = self.next_expiry_at.min(poll.expires_at());
        self.awaiting_read.push(AwaitingPoll { poll, key });
    }

    /// Removes and returns all polls to compare, oldest first. A poll of a job whose polls were rejected
    /// counts from the first rejection, any other poll from when it was enqueued.
    pub(super) fn take_ordered(&mut self) -> Vec<PendingPoll> {
        let mut polls = std::mem::take(&mut self.to_compare);
        let pending_since = |pending: &PendingPoll| {
            self.retries
                .pending_since(&pending.poll.job, pending.enqueued_at)
        };
        polls.sort_by(|a, b| pending_since(a).total_cmp(&pending_since(b)));
        polls
    }

    /// Removes and returns the polls that wait for a matching record.
    pub(super) fn take_awaiting(
        &mut self,
        is_match: impl Fn(&RecordKey) -> bool,
    ) -> Vec<AwaitingPoll> {
        drain_matching(&mut self.awaiting_read, |awaiting| is_match(&awaiting.key))
    }

    /// Removes and returns all polls.
    pub(super) fn take_all(&mut self) -> Vec<PendingPoll> {
        let mut polls = std::mem::take(&mut self.to_compare);
        let awaiting = std::mem::take(&mut self.awaiting_read).into_iter();
        polls.extend(awaiting.map(|awaiting| awaiting.poll));
        polls
    }

    /// Answers a poll that was removed from the queue.
    pub(super) fn answer(&mut self, pending: &PendingPoll, answer: Answer) -> PollEffect {
        self.forget_rejections(&pending.poll.job);
        PollEffect::Answer(pending.id, answer)
    }

    /// Discards the precedence of the job's polls, since one was answered.
    pub(super) fn forget_rejections(&mut self, job: &str) {
        self.retries.remove(job);
    }

    /// Rejects a poll that was removed from the queue.
    pub(super) fn reject(&mut self, pending: &PendingPoll, now: Time) -> PollEffect {
        let retry_after_s = self.retries.reject(&pending.poll.job, now);
        let reason = RetryReason::TooManyPolls { retry_after_s };
        PollEffect::Answer(pending.id, Answer::RetryLater(reason))
    }

    /// Rejects polls that were removed from the queue.
    pub(super) fn reject_all(&mut self, polls: &[PendingPoll], now: Time) -> Vec<PollEffect> {
        polls.iter().map(|poll| self.reject(poll, now)).collect()
    }

    /// Rejects the polls whose timeout has passed. The records that they wait for are still read, for
    /// their retries.
    pub(super) fn reject_expired(&mut self, now: Time) -> Vec<PollEffect> {
        if now < self.next_expiry_at {
            return Vec::new();
        }
        let is_expired = |poll: &PendingPoll| now >= poll.expires_at();
        let mut expired = drain_matching(&mut self.to_compare, is_expired);
        let awaiting = drain_matching(&mut self.awaiting_read, |awaiting| {
            is_expired(&awaiting.poll)
        });
        expired.extend(awaiting.into_iter().map(|awaiting| awaiting.poll));
        let awaiting = self.awaiting_read.iter().map(|awaiting| &awaiting.poll);
        self.next_expiry_at = self
            .to_compare
            .iter()
            .chain(awaiting)
            .map(PendingPoll::expires_at)
            .fold(Time::INFINITY, Time::min);
        self.reject_all(&expired, now)
    }

    /// Keeps the first `max_len` polls to compare, in their order, and rejects the rest.
    pub(super) fn reject_excess(&mut self, max_len: usize, now: Time) -> Vec<PollEffect> {
        if self.to_compare.len() <= max_len {
            return Vec::new();
        }
        self.to_compare = self.take_ordered();
        let excess = self.to_compare.split_off(max_len);
        self.reject_all(&excess, now)
    }
}

/// Removes and returns the matching elements. Both parts keep their order.
fn drain_matching<T>(list: &mut Vec<T>, is_match: impl Fn(&T) -> bool) -> Vec<T> {
    let (matching, rest) = std::mem::take(list).into_iter().partition(is_match);
    *list = rest;
    matching
}
