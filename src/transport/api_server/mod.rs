//! The API server: the HTTP server for users, workers and health checks, with limits on the number of
//! connections, the size of bodies and the time that reading a request may take.
//!
//! - `server`: accepts connections and serves requests
//! - `connection_limits`: counts and limits the open connections
//! - `routing`: maps methods and paths to requests

mod connection_limits;
mod routing;
mod server;

use super::Responder;
use std::time::Duration;

pub use server::serve;

/// A routed request with its body.
#[derive(Debug, PartialEq)]
pub enum ApiRequest {
    /// Submit the job that this body specifies.
    Submit(Vec<u8>),
    /// Query the state of the job with this id.
    Query(String),
    /// Cancel the job with this id.
    Cancel(String),
    /// A worker's heartbeat, as the JSON body that the worker sent.
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

/// Handles a request: replies at once, or stores the responder to reply later.
pub type Handler = dyn Fn(ApiRequest, Responder) + Send + Sync;
/// Whether this controller can serve requests; determines the reply to health checks.
pub type Health = dyn Fn() -> bool + Send + Sync;

/// The server's limits. Workers and users have separate limits, so that neither group can exhaust the
/// connections of the other.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Open connections of any kind.
    pub connections: usize,
    /// Workers' connections that are kept alive between heartbeats. Workers beyond the limit are still
    /// served, but their connections are closed after the response: the renewal of a worker's lease must
    /// not depend on a free slot.
    pub workers: usize,
    /// Users' connections. Users beyond the limit get a 503.
    pub users: usize,
    /// How long a connection may stay open without sending a complete request head.
    pub idle_timeout: Duration,
    /// How long reading a request's body may take.
    pub body_timeout: Duration,
}
