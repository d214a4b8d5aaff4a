//! Polls that the node's share of requests does not suffice for.

use super::{take_where, Effect, PollBatcher, WaitingPoll, COMPARISONS_SHARE, PATIENCE_S};
use crate::coordination::requests::{Answer, Reason};
use crate::coordination::Time;

impl PollBatcher {
    /// Those first that have been turned away longest, then those that have waited longest.
    pub(super) fn sort_by_rank(&self, polls: &mut [WaitingPoll]) {
        let rank = |w: &WaitingPoll| self.retries.rank(&w.poll.job, w.since);
        polls.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    }

    pub(super) fn turn_away(&mut self, poll: WaitingPoll, now: Time) -> Effect {
        let retry_after_s = self.retries.turn_away(&poll.poll.job, now);
        let reason = Reason::TooManyPolls { retry_after_s };
        Effect::Answer(poll.number, Answer::Later(reason))
    }

    pub(super) fn turn_all_away(&mut self, polls: Vec<WaitingPoll>, now: Time) -> Vec<Effect> {
        let polls = polls.into_iter();
        polls.map(|poll| self.turn_away(poll, now)).collect()
    }

    /// Those that have waited for too long; what is to be read for them still is.
    pub(super) fn turn_overdue_away(&mut self, now: Time) -> Vec<Effect> {
        if now < self.overdue_at {
            return Vec::new();
        }
        let is_overdue = |poll: &WaitingPoll| now >= poll.overdue_at();
        let mut overdue = take_where(&mut self.waiting, is_overdue);
        let reading = take_where(&mut self.reading, |(poll, _)| is_overdue(poll));
        overdue.extend(reading.into_iter().map(|(poll, _)| poll));
        let left = self
            .waiting
            .iter()
            .chain(self.reading.iter().map(|(poll, _)| poll));
        self.overdue_at = left
            .map(WaitingPoll::overdue_at)
            .fold(Time::INFINITY, Time::min);
        self.turn_all_away(overdue, now)
    }

    /// More than can be compared within the patience of a poll: the last in order go at once.
    pub(super) fn turn_excess_away(&mut self, now: Time) -> Vec<Effect> {
        let to_come = self.limits.requests_per_s * PATIENCE_S;
        let requests = self.requests.level(now) + to_come;
        let comparisons = (COMPARISONS_SHARE * requests).ceil() as usize;
        let most = comparisons * self.limits.polls_a_comparison();
        if self.waiting.len() <= most {
            return Vec::new();
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        self.sort_by_rank(&mut waiting);
        let excess = waiting.split_off(most);
        self.waiting = waiting;
        self.turn_all_away(excess, now)
    }
}
