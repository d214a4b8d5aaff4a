//! Reads the state of one job from its records in the state service.

use super::answers::status_without_counts;
use super::dependency_search::DependencySearch;
use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobState, JobStatus};
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};

/// Reads a job's state. The result is `None` if the job was never accepted. The open record is read
/// first: it is deleted by the transaction that writes the final state record, or later.
pub(super) struct JobLookup {
    job: String,
    state: State,
}

enum State {
    ReadingOpen,
    /// The final state record of the job may be written later than that of a cancelled dependency.
    SearchingDependencies(DependencySearch),
    ReadingFinal,
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

    pub(super) fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<Option<JobStatus>> {
        match &mut self.state {
            State::ReadingOpen => self.on_open_record(answer),
            State::SearchingDependencies(search) => {
                let step = search.on_answer(answer)?;
                self.on_search_step(step)
            }
            State::ReadingFinal => {
                let found = answer.decode::<FinalStateRecord>()?;
                let status = found.map(|f| status_without_counts(&self.job, f.record.state));
                Ok(Step::Finished(status))
            }
        }
    }

    fn on_open_record(&mut self, answer: StoreAnswer) -> StepResult<Option<JobStatus>> {
        match answer.decode::<OpenRecord>()? {
            Some(found) if found.record.cancelled => Ok(self.found(JobState::Cancelled)),
            Some(found) => {
                let (search, step) = DependencySearch::begin(found.record.spec.waits_on)?;
                self.state = State::SearchingDependencies(search);
                self.on_search_step(step)
            }
            None => {
                self.state = State::ReadingFinal;
                Ok(Step::Call(StoreCall::Read(final_state_key(&self.job))))
            }
        }
    }

    /// A job with a cancelled dependency will be cancelled by the leader. Until that is recorded, its
    /// state can't be reported.
    fn on_search_step(&self, step: Step<bool>) -> StepResult<Option<JobStatus>> {
        match step {
            Step::Call(call) => Ok(Step::Call(call)),
            Step::Finished(true) => Err(StepError::Unavailable),
            Step::Finished(false) => Ok(self.found(JobState::Pending)),
        }
    }

    fn found(&self, state: JobState) -> Step<Option<JobStatus>> {
        Step::Finished(Some(status_without_counts(&self.job, state)))
    }
}
