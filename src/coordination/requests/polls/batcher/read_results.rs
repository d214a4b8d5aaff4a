//! What the records that were read say to the polls that have waited for them.

use super::read_queue::{self as reads, is_covered, Found, Read, RecordKind};
use super::{take_where, Effect, PollBatcher, WaitingPoll};
use crate::coordination::requests::answers::without_counts;
use crate::coordination::requests::step::StoreAnswer;
use crate::coordination::requests::Answer;
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::key_value_store::Unavailable;
use std::collections::HashSet;

impl PollBatcher {
    pub(super) fn one_read(&mut self, read: &Read, answer: StoreAnswer, now: Time) -> Vec<Effect> {
        match reads::found_one(read.kind, answer) {
            Ok(Some(found)) => {
                let mut effects = self.learn(vec![(read.job.clone(), found)]);
                effects.extend(self.answer_readers(|r| r == read));
                effects
            }
            Ok(None) => self.not_found(read.kind, |r| r == read, now),
            Err(Unavailable) => self.read_failed(read, now),
        }
    }

    pub(super) fn page_read(
        &mut self,
        first: &Read,
        answer: StoreAnswer,
        now: Time,
    ) -> Vec<Effect> {
        let Ok(page) = reads::found_page(first.kind, answer) else {
            return self.read_failed(first, now);
        };
        let last = page.last.as_deref();
        self.reads.covered(first, last);
        let is_told =
            |read: &Read| read.kind == first.kind && is_covered(&read.job, &first.job, last);
        let found: HashSet<String> = page.found.iter().map(|(job, _)| job.clone()).collect();
        let mut effects = self.learn(page.found);
        effects.extend(self.answer_readers(|r| is_told(r) && found.contains(&r.job)));
        effects.extend(self.not_found(first.kind, is_told, now));
        effects
    }

    /// Remembers what records say; the ends that they tell of, together.
    fn learn(&mut self, records: Vec<(String, Found)>) -> Vec<Effect> {
        let mut ends = Vec::new();
        for (job, found) in records {
            let end = match found {
                Found::Ended(state) => Some(state),
                Found::Open {
                    waits_on,
                    cancelled,
                } => {
                    self.known.accepted(&job, &waits_on);
                    cancelled.then_some(JobState::Cancelled)
                }
            };
            if let Some(state) = end {
                self.known.ended(&job, state);
                ends.push((job, state));
            }
        }
        if ends.is_empty() {
            Vec::new()
        } else {
            vec![Effect::Ended(ends)]
        }
    }

    /// Answers the polls whose records are known now. An open job was open when it was compared;
    /// what it waits for is compared next.
    fn answer_readers(&mut self, is_known: impl Fn(&Read) -> bool) -> Vec<Effect> {
        let mut effects = Vec::new();
        for poll in self.take_reading(is_known) {
            let job = &poll.poll.job;
            let state = match self.known.end(job) {
                Some(state) => state,
                None if self.known.waits_for_nothing(job) => JobState::Pending,
                None => {
                    self.wait(poll);
                    continue;
                }
            };
            let status = without_counts(job, state);
            effects.push(self.answer(&poll, Answer::Known(status)));
        }
        effects
    }

    /// A description that was there when it was compared has gone with the job's end. An end never
    /// goes: it can't be read.
    fn not_found(
        &mut self,
        kind: RecordKind,
        is_missing: impl Fn(&Read) -> bool,
        now: Time,
    ) -> Vec<Effect> {
        let missing = take_where(&mut self.reading, |(_, read)| is_missing(read));
        if kind == RecordKind::End {
            let polls = missing.into_iter().map(|(poll, _)| poll).collect();
            return self.turn_all_away(polls, now);
        }
        for (poll, read) in missing {
            self.read_for(poll, Read::end(&read.job));
        }
        Vec::new()
    }

    /// It is read again for those that ask again.
    fn read_failed(&mut self, read: &Read, now: Time) -> Vec<Effect> {
        self.reads.add(read);
        let polls = self.take_reading(|r| r == read);
        self.turn_all_away(polls, now)
    }

    fn take_reading(&mut self, is_read: impl Fn(&Read) -> bool) -> Vec<WaitingPoll> {
        let taken = take_where(&mut self.reading, |(_, read)| is_read(read));
        taken.into_iter().map(|(poll, _)| poll).collect()
    }
}
