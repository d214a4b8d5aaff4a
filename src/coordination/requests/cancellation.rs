//! Cancellations: the end of an open job, which its description tells too until the leader has
//! cleared the job's places.

use super::job_lookup::Lookup;
use super::step::{is_version_raised, Progress, Step, Stop, StoreAnswer, StoreCall};
use super::{Answer, Context, TRIES};
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{end_key, open_key, EndRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// Records that a job's user has taken it back, unless it has ended.
pub(super) struct Cancellation {
    job: String,
    now_ms: u64,
    /// The most bytes that a record may have.
    record_bytes: usize,
    clearance: WriteFence,
    tries: usize,
    stage: Stage,
}

enum Stage {
    ReadingOpen,
    /// There is no description.
    LookingUp(Lookup),
    Committing,
}

impl Cancellation {
    pub(super) fn begin(job: &str, context: &Context) -> (Cancellation, StoreCall) {
        let cancellation = Cancellation {
            job: job.to_string(),
            now_ms: context.now_ms,
            record_bytes: context.settings.cluster.state.record_bytes(),
            clearance: context.clearance,
            tries: 1,
            stage: Stage::ReadingOpen,
        };
        let call = cancellation.read();
        (cancellation, call)
    }

    fn read(&self) -> StoreCall {
        StoreCall::Read(open_key(&self.job))
    }

    pub(super) fn on(&mut self, answer: StoreAnswer) -> Progress<Answer> {
        match &mut self.stage {
            Stage::ReadingOpen => self.open_read(answer),
            Stage::LookingUp(lookup) => {
                let step = lookup.on(answer)?;
                self.looked_up(step)
            }
            Stage::Committing => self.committed(answer.outcome()),
        }
    }

    fn open_read(&mut self, answer: StoreAnswer) -> Progress<Answer> {
        match answer.value::<OpenRecord>()? {
            Some((record, _)) if record.cancelled => Ok(self.cancelled()),
            Some((record, version)) => Ok(Step::Call(self.commit(record, version))),
            None => {
                let (lookup, call) = Lookup::begin(&self.job);
                self.stage = Stage::LookingUp(lookup);
                Ok(Step::Call(call))
            }
        }
    }

    fn looked_up(&mut self, step: Step<Option<JobStatus>>) -> Progress<Answer> {
        match step {
            Step::Call(call) => Ok(Step::Call(call)),
            Step::Finished(None) => Ok(Step::Finished(Answer::NotFound)),
            // Accepted between the two readings.
            Step::Finished(Some(status)) if status.state == JobState::Pending => self.retry(),
            Step::Finished(Some(status)) => Ok(Step::Finished(Answer::Known(status))),
        }
    }

    fn commit(&mut self, record: OpenRecord, version: u64) -> StoreCall {
        let record = record.taken_back(self.record_bytes);
        let (open, end) = (open_key(&self.job), end_key(&self.job));
        let value = serde_json::to_value(&record).expect("plain data");
        let transaction = Transaction::at_version(&self.clearance)
            .absent(end.clone())
            .version(open.clone(), version)
            .put(end, EndRecord::cancelled(self.now_ms).to_value())
            .put(open, value);
        self.stage = Stage::Committing;
        StoreCall::Commit(transaction)
    }

    fn committed(&mut self, outcome: CommitOutcome) -> Progress<Answer> {
        match outcome {
            CommitOutcome::Applied(_) => Ok(self.cancelled()),
            CommitOutcome::Conflict(failed) if is_version_raised(&failed) => {
                Err(Stop::VersionRaised)
            }
            // Ended meanwhile, or cancelled by a try whose answer was lost.
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => self.retry(),
            CommitOutcome::Limited => Err(Stop::Limited),
            CommitOutcome::Refused | CommitOutcome::TooLarge | CommitOutcome::NoLease => {
                Err(Stop::Unavailable)
            }
        }
    }

    fn retry(&mut self) -> Progress<Answer> {
        if self.tries == TRIES {
            return Err(Stop::Unavailable);
        }
        self.tries += 1;
        self.stage = Stage::ReadingOpen;
        Ok(Step::Call(self.read()))
    }

    fn cancelled(&self) -> Step<Answer> {
        let job = self.job.clone();
        Step::Finished(Answer::Cancelled { job })
    }
}
