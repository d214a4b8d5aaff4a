//! The result of a submission or cancellation.

use super::answers::Answer;
use crate::storage::records::OpenRecord;

/// The result of a submission or cancellation, as decided by the state service.
pub(super) struct Decision {
    /// The job, if this request has accepted it and it is not cancelled.
    pub(super) accepted: Option<OpenJob>,
    /// The answer to the client.
    pub(super) answer: Answer,
}

/// A job accepted by this request.
pub(super) struct OpenJob {
    /// The open record that was written.
    pub(super) record: Box<OpenRecord>,
    /// The version of the record's key.
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
