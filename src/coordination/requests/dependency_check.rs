//! Checks the dependencies of a submitted job.

use super::job_lookup::{JobLookup, RecordedState};
use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::{CommitOutcome, Unavailable};
use crate::storage::records::{final_state_key, open_key, FinalStateRecord};
use std::collections::VecDeque;

/// Checks that all dependencies of a submission were accepted. One transaction compares the records of
/// several dependencies. The open record is not deleted before the final state record is written, so
/// a job with neither record was never accepted.
pub(super) struct DependencyCheck {
    /// Dependencies that have not been compared, in chunks that fit in a transaction.
    chunks: VecDeque<Vec<String>>,
    /// Dependencies that have been compared but not evaluated.
    compared: VecDeque<String>,
    /// The keys that the last comparison found present.
    present_keys: Vec<String>,
    /// Whether a cancelled dependency was found. The other dependencies are still evaluated: one that
    /// was never accepted takes precedence.
    has_cancelled: bool,
    state: State,
}

enum State {
    Comparing,
    ReadingFinal,
    /// The comparison found neither record.
    LookingUp {
        job: String,
        lookup: JobLookup,
    },
}

/// The result of a [`DependencyCheck`].
#[derive(Debug)]
pub(super) enum DependencyStatus {
    /// All dependencies were accepted and none is recorded as cancelled.
    Accepted,
    /// A dependency was never accepted or is the job itself. Holds the reason for the user.
    Invalid(String),
    /// A dependency is cancelled, so the job has to be cancelled.
    Cancelled,
}

impl DependencyStatus {
    /// The status of a submission that names a job which was never accepted.
    pub(super) fn never_accepted(job: &str) -> DependencyStatus {
        DependencyStatus::Invalid(format!("waits_on: job {job} was never accepted"))
    }
}

impl DependencyCheck {
    /// Starts the check of a job. A transaction has at most `max_compares` compares.
    pub(super) fn begin(
        spec: &JobSpec,
        max_compares: usize,
    ) -> (DependencyCheck, Step<DependencyStatus>) {
        // Two compares per job: its open record and its final state record.
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
            let reason = "waits_on: a job cannot depend on itself".to_string();
            Step::Finished(DependencyStatus::Invalid(reason))
        } else {
            check.evaluate_next()
        };
        (check, step)
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<DependencyStatus> {
        match &mut self.state {
            State::Comparing => self.present_keys = present_keys(answer.commit_outcome())?,
            State::ReadingFinal => self.has_cancelled |= is_cancelled(answer)?,
            State::LookingUp { job, lookup } => match lookup.on_answer(answer)? {
                Step::Call(call) => return Ok(Step::Call(call)),
                Step::Finished(RecordedState::NeverAccepted) => {
                    return Ok(Step::Finished(DependencyStatus::never_accepted(job)));
                }
                Step::Finished(RecordedState::Open { .. } | RecordedState::Finished(_)) => {}
            },
        }
        Ok(self.evaluate_next())
    }

    /// Evaluates the compared dependencies until one needs a call to the state service.
    fn evaluate_next(&mut self) -> Step<DependencyStatus> {
        while let Some(job) = self.compared.pop_front() {
            let key = final_state_key(&job);
            if self.present_keys.contains(&key) {
                self.state = State::ReadingFinal;
                return Step::Call(StoreCall::Read(key));
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

/// Whether the final state record that was read is that of a cancelled job.
///
/// # Errors
///
/// [`Unavailable`] if the record could not be read.
fn is_cancelled(answer: StoreAnswer) -> Result<bool, Unavailable> {
    let found = answer.decode::<FinalStateRecord>()?;
    Ok(found.is_some_and(|found| found.record.state == JobState::Cancelled))
}

/// The keys that a comparison found present.
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
