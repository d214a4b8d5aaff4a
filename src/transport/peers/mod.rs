//! gRPC between the controllers of a cluster.
//!
//! - `server`: the peer server, which serves calls from other controllers
//! - `client`: calls to other controllers

mod client;
mod server;

use super::Responder;
use crate::protocol::ids::FencingToken;
use crate::storage::cancellation_log::CancellationPage;
use crate::storage::open_job_budget::AcceptedJobs;
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

/// A request from another controller.
#[derive(Debug)]
pub enum PeerRequest {
    /// Handle a user's request that the peer has forwarded.
    UserRequest {
        /// Submission, query or cancellation.
        kind: Kind,
        /// The id of the job.
        job: String,
        /// For a submission: the body that the user sent.
        body: Vec<u8>,
    },
    /// Handle a worker's heartbeat that the peer has forwarded, with the body that the worker sent.
    Heartbeat(Vec<u8>),
    /// Reply with 200 if this controller receives heartbeats from workers.
    ReceivesHeartbeats,
    /// Promise not to answer heartbeats as a leader with a lower fencing token. The reply 200 is the promise.
    Promise {
        /// The fencing token of the leader that requests it.
        token: FencingToken,
    },
}

/// A user's request to be forwarded to another controller.
pub struct ForwardedRequest<'a> {
    /// Submission, query or cancellation.
    pub kind: Kind,
    /// The id of the job.
    pub job: &'a str,
    /// For a submission: the body that the user sent.
    pub body: &'a [u8],
    /// Whether the job has dependencies. Such a submission is sent by a separate call, which releases
    /// without support for dependencies do not have.
    pub has_dependencies: bool,
}

/// What another controller has confirmed to users.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmedByPeer {
    /// A page of its log of cancellations.
    pub cancellations: CancellationPage,
    /// What it has accepted; `None` if its release does not report that.
    pub accepted_jobs: Option<AcceptedJobs>,
}

/// Handles requests from other controllers: replies at once, or stores the responder to reply later.
pub type PeerHandler = dyn Fn(PeerRequest, Responder) + Send + Sync;

/// How long a call between controllers may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// How long connecting to a peer may take; also the pause before a failed server is restarted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum size of a message, in bytes: a forwarded body, and as much again for the other fields.
const MAX_MESSAGE_BYTES: usize = 2 * crate::protocol::BODY_LIMIT;
