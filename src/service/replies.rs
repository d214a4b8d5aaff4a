//! Replies that several modules of the service send.

use crate::coordination::requests::Answer;
use crate::transport::Reply;

/// The reply to a request that a full queue has rejected.
pub(crate) fn busy() -> Reply {
    Reply::unavailable("the controller is overloaded")
}

/// Converts an answer of the request logic into a reply of the transport.
pub(super) fn reply_to_user(answer: Answer) -> Reply {
    Reply {
        status: answer.status(),
        retry_after: answer.retry_after(),
        body: answer.body().into(),
    }
}
