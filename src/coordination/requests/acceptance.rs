//! Accepting a job by writing its first record.

use super::job_lookup::Lookup;
use super::step::{is_version_raised, Progress, Step, Stop, StoreAnswer, StoreCall};
use super::TRIES;
use crate::protocol::job::JobStatus;
use crate::protocol::store::Transaction;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::{end_key, open_key};
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;

/// Writes a record of a job while none is there.
pub(super) struct Acceptance {
    job: String,
    transaction: Transaction,
    tries: usize,
    lookup: Option<Lookup>,
}

pub(super) enum Accepted {
    /// By this request, with the record's version.
    Now(u64),
    /// Before, perhaps by a try of ours whose answer was lost; the state, where it is to be seen.
    Before(Option<JobStatus>),
}

impl Acceptance {
    pub(super) fn begin(
        job: &str,
        key: String,
        value: Value,
        clearance: &WriteFence,
    ) -> (Acceptance, StoreCall) {
        let transaction = Transaction::at_version(clearance)
            .absent(open_key(job))
            .absent(end_key(job))
            .put(key, value);
        let acceptance = Acceptance {
            job: job.to_string(),
            transaction,
            tries: 1,
            lookup: None,
        };
        let call = acceptance.commit();
        (acceptance, call)
    }

    fn commit(&self) -> StoreCall {
        StoreCall::Commit(self.transaction.clone())
    }

    pub(super) fn on(&mut self, answer: StoreAnswer) -> Progress<Accepted> {
        if let Some(lookup) = &mut self.lookup {
            return Ok(lookup.on(answer)?.map(Accepted::Before));
        }
        match answer.outcome() {
            CommitOutcome::Applied(version) => Ok(Step::Finished(Accepted::Now(version))),
            CommitOutcome::Conflict(failed) if is_version_raised(&failed) => {
                Err(Stop::VersionRaised)
            }
            CommitOutcome::Conflict(_) => {
                let (lookup, call) = Lookup::begin(&self.job);
                self.lookup = Some(lookup);
                Ok(Step::Call(call))
            }
            CommitOutcome::Unknown if self.tries < TRIES => {
                self.tries += 1;
                Ok(Step::Call(self.commit()))
            }
            CommitOutcome::Limited => Err(Stop::Limited),
            CommitOutcome::Unknown
            | CommitOutcome::Refused
            | CommitOutcome::TooLarge
            | CommitOutcome::NoLease => Err(Stop::Unavailable),
        }
    }
}
