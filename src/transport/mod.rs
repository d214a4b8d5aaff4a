//! Network connections: the HTTP server for users and workers, HTTP clients for the state service, the
//! cloud and the workers, and gRPC between the controllers.

pub mod api_server;
pub mod client;
pub mod direct_commands;
pub mod peers;
pub mod runtime;

use std::borrow::Cow;

/// A response to a user, a worker or a peer, independent of the protocol that carries it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body.
    pub body: Cow<'static, [u8]>,
    /// The value of `Retry-After`, in seconds; `None` leaves the header out.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A response with a value as its JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body)
                .expect("serializing plain data cannot fail")
                .into(),
            retry_after: None,
        }
    }

    /// An error response, `{"error": REASON}`.
    pub fn error(status: u16, reason: impl std::fmt::Display) -> Reply {
        Reply::json(status, &serde_json::json!({"error": reason.to_string()}))
    }

    /// 503 Service Unavailable: the request may be retried after a second.
    pub fn unavailable(reason: &str) -> Reply {
        Reply {
            retry_after: Some(1),
            ..Reply::error(503, reason)
        }
    }
}

/// Sends the reply to a request; dropping it leaves the request unanswered.
pub type Responder = Box<dyn FnOnce(Reply) + Send>;
