//! What the records of the state service say of a job.

use super::answers::without_counts;
use super::step::{Progress, Step, Stop, StoreAnswer, StoreCall};
use crate::protocol::job::{JobState, JobStatus};
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{end_key, open_key, EndRecord, OpenRecord};

/// Jobs that are read at the most to see whether one that another needs is cancelled.
const MAX_FOLLOWED: usize = 24;

/// Reads a job's state; `None` if it was never accepted. The description is read first: it goes in
/// the same transaction as the end comes, or stays until later.
pub(super) struct Lookup {
    job: String,
    stage: Stage,
}

enum Stage {
    ReadingOpen,
    /// Its own end may lag behind that of a job that it needs.
    FollowingNeeds(Needs),
    ReadingEnd,
}

impl Lookup {
    pub(super) fn begin(job: &str) -> (Lookup, StoreCall) {
        let lookup = Lookup {
            job: job.to_string(),
            stage: Stage::ReadingOpen,
        };
        (lookup, StoreCall::Read(open_key(job)))
    }

    pub(super) fn on(&mut self, answer: StoreAnswer) -> Progress<Option<JobStatus>> {
        match &mut self.stage {
            Stage::ReadingOpen => self.open_read(answer),
            Stage::FollowingNeeds(needs) => {
                let step = needs.on(answer)?;
                self.needs_followed(step)
            }
            Stage::ReadingEnd => {
                let end = answer.value::<EndRecord>()?;
                let status = end.map(|(end, _)| without_counts(&self.job, end.state));
                Ok(Step::Finished(status))
            }
        }
    }

    fn open_read(&mut self, answer: StoreAnswer) -> Progress<Option<JobStatus>> {
        match answer.value::<OpenRecord>()? {
            Some((record, _)) if record.cancelled => Ok(self.found(JobState::Cancelled)),
            Some((record, _)) => {
                let (needs, step) = Needs::begin(record.spec.waits_on)?;
                self.stage = Stage::FollowingNeeds(needs);
                self.needs_followed(step)
            }
            None => {
                self.stage = Stage::ReadingEnd;
                Ok(Step::Call(StoreCall::Read(end_key(&self.job))))
            }
        }
    }

    fn needs_followed(&self, cancelled: Step<bool>) -> Progress<Option<JobStatus>> {
        match cancelled {
            Step::Call(call) => Ok(Step::Call(call)),
            Step::Finished(true) => Err(Stop::Unavailable),
            Step::Finished(false) => Ok(self.found(JobState::Pending)),
        }
    }

    fn found(&self, state: JobState) -> Step<Option<JobStatus>> {
        Step::Finished(Some(without_counts(&self.job, state)))
    }
}

/// Finds out whether a job that another needs is cancelled, directly or through others. Who needs
/// more than can be read in a moment is answered by the leader.
struct Needs {
    left: Vec<String>,
    followed: usize,
    /// The job that is being read, and whether it is its end.
    reading: String,
    reading_end: bool,
}

impl Needs {
    fn begin(left: Vec<String>) -> Result<(Needs, Step<bool>), Stop> {
        let mut needs = Needs {
            left,
            followed: 0,
            reading: String::new(),
            reading_end: false,
        };
        let step = needs.next()?;
        Ok((needs, step))
    }

    fn next(&mut self) -> Progress<bool> {
        if self.followed == MAX_FOLLOWED {
            return Err(Stop::Unavailable);
        }
        let Some(job) = self.left.pop() else {
            return Ok(Step::Finished(false));
        };
        self.followed += 1;
        self.reading_end = false;
        let call = StoreCall::Read(open_key(&job));
        self.reading = job;
        Ok(Step::Call(call))
    }

    fn on(&mut self, answer: StoreAnswer) -> Progress<bool> {
        if self.reading_end {
            return if is_cancelled(answer)? {
                Ok(Step::Finished(true))
            } else {
                self.next()
            };
        }
        match answer.value::<OpenRecord>()? {
            Some((needed, _)) if needed.cancelled => Ok(Step::Finished(true)),
            Some((needed, _)) => {
                self.left.extend(needed.spec.waits_on);
                self.next()
            }
            None => {
                self.reading_end = true;
                Ok(Step::Call(StoreCall::Read(end_key(&self.reading))))
            }
        }
    }
}

/// Whether the record of a job's end that was read says that it is cancelled.
pub(super) fn is_cancelled(answer: StoreAnswer) -> Result<bool, Unavailable> {
    let end = answer.value::<EndRecord>()?;
    Ok(end.is_some_and(|(end, _)| end.state == JobState::Cancelled))
}
