//! The HTTP server for users, workers and health checks, with limits on connections, bytes and time.
//!
//! - `server`: accepts connections and serves requests on them;
//! - `connection_limits`: how many connections of which kind may be open;
//! - `routing`: which request a method and a path stand for.

mod connection_limits;
mod routing;
mod server;

use super::Responder;
use std::time::Duration;

pub use server::serve;

/// A request that has been routed and whose body has been read.
#[derive(Debug, PartialEq)]
pub enum ApiRequest {
    /// Submit the job that this body describes.
    Submit(Vec<u8>),
    /// Query the state of the job with this id.
    Query(String),
    /// Cancel the job with this id.
    Cancel(String),
    /// A worker's heartbeat with its status, still encoded.
    Heartbeat(Vec<u8>),
}

impl ApiRequest {
    /// The kind of request, for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            ApiRequest::Submit(_) => "submission",
            ApiRequest::Query(_) => "query",
            ApiRequest::Cancel(_) => "cancellation",
            ApiRequest::Heartbeat(_) => "heartbeat",
        }
    }
}

/// Handles a request: responds at once, or keeps the responder until the reply is known.
pub type Handler = dyn Fn(ApiRequest, Responder) + Send + Sync;
/// Whether this node can serve requests; answers the health check.
pub type Health = dyn Fn() -> bool + Send + Sync;

/// The server's limits. Workers and users have separate ones, so that neither can exhaust the
/// connections of the other.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Open connections of all kinds.
    pub connections: usize,
    /// Workers' connections that are kept alive between heartbeats. Workers beyond that are still
    /// served, on connections that close with the response: a lease must not depend on a socket.
    pub workers: usize,
    /// Users' connections; users beyond that get a 503.
    pub users: usize,
    /// How long a connection may stay open without sending a complete request head.
    pub idle_timeout: Duration,
    /// How long reading a request's body may take.
    pub body_timeout: Duration,
}
