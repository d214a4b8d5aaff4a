//! Network connections.
//!
//! - [`api_server`]: the HTTP server for users, workers and health checks
//! - [`client`]: the HTTP client for the state service and the cloud
//! - [`direct_commands`]: HTTP requests to workers
//! - [`peers`]: gRPC between the controllers
//! - [`runtime`]: the tokio runtime for all asynchronous code

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
    /// The value of the `Retry-After` header, in seconds; `None` omits the header.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A response with a JSON body.
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

    /// 503 Service Unavailable with `Retry-After: 1`.
    pub fn unavailable(reason: &str) -> Reply {
        Reply {
            retry_after: Some(1),
            ..Reply::error(503, reason)
        }
    }
}

/// Sends the reply to a request; dropping it leaves the request unanswered.
pub type Responder = Box<dyn FnOnce(Reply) + Send>;
