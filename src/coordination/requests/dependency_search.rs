//! Searching the dependencies of a job for a cancelled one.

use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::JobState;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};

/// The maximum number of jobs that one search reads.
const MAX_JOBS_READ: usize = 24;

/// Finds out whether a job that another depends on, directly or transitively, is cancelled. A job
/// with more dependencies than a search may read is left to the leader.
pub(super) struct DependencySearch {
    /// Jobs whose records are yet to be read.
    unread: Vec<String>,
    jobs_read: usize,
    state: State,
}

/// Which record is being read.
enum State {
    ReadingOpen { job: String },
    ReadingEnd,
}

impl DependencySearch {
    /// Starts with the direct dependencies; finishes with whether a cancelled job was found.
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
            state: State::ReadingEnd,
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
            State::ReadingEnd => {
                if is_end_cancelled(answer)? {
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
                self.state = State::ReadingEnd;
                Ok(Step::Call(StoreCall::Read(final_state_key)))
            }
        }
    }
}

/// Whether the end record that was read says that its job is cancelled.
///
/// # Errors
///
/// [`Unavailable`] if it could not be read.
pub(super) fn is_end_cancelled(answer: StoreAnswer) -> Result<bool, Unavailable> {
    let end = answer.decode::<FinalStateRecord>()?;
    Ok(end.is_some_and(|end| end.record.state == JobState::Cancelled))
}
