//! Cancellations. One transaction writes the final state record of an open job and marks its open
//! record as cancelled. The open record is kept until the leader has released the job's allocations.

use super::answers::{status_without_counts, Answer};
use super::context::{Context, MAX_ATTEMPTS};
use super::job_lookup::{JobLookup, RecordedState};
use super::step::{has_version_changed, Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall, VersionedRecord};
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// Records that a job is cancelled, unless it is finished.
pub(super) struct Cancellation {
    job: String,
    now_ms: u64,
    max_record_bytes: usize,
    write_fence: WriteFence,
    attempts: usize,
    state: State,
}

enum State {
    ReadingOpen,
    /// There was no open record.
    LookingUp(JobLookup),
    Committing,
}

impl Cancellation {
    /// Starts the cancellation of a job.
    pub(super) fn begin(job: &str, context: &Context) -> (Cancellation, StoreCall) {
        let cancellation = Cancellation {
            job: job.to_string(),
            now_ms: context.now_ms,
            max_record_bytes: context.settings.cluster.state.max_record_bytes(),
            write_fence: context.write_fence,
            attempts: 1,
            state: State::ReadingOpen,
        };
        let call = cancellation.read_open_record();
        (cancellation, call)
    }

    fn read_open_record(&self) -> StoreCall {
        StoreCall::Read(open_key(&self.job))
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<Answer> {
        match &mut self.state {
            State::ReadingOpen => self.on_open_record(answer),
            State::LookingUp(lookup) => {
                let step = lookup.on_answer(answer)?;
                self.on_lookup_step(step)
            }
            State::Committing => self.on_commit_outcome(answer.commit_outcome()),
        }
    }

    fn on_open_record(&mut self, answer: StoreAnswer) -> StepResult<Answer> {
        match answer.decode::<OpenRecord>()? {
            Some(open) if open.record.cancelled => Ok(self.cancelled()),
            Some(open) => Ok(Step::Call(self.commit(open))),
            None => {
                let (lookup, call) = JobLookup::begin(&self.job);
                self.state = State::LookingUp(lookup);
                Ok(Step::Call(call))
            }
        }
    }

    fn on_lookup_step(&mut self, step: Step<RecordedState>) -> StepResult<Answer> {
        match step {
            Step::Call(call) => Ok(Step::Call(call)),
            Step::Finished(RecordedState::NeverAccepted) => Ok(Step::Finished(Answer::NotFound)),
            // The job was accepted between the first read of its open record and the lookup.
            Step::Finished(RecordedState::Open { .. }) => self.retry(),
            Step::Finished(RecordedState::Finished(state)) => {
                let status = status_without_counts(&self.job, state);
                Ok(Step::Finished(Answer::Known(status)))
            }
        }
    }

    fn commit(&mut self, open: VersionedRecord<OpenRecord>) -> StoreCall {
        let cancelled_record = open.record.into_cancelled(self.max_record_bytes);
        let value =
            serde_json::to_value(&cancelled_record).expect("serializing plain data cannot fail");
        let (open_key, final_state_key) = (open_key(&self.job), final_state_key(&self.job));
        let transaction = Transaction::at_version(&self.write_fence)
            .absent(final_state_key.clone())
            .version(open_key.clone(), open.version)
            .put(
                final_state_key,
                FinalStateRecord::cancelled(self.now_ms).to_value(),
            )
            .put(open_key, value);
        self.state = State::Committing;
        StoreCall::Commit(transaction)
    }

    fn on_commit_outcome(&mut self, outcome: CommitOutcome) -> StepResult<Answer> {
        match outcome {
            CommitOutcome::Applied(_) => Ok(self.cancelled()),
            CommitOutcome::Conflict(failed) if has_version_changed(&failed) => {
                Err(StepError::VersionChanged)
            }
            // The open record has changed, the job is finished, or an earlier attempt whose response was
            // lost has cancelled it.
            CommitOutcome::Conflict(_) | CommitOutcome::Indeterminate => self.retry(),
            CommitOutcome::RateLimited => Err(StepError::RateLimited),
            CommitOutcome::Rejected | CommitOutcome::TooLarge | CommitOutcome::LeaseExpired => {
                Err(StepError::Unavailable)
            }
        }
    }

    fn retry(&mut self) -> StepResult<Answer> {
        if self.attempts == MAX_ATTEMPTS {
            return Err(StepError::Unavailable);
        }
        self.attempts += 1;
        self.state = State::ReadingOpen;
        Ok(Step::Call(self.read_open_record()))
    }

    fn cancelled(&self) -> Step<Answer> {
        let job = self.job.clone();
        Step::Finished(Answer::Cancelled { job })
    }
}
