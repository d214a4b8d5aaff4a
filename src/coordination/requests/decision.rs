//! What the state service has decided of a submission or cancellation.

use super::answers::Answer;
use crate::storage::records::OpenRecord;

/// The result of a submission or cancellation.
pub(super) struct Decision {
    /// The job, if this request has accepted it and it is to run.
    pub(super) accepted: Option<AcceptedJob>,
    /// The answer to the client.
    pub(super) answer: Answer,
}

/// A job that was accepted by this request.
pub(super) struct AcceptedJob {
    /// The record that accepts the job.
    pub(super) record: Box<OpenRecord>,
    /// The version of that record in the state service.
    pub(super) version: u64,
}

impl From<Answer> for Decision {
    fn from(answer: Answer) -> Decision {
        Decision {
            accepted: None,
            answer,
        }
    }
}
