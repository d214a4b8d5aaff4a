//! Searches the dependencies of a job for a cancelled one.

use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::JobState;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};

/// The maximum number of jobs that one search reads.
const MAX_JOBS_READ: usize = 24;

/// Determines whether a direct or transitive dependency of a job is cancelled. Fails with
/// [`StepError::Unavailable`] after [`MAX_JOBS_READ`] jobs: a job with more is left to the leader.
pub(super) struct DependencySearch {
    /// Jobs whose records have not been read.
    unread: Vec<String>,
    jobs_read: usize,
    state: State,
}

/// The record that is being read.
enum State {
    ReadingOpen { job: String },
    ReadingFinal,
}

impl DependencySearch {
    /// Starts the search at the direct dependencies. Its result is whether a cancelled job was found.
    ///
    /// # Errors
    ///
    /// See [`StepError`].
    pub(super) fn begin(
        dependencies: Vec<String>,
    ) -> Result<(DependencySearch, Step<bool>), StepError> {
        let mut search = DependencySearch {
            unread: dependencies,
            jobs_read: 0,
            state: State::ReadingFinal,
        };
        let step = search.read_next()?;
        Ok((search, step))
    }

    fn read_next(&mut self) -> StepResult<bool> {
        if self.jobs_read == MAX_JOBS_READ {
            return Err(StepError::Unavailable);
        }
        let Some(job) = self.unread.pop() else {
            return Ok(Step::Finished(false));
        };
        self.jobs_read += 1;
        let call = StoreCall::Read(open_key(&job));
        self.state = State::ReadingOpen { job };
        Ok(Step::Call(call))
    }

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<bool> {
        match &self.state {
            State::ReadingOpen { job } => {
                let final_state_key = final_state_key(job);
                self.on_open_record(answer, final_state_key)
            }
            State::ReadingFinal => {
                if is_cancelled(answer)? {
                    Ok(Step::Finished(true))
                } else {
                    self.read_next()
                }
            }
        }
    }

    fn on_open_record(&mut self, answer: StoreAnswer, final_state_key: String) -> StepResult<bool> {
        match answer.decode::<OpenRecord>()? {
            Some(found) if found.record.cancelled => Ok(Step::Finished(true)),
            Some(found) => {
                self.unread.extend(found.record.spec.waits_on);
                self.read_next()
            }
            None => {
                self.state = State::ReadingFinal;
                Ok(Step::Call(StoreCall::Read(final_state_key)))
            }
        }
    }
}

/// Whether the final state record that was read is that of a cancelled job.
///
/// # Errors
///
/// [`Unavailable`] if the record could not be read.
pub(super) fn is_cancelled(answer: StoreAnswer) -> Result<bool, Unavailable> {
    let found = answer.decode::<FinalStateRecord>()?;
    Ok(found.is_some_and(|found| found.record.state == JobState::Cancelled))
}
