//! Pending polls: their order, their timeouts, and the rejection of those beyond the rate limit.

use super::record_keys::RecordKey;
use super::retry_schedule::RetrySchedule;
use super::types::{PendingPoll, PollEffect};
use crate::coordination::requests::answers::{Answer, RetryReason};
use crate::coordination::Time;

/// A poll that can't be answered before a record is read.
pub(super) struct AwaitingPoll {
    pub(super) poll: PendingPoll,
    /// The record.
    pub(super) key: RecordKey,
}

/// The polls of a node that are not answered yet, but for those that are being compared.
pub(super) struct PollQueue {
    to_compare: Vec<PendingPoll>,
    awaiting_read: Vec<AwaitingPoll>,
    retries: RetrySchedule,
    /// No poll expires before this.
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

    /// The number of polls that are to be compared.
    pub(super) fn len_to_compare(&self) -> usize {
        self.to_compare.len()
    }

    /// Adds a poll that is to be compared.
    pub(super) fn push(&mut self, poll: PendingPoll) {
        self.next_expiry_at = self.next_expiry_at.min(poll.expires_at());
        self.to_compare.push(poll);
    }

    /// Adds a poll for which a record is to be read first.
    pub(super) fn push_awaiting(&mut self, poll: PendingPoll, key: RecordKey) {
        self.next_expiry_at = self.next_expiry_at.min(poll.expires_at());
        self.awaiting_read.push(AwaitingPoll { poll, key });
    }

    /// Removes all polls that are to be compared, in their order: first those rejected longest ago,
    /// then those enqueued longest ago.
    pub(super) fn take_ordered(&mut self) -> Vec<PendingPoll> {
        let mut polls = std::mem::take(&mut self.to_compare);
        let pending_since = |pending: &PendingPoll| {
            self.retries
                .pending_since(&pending.poll.job, pending.enqueued_at)
        };
        polls.sort_by(|a, b| pending_since(a).total_cmp(&pending_since(b)));
        polls
    }

    /// Removes the polls whose records match.
    pub(super) fn take_awaiting(
        &mut self,
        is_match: impl Fn(&RecordKey) -> bool,
    ) -> Vec<AwaitingPoll> {
        drain_matching(&mut self.awaiting_read, |awaiting| is_match(&awaiting.key))
    }

    /// Removes all polls.
    pub(super) fn take_all(&mut self) -> Vec<PendingPoll> {
        let mut polls = std::mem::take(&mut self.to_compare);
        let awaiting = std::mem::take(&mut self.awaiting_read).into_iter();
        polls.extend(awaiting.map(|awaiting| awaiting.poll));
        polls
    }

    /// Answers a poll that was removed.
    pub(super) fn answer(&mut self, pending: &PendingPoll, answer: Answer) -> PollEffect {
        self.forget_rejections(&pending.poll.job);
        PollEffect::Answer(pending.id, answer)
    }

    /// The next poll of the job takes no precedence: one has been answered.
    pub(super) fn forget_rejections(&mut self, job: &str) {
        self.retries.remove(job);
    }

    /// Rejects a poll that was removed.
    pub(super) fn reject(&mut self, pending: &PendingPoll, now: Time) -> PollEffect {
        let retry_after_s = self.retries.reject(&pending.poll.job, now);
        let reason = RetryReason::TooManyPolls { retry_after_s };
        PollEffect::Answer(pending.id, Answer::RetryLater(reason))
    }

    /// Rejects polls that were removed.
    pub(super) fn reject_all(&mut self, polls: &[PendingPoll], now: Time) -> Vec<PollEffect> {
        polls.iter().map(|poll| self.reject(poll, now)).collect()
    }

    /// Rejects the polls whose timeout has passed; the records that they await are read all the same.
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

    /// Keeps at most `max_len` polls that are to be compared, and rejects the last in order.
    pub(super) fn reject_excess(&mut self, max_len: usize, now: Time) -> Vec<PollEffect> {
        if self.to_compare.len() <= max_len {
            return Vec::new();
        }
        self.to_compare = self.take_ordered();
        let excess = self.to_compare.split_off(max_len);
        self.reject_all(&excess, now)
    }
}

/// Removes the matching elements; both parts keep their order.
fn drain_matching<T>(list: &mut Vec<T>, is_match: impl Fn(&T) -> bool) -> Vec<T> {
    let (matching, rest) = std::mem::take(list).into_iter().partition(is_match);
    *list = rest;
    matching
}
