//! The result of a submission or cancellation.

use super::answers::{status_without_counts, Answer};
use super::job_lookup::RecordedState;
use crate::protocol::job::JobState;
use crate::storage::records::OpenRecord;

/// The result of a submission or cancellation, as decided by the state service.
pub(super) enum Decision {
    /// Answer the client.
    Answered(Answer),
    /// This request has accepted the job, and it is not cancelled.
    Accepted {
        /// The job.
        job: OpenJob,
        /// The answer to the client.
        answer: Answer,
    },
    /// The job was accepted before and is not finished. Its state depends on its dependencies, so it is
    /// queried like any other job's.
    Query,
    /// The submission names many dependencies, which are checked in the background.
    CheckDependencies(Vec<String>),
}

/// A job accepted by this request.
pub(super) struct OpenJob {
    /// The open record that was written.
    pub(super) record: Box<OpenRecord>,
    /// The version of the record's key.
    pub(super) version: u64,
}

impl Decision {
    /// The decision about a job that was accepted before, or `None` if it never was.
    pub(super) fn about_known(job: &str, recorded: RecordedState) -> Option<Decision> {
        let known = |state| Answer::Known(status_without_counts(job, state)).into();
        match recorded {
            RecordedState::NeverAccepted => None,
            RecordedState::Open {
                has_dependencies: true,
            } => Some(Decision::Query),
            RecordedState::Open {
                has_dependencies: false,
            } => Some(known(JobState::Pending)),
            RecordedState::Finished(state) => Some(known(state)),
        }
    }
}

impl From<Answer> for Decision {
    fn from(answer: Answer) -> Decision {
        Decision::Answered(answer)
    }
}
