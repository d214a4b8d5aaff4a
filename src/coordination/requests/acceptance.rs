//! Accepting a job by writing its first record.

use super::context::MAX_ATTEMPTS;
use super::job_lookup::{JobLookup, RecordedState};
use super::step::{has_version_changed, Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{final_state_key, open_key};
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;

/// Writes the first record of a job, on condition that the job has no record yet. This makes
/// submissions idempotent: a repeated one conflicts, and looks up the job.
pub(super) struct Acceptance {
    job: String,
    transaction: Transaction,
    attempts: usize,
    /// The lookup of the job after a conflict.
    lookup: Option<JobLookup>,
}

/// The outcome of an [`Acceptance`].
pub(super) enum AcceptanceOutcome {
    /// This request has accepted the job.
    Created {
        /// The version of the record that was written.
        version: u64,
    },
    /// The job was accepted before, possibly by an earlier attempt of this request whose response was
    /// lost. Holds what its records say; a record that was just written may not be readable yet.
    Duplicate(RecordedState),
}

impl Acceptance {
    /// Starts writing the record `value` at `key`.
    pub(super) fn begin(
        job: &str,
        key: String,
        value: Value,
        write_fence: &WriteFence,
    ) -> (Acceptance, StoreCall) {
        let transaction = Transaction::at_version(write_fence)
            .absent(open_key(job))
            .absent(final_state_key(job))
            .put(key, value);
        let acceptance = Acceptance {
            job: job.to_string(),
            transaction,
            attempts: 1,
            lookup: None,
        };
        let call = acceptance.commit();
        (acceptance, call)
    }

    fn commit(&self) -> StoreCall {
        StoreCall::Commit(self.transaction.clone())
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<AcceptanceOutcome> {
        if let Some(lookup) = &mut self.lookup {
            return Ok(lookup.on_answer(answer)?.map(AcceptanceOutcome::Duplicate));
        }
        match answer.commit_outcome() {
            CommitOutcome::Applied(version) => {
                Ok(Step::Finished(AcceptanceOutcome::Created { version }))
            }
            CommitOutcome::Conflict(failed) if has_version_changed(&failed) => {
                Err(StepError::VersionChanged)
            }
            CommitOutcome::Conflict(_) => {
                let (lookup, call) = JobLookup::begin(&self.job);
                self.lookup = Some(lookup);
                Ok(Step::Call(call))
            }
            CommitOutcome::Indeterminate if self.attempts < MAX_ATTEMPTS => {
                self.attempts += 1;
                Ok(Step::Call(self.commit()))
            }
            CommitOutcome::RateLimited => Err(StepError::RateLimited),
            CommitOutcome::Indeterminate
            | CommitOutcome::Rejected
            | CommitOutcome::TooLarge
            | CommitOutcome::LeaseExpired => Err(StepError::Unavailable),
        }
    }
}
