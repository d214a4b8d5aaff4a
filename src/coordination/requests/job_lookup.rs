//! Reads from its records whether a job was accepted and whether it is finished.

use super::step::{Step, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::JobState;
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};

/// Looks up a job. The open record is read first: it is deleted by the transaction that writes the final
/// state record, or later.
pub(super) struct JobLookup {
    job: String,
    state: State,
}

enum State {
    ReadingOpen,
    ReadingFinal,
}

/// What the records say about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordedState {
    /// The job was never accepted.
    NeverAccepted,
    /// The job is not finished. With dependencies it may still have to be cancelled, if one of them is.
    Open {
        /// Whether the job has dependencies.
        has_dependencies: bool,
    },
    /// The job is finished, in this state.
    Finished(JobState),
}

impl JobLookup {
    /// Starts the lookup of a job.
    pub(super) fn begin(job: &str) -> (JobLookup, StoreCall) {
        let lookup = JobLookup {
            job: job.to_string(),
            state: State::ReadingOpen,
        };
        (lookup, StoreCall::Read(open_key(job)))
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<RecordedState> {
        match self.state {
            State::ReadingOpen => self.on_open_record(answer),
            State::ReadingFinal => {
                let found = answer.decode::<FinalStateRecord>()?;
                Ok(Step::Finished(
                    found.map_or(RecordedState::NeverAccepted, |found| {
                        RecordedState::Finished(found.record.state)
                    }),
                ))
            }
        }
    }

    fn on_open_record(&mut self, answer: StoreAnswer) -> StepResult<RecordedState> {
        let Some(found) = answer.decode::<OpenRecord>()? else {
            self.state = State::ReadingFinal;
            return Ok(Step::Call(StoreCall::Read(final_state_key(&self.job))));
        };
        Ok(Step::Finished(if found.record.cancelled {
            RecordedState::Finished(JobState::Cancelled)
        } else {
            let has_dependencies = !found.record.spec.waits_on.is_empty();
            RecordedState::Open { has_dependencies }
        }))
    }
}
