//! Connections: the HTTP front, HTTP requests to other services and to workers, and gRPC between
//! controllers.

pub mod client;
pub mod direct_commands;
pub mod front;
pub mod peers;
pub mod runtime;

use std::borrow::Cow;

/// An answer to a user, a worker or a peer, before it is put on any wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Cow<'static, [u8]>,
    /// Seconds after which a retry makes sense.
    pub retry_after: Option<u32>,
}

impl Reply {
    pub fn json(status: u16, body: &impl serde::Serialize) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).expect("plain data").into(),
            retry_after: None,
        }
    }

    pub fn error(status: u16, why: impl std::fmt::Display) -> Reply {
        Reply::json(status, &serde_json::json!({"error": why.to_string()}))
    }

    /// It can't be done now: come back after a second.
    pub fn later(why: &str) -> Reply {
        Reply {
            retry_after: Some(1),
            ..Reply::error(503, why)
        }
    }
}

/// Where an answer goes.
pub type Respond = Box<dyn FnOnce(Reply) + Send>;
