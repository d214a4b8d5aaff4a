//! Replies that several parts of the service give.

use crate::coordination::requests::Answer;
use crate::transport::Reply;

/// The reply to a request for which a bounded queue has no room.
pub(crate) fn busy() -> Reply {
    Reply::unavailable("too much is asked at once")
}

/// Turns a decided answer into the reply that the transport sends.
pub(super) fn reply_to_user(answer: Answer) -> Reply {
    Reply {
        status: answer.status(),
        retry_after: answer.retry_after(),
        body: answer.body().into(),
    }
}
