//! gRPC between the controllers of a cluster.
//!
//! - `server`: answers the calls of the other controllers;
//! - `client`: calls the other controllers.

mod client;
mod server;

use super::Responder;
use crate::protocol::ids::FencingToken;
use std::time::Duration;

/// The generated messages, client and server of `proto/peer.proto`.
#[allow(
    clippy::all,
    clippy::too_many_lines,
    missing_docs,
    unreachable_pub,
    reason = "generated code"
)]
pub mod wire {
    tonic::include_proto!("stairstage.peer");
}

pub use client::Peers;
pub use wire::ask_request::Kind;

/// A request of another controller, for this one's handler.
#[derive(Debug)]
pub enum PeerRequest {
    /// Handle a user's request that the peer has forwarded.
    UserRequest {
        /// Submission, query or cancellation.
        kind: Kind,
        /// The id of the job.
        job: String,
        /// The body as the user sent it, for a submission.
        body: Vec<u8>,
    },
    /// Handle a worker's heartbeat that the peer has forwarded; the body is as the worker sent it.
    Heartbeat(Vec<u8>),
    /// Reply with 200 if workers send their heartbeats to this controller.
    ReceivesHeartbeats,
    /// Promise to answer no heartbeat with a lower fencing token; 200 is the promise.
    Promise {
        /// The fencing token of the leader that requests it.
        token: FencingToken,
    },
}

/// A user's request that is forwarded to another controller.
pub struct ForwardedRequest<'a> {
    /// Submission, query or cancellation.
    pub kind: Kind,
    /// The id of the job.
    pub job: &'a str,
    /// The body as the user sent it, for a submission.
    pub body: &'a [u8],
    /// Whether the job depends on other jobs. Such a submission is sent by a call of its own, which
    /// releases without dependencies do not have.
    pub has_dependencies: bool,
}

/// Handles the requests of other controllers: responds at once, or keeps the responder.
pub type PeerHandler = dyn Fn(PeerRequest, Responder) + Send + Sync;

/// How long a call between controllers may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long connecting to a peer may take; also the pause before a failed server listens again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest message in bytes: a request's body and what surrounds it.
const MAX_MESSAGE_BYTES: usize = 2 * crate::protocol::BODY_LIMIT;
