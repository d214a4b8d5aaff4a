//! Polls that the node's share of requests does not suffice for.

use super::{Effect, PollBatcher, WaitingPoll, COMPARISONS_SHARE, PATIENCE_S};
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

    /// Those that have waited for too long; what is to be read for them still is.
    pub(super) fn turn_overdue_away(&mut self, now: Time) -> Vec<Effect> {
        if now < self.overdue_at {
            return Vec::new();
        }
        let is_overdue = |poll: &WaitingPoll| now >= poll.overdue_at();
        let (mut overdue, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_overdue);
        self.waiting = waiting;
        let (late, reading): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reading)
            .into_iter()
            .partition(|(poll, _)| is_overdue(poll));
        self.reading = reading;
        overdue.extend(late.into_iter().map(|(poll, _)| poll));
        let left = self
            .waiting
            .iter()
            .chain(self.reading.iter().map(|(poll, _)| poll));
        self.overdue_at = left
            .map(WaitingPoll::overdue_at)
            .fold(Time::INFINITY, Time::min);
        let turned_away = overdue.into_iter();
        turned_away.map(|poll| self.turn_away(poll, now)).collect()
    }

    /// More than can be compared within the patience of a poll: the last in order go at once.
    pub(super) fn turn_excess_away(&mut self, now: Time) -> Vec<Effect> {
        let to_come = self.limits.requests_per_s * PATIENCE_S;
        let requests = self.requests.level(now) + to_come;
        let comparisons = (COMPARISONS_SHARE * requests).ceil() as usize;
        let most = comparisons * (self.limits.conditions / 2).max(1);
        if self.waiting.len() <= most {
            return Vec::new();
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        self.sort_by_rank(&mut waiting);
        let excess = waiting.split_off(most);
        self.waiting = waiting;
        let turned_away = excess.into_iter();
        turned_away.map(|poll| self.turn_away(poll, now)).collect()
    }
}
