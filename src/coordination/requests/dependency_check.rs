//! Checking the dependencies of a submitted job in the DAG of jobs.

use super::dependency_search::is_end_cancelled;
use super::job_lookup::JobLookup;
use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::JobSpec;
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{final_state_key, open_key};
use std::collections::VecDeque;

/// Checks that all jobs that a submission depends on were accepted. One transaction compares the
/// records of several of them: an open record is deleted by the transaction that writes the end
/// record, so that a job without either was never accepted.
pub(super) struct DependencyCheck {
    /// Dependencies that are not compared yet, in chunks that fit a transaction.
    chunks: VecDeque<Vec<String>>,
    /// Dependencies that are compared, but not evaluated yet.
    compared: VecDeque<String>,
    /// The keys that the last comparison found to be present.
    present_keys: Vec<String>,
    /// Whether a cancelled dependency was found. All others are evaluated nevertheless: one that was
    /// never accepted takes precedence.
    has_cancelled: bool,
    state: State,
}

enum State {
    Comparing,
    ReadingEnd,
    /// Neither record was present.
    LookingUp {
        job: String,
        lookup: JobLookup,
    },
}

/// The result of a [`DependencyCheck`].
#[derive(Debug)]
pub(super) enum DependencyStatus {
    /// All dependencies were accepted, and none is recorded as cancelled.
    Accepted,
    /// A dependency was never accepted, or is the job itself; with the reason for the user.
    Invalid(String),
    /// A dependency is cancelled, and so will be the job.
    Cancelled,
}

impl DependencyCheck {
    /// Starts the check of a job; a transaction takes at most `max_compares` compares.
    pub(super) fn begin(
        spec: &JobSpec,
        max_compares: usize,
    ) -> (DependencyCheck, Step<DependencyStatus>) {
        // Two compares a job: its open record and its end record.
        let chunk_len = (max_compares / 2).max(1);
        let chunks = spec.waits_on.chunks(chunk_len);
        let mut check = DependencyCheck {
            chunks: chunks.map(<[String]>::to_vec).collect(),
            compared: VecDeque::new(),
            present_keys: Vec::new(),
            has_cancelled: false,
            state: State::Comparing,
        };
        let step = if spec.waits_on.contains(&spec.id) {
            let reason = "waits_on: names the job itself".to_string();
            Step::Finished(DependencyStatus::Invalid(reason))
        } else {
            check.evaluate_next()
        };
        (check, step)
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<DependencyStatus> {
        match &mut self.state {
            State::Comparing => self.present_keys = present_keys(answer.commit_outcome())?,
            State::ReadingEnd => self.has_cancelled |= is_end_cancelled(answer)?,
            State::LookingUp { job, lookup } => match lookup.on_answer(answer)? {
                Step::Call(call) => return Ok(Step::Call(call)),
                Step::Finished(None) => {
                    let reason = format!("waits_on: {job} was never accepted");
                    return Ok(Step::Finished(DependencyStatus::Invalid(reason)));
                }
                Step::Finished(Some(_)) => {}
            },
        }
        Ok(self.evaluate_next())
    }

    /// Evaluates the compared dependencies up to the next one that needs a call.
    fn evaluate_next(&mut self) -> Step<DependencyStatus> {
        while let Some(job) = self.compared.pop_front() {
            let end = final_state_key(&job);
            if self.present_keys.contains(&end) {
                self.state = State::ReadingEnd;
                return Step::Call(StoreCall::Read(end));
            }
            if !self.present_keys.contains(&open_key(&job)) {
                let (lookup, call) = JobLookup::begin(&job);
                self.state = State::LookingUp { job, lookup };
                return Step::Call(call);
            }
        }
        self.compare_next_chunk()
    }

    fn compare_next_chunk(&mut self) -> Step<DependencyStatus> {
        let Some(jobs) = self.chunks.pop_front() else {
            return Step::Finished(if self.has_cancelled {
                DependencyStatus::Cancelled
            } else {
                DependencyStatus::Accepted
            });
        };
        let transaction = jobs
            .iter()
            .fold(Transaction::default(), |transaction, job| {
                transaction
                    .absent(open_key(job))
                    .absent(final_state_key(job))
            });
        self.compared = jobs.into();
        self.state = State::Comparing;
        Step::Call(StoreCall::Commit(transaction))
    }
}

/// The keys that a comparison found although it expected them to be absent.
fn present_keys(outcome: CommitOutcome) -> Result<Vec<String>, StepError> {
    match outcome {
        CommitOutcome::Conflict(present) => Ok(present),
        CommitOutcome::Applied(_) => Ok(Vec::new()),
        CommitOutcome::RateLimited => Err(StepError::RateLimited),
        CommitOutcome::Indeterminate
        | CommitOutcome::Rejected
        | CommitOutcome::TooLarge
        | CommitOutcome::LeaseExpired => Err(StepError::Unavailable),
    }
}
