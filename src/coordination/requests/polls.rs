//! Users' polls of open jobs, confirmed together.
//!
//! The leader's picture may lack a cancellation that another node has told a user of, and nobody
//! may answer with an older state after that. So the recorded ends of all jobs that are asked about
//! within a moment are compared in one transaction that changes nothing.

use super::answers::without_counts;
use super::steps::{StoreAnswer, StoreCall};
use super::{Answer, Reason};
use crate::bookkeeping::records::{end_key, EndRecord};
use crate::bookkeeping::store::{Outcome, Unavailable};
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::store::Transaction;
use std::collections::VecDeque;

/// What a confirmation asks its driver to do. Polls bear their numbers in the batch.
#[derive(Debug)]
pub enum Effect {
    /// Call the state service: [`Confirmation::on`].
    Store(StoreCall),
    /// The end of a poll's job is on record. Comes before its answer.
    Ended(usize, JobState),
    Answer(usize, Answer),
}

/// A batch of polls that are answered with what the leader knows, unless the job's end is on record.
pub struct Confirmation {
    polls: Vec<JobStatus>,
    /// Those whose ends are on record and are yet to be read.
    ended: VecDeque<usize>,
    compared: bool,
}

impl Confirmation {
    pub fn begin(polls: Vec<JobStatus>) -> (Confirmation, Vec<Effect>) {
        let none = Transaction::default();
        let transaction = polls.iter().fold(none, |transaction, status| {
            transaction.absent(end_key(&status.id))
        });
        let confirmation = Confirmation {
            polls,
            ended: VecDeque::new(),
            compared: false,
        };
        let call = StoreCall::Commit(transaction);
        (confirmation, vec![Effect::Store(call)])
    }

    /// Takes the answer to the last call; returns what to do next.
    pub fn on(&mut self, answer: StoreAnswer) -> Vec<Effect> {
        let mut effects = match self.compared {
            false => self.ends_compared(answer.outcome()),
            true => self.end_read(answer),
        };
        effects.extend(self.read_next());
        effects
    }

    fn ends_compared(&mut self, outcome: Outcome) -> Vec<Effect> {
        self.compared = true;
        let present = match outcome {
            Outcome::Applied(_) => Vec::new(),
            Outcome::Conflict(present) => present,
            Outcome::Refused | Outcome::TooLarge | Outcome::NoLease | Outcome::Unknown => {
                return (0..self.polls.len()).map(later).collect();
            }
        };
        let mut confirmed = Vec::new();
        for (i, status) in self.polls.iter().enumerate() {
            if present.contains(&end_key(&status.id)) {
                self.ended.push_back(i);
            } else {
                confirmed.push(Effect::Answer(i, Answer::Known(status.clone())));
            }
        }
        confirmed
    }

    fn read_next(&self) -> Option<Effect> {
        let poll = *self.ended.front()?;
        let key = end_key(&self.polls[poll].id);
        Some(Effect::Store(StoreCall::Read(key)))
    }

    fn end_read(&mut self, answer: StoreAnswer) -> Vec<Effect> {
        let Some(poll) = self.ended.pop_front() else {
            return Vec::new();
        };
        match answer.value::<EndRecord>() {
            Ok(Some((end, _))) => {
                let status = without_counts(&self.polls[poll].id, end.state);
                let ended = Effect::Ended(poll, end.state);
                vec![ended, Effect::Answer(poll, Answer::Known(status))]
            }
            Ok(None) | Err(Unavailable) => vec![later(poll)],
        }
    }
}

fn later(poll: usize) -> Effect {
    Effect::Answer(poll, Answer::Later(Reason::NoStateService))
}
