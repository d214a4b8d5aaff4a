//! What has become of the jobs that a submission waits for.

use super::job_lookup::{is_cancelled, Lookup};
use super::step::{Progress, Step, Stop, StoreAnswer, StoreCall};
use crate::protocol::job::JobSpec;
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{end_key, open_key};
use std::collections::VecDeque;

/// Compares the records of all jobs that a submission names: one request tells for several, since a
/// description goes in the same transaction as the end comes.
pub(super) struct Prerequisites {
    /// Those not compared yet, as many together as a transaction takes.
    chunks: VecDeque<Vec<String>>,
    /// Those compared that are still to be looked at, and the keys that were there.
    compared: VecDeque<String>,
    present: Vec<String>,
    /// All are looked at: one that was never accepted weighs more than a cancelled one.
    cancelled: bool,
    stage: Stage,
}

enum Stage {
    Comparing,
    ReadingEnd,
    /// Neither record was there.
    LookingUp(String, Lookup),
}

/// What a submission names to wait for.
#[derive(Debug)]
pub(super) enum Needed {
    /// All of it was accepted, and none cancelled as far as is on record.
    Accepted,
    /// Some of it never was, or can't be waited for: why.
    Never(String),
    Cancelled,
}

impl Prerequisites {
    pub(super) fn begin(spec: &JobSpec, conditions: usize) -> (Prerequisites, Step<Needed>) {
        let at_once = (conditions / 2).max(1);
        let chunks = spec.waits_on.chunks(at_once);
        let mut prerequisites = Prerequisites {
            chunks: chunks.map(<[String]>::to_vec).collect(),
            compared: VecDeque::new(),
            present: Vec::new(),
            cancelled: false,
            stage: Stage::Comparing,
        };
        let step = if spec.waits_on.contains(&spec.id) {
            Step::Finished(Needed::Never("waits_on: names the job itself".into()))
        } else {
            prerequisites.next()
        };
        (prerequisites, step)
    }

    /// Goes on with the next job that was compared, or compares more.
    fn next(&mut self) -> Step<Needed> {
        while let Some(job) = self.compared.pop_front() {
            let end = end_key(&job);
            if self.present.contains(&end) {
                self.stage = Stage::ReadingEnd;
                return Step::Call(StoreCall::Read(end));
            }
            if !self.present.contains(&open_key(&job)) {
                let (lookup, call) = Lookup::begin(&job);
                self.stage = Stage::LookingUp(job, lookup);
                return Step::Call(call);
            }
        }
        self.compare()
    }

    fn compare(&mut self) -> Step<Needed> {
        let Some(jobs) = self.chunks.pop_front() else {
            return Step::Finished(if self.cancelled {
                Needed::Cancelled
            } else {
                Needed::Accepted
            });
        };
        let none = Transaction::default();
        let transaction = jobs.iter().fold(none, |transaction, job| {
            transaction.absent(open_key(job)).absent(end_key(job))
        });
        self.compared = jobs.into();
        self.stage = Stage::Comparing;
        Step::Call(StoreCall::Commit(transaction))
    }

    pub(super) fn on(&mut self, answer: StoreAnswer) -> Progress<Needed> {
        match &mut self.stage {
            Stage::Comparing => {
                self.present = match answer.outcome() {
                    CommitOutcome::Conflict(present) => present,
                    CommitOutcome::Applied(_) => Vec::new(),
                    CommitOutcome::Limited => return Err(Stop::Limited),
                    _ => return Err(Stop::Unavailable),
                };
            }
            Stage::ReadingEnd => self.cancelled |= is_cancelled(answer)?,
            Stage::LookingUp(job, lookup) => match lookup.on(answer)? {
                Step::Call(call) => return Ok(Step::Call(call)),
                Step::Finished(None) => {
                    let why = format!("waits_on: {job} was never accepted");
                    return Ok(Step::Finished(Needed::Never(why)));
                }
                Step::Finished(Some(_)) => {}
            },
        }
        Ok(self.next())
    }
}
