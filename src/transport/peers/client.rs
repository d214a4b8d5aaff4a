//! Blocking gRPC calls to the other controllers.

use super::wire::peer_client::PeerClient;
use super::wire::{AskRequest, CancellationsRequest, HearsRequest, PromiseRequest, ReportRequest};
use super::{
    server, ConfirmedByPeer, ForwardedRequest, PeerHandler, CALL_TIMEOUT, CONNECT_TIMEOUT,
};
use crate::protocol::ids::FencingToken;
use crate::storage::cancellation_log::{CancellationLog, CancellationPage, Cursor};
use crate::storage::open_job_budget::{AcceptLimit, AcceptedJobs, OpenJobBudget};
use crate::transport::runtime::Runtime;
use crate::transport::Reply;
use crossbeam::channel::bounded;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Response, Status};

/// A client of all other controllers, with one connection to each. A connection is opened at the first
/// call.
#[derive(Clone)]
pub struct Peers {
    runtime: Runtime,
    channels: Arc<HashMap<String, Channel>>,
}

impl Peers {
    /// Starts the peer server on `listen`, and creates the clients of the named `peers`.
    ///
    /// # Errors
    /// If a peer's address is invalid.
    pub fn start(
        runtime: &Runtime,
        listen: SocketAddr,
        peers: &[(String, SocketAddr)],
        handler: Arc<PeerHandler>,
        cancellations: CancellationLog,
        open_jobs: OpenJobBudget,
    ) -> std::io::Result<Peers> {
        let channels = {
            let _entered = runtime.enter();
            connect(peers)?
        };
        server::start(runtime, listen, handler, cancellations, open_jobs);
        Ok(Peers {
            runtime: runtime.clone(),
            channels: Arc::new(channels),
        })
    }

    /// Whether this is the only controller.
    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    /// The names of the other controllers.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.channels.keys()
    }

    /// Runs a call on the runtime and blocks until it returns; `None` if the call fails or times out.
    fn call<T, F>(&self, timeout: Duration, call: F) -> Option<T>
    where
        T: Send + 'static,
        F: Future<Output = Result<Response<T>, Status>> + Send + 'static,
    {
        let (sender, receiver) = bounded(1);
        self.runtime.spawn(async move {
            if let Ok(Ok(response)) = tokio::time::timeout(timeout, call).await {
                let _ = sender.send(response.into_inner());
            }
        });
        receiver.recv().ok()
    }

    fn client(&self, name: &str) -> Option<PeerClient<Channel>> {
        Some(PeerClient::new(self.channels.get(name)?.clone()))
    }

    /// Forwards a user's request to another controller; `None` if the call fails.
    pub fn forward_request(
        &self,
        name: &str,
        forwarded: &ForwardedRequest,
        timeout: Duration,
    ) -> Option<Reply> {
        let mut client = self.client(name)?;
        let request = AskRequest {
            kind: forwarded.kind.into(),
            job: forwarded.job.to_string(),
            body: forwarded.body.to_vec(),
        };
        let has_dependencies = forwarded.has_dependencies;
        let reply = self.call(timeout, async move {
            if has_dependencies {
                client.ask_waiting(request).await
            } else {
                client.ask(request).await
            }
        })?;
        Some(Reply {
            status: reply.status as u16,
            body: reply.body.into(),
            retry_after: Some(reply.retry_after).filter(|seconds| *seconds > 0),
        })
    }

    /// Forwards a worker's heartbeat to the leader; `None` if the call fails.
    pub fn forward_heartbeat(&self, name: &str, body: Vec<u8>, timeout: Duration) -> Option<Reply> {
        let mut client = self.client(name)?;
        let request = ReportRequest { body };
        let reply = self.call(timeout, async move { client.report(request).await })?;
        Some(Reply {
            status: reply.status as u16,
            body: reply.body.into(),
            retry_after: None,
        })
    }

    /// Whether another controller receives heartbeats from workers; `None` if the call fails.
    pub fn receives_heartbeats(&self, name: &str, timeout: Duration) -> Option<bool> {
        let mut client = self.client(name)?;
        let reply = self.call(timeout, async move { client.hears(HearsRequest {}).await })?;
        Some(reply.workers)
    }

    /// Requests a promise not to answer heartbeats as a leader with a fencing token lower than `token`;
    /// `None` if the call fails.
    pub fn request_promise(
        &self,
        name: &str,
        token: FencingToken,
        timeout: Duration,
    ) -> Option<bool> {
        let mut client = self.client(name)?;
        let request = PromiseRequest { token: token.0 };
        let reply = self.call(timeout, async move { client.promise(request).await })?;
        Some(reply.promised)
    }

    /// Requests the cancellations that another controller has confirmed since the cursor of an earlier
    /// page, and what it has accepted. Sets its limit for accepted jobs, if there is one. The result is
    /// `None` if the call fails, for example because the peer's release does not have it.
    pub fn cancellations(
        &self,
        name: &str,
        after: Cursor,
        limit: Option<AcceptLimit>,
        timeout: Duration,
    ) -> Option<ConfirmedByPeer> {
        let mut client = self.client(name)?;
        let request = CancellationsRequest {
            incarnation: after.incarnation,
            next: after.next,
            accept_limit: limit.map(|limit| limit.bytes),
            token: limit.map_or(0, |limit| limit.token.0),
        };
        let reply = self.call(timeout, async move { client.cancellations(request).await })?;
        let accepted_jobs = reply.accepted_bytes.map(|accepted_bytes| AcceptedJobs {
            incarnation: reply.incarnation,
            accepted_bytes,
            limit_bytes: reply.accept_limit,
        });
        let cancellations = CancellationPage {
            cursor: Cursor {
                incarnation: reply.incarnation,
                next: reply.next,
            },
            continues: reply.continues,
            complete: reply.complete,
            jobs: reply.jobs.iter().map(|job| job.as_str().into()).collect(),
        };
        Some(ConfirmedByPeer {
            cancellations,
            accepted_jobs,
        })
    }

    /// Whether another controller responds to a call.
    pub fn is_reachable(&self, name: &str, timeout: Duration) -> bool {
        self.request_promise(name, server::NO_TOKEN, timeout)
            .is_some()
    }
}

fn connect(peers: &[(String, SocketAddr)]) -> std::io::Result<HashMap<String, Channel>> {
    let mut channels = HashMap::new();
    for (name, address) in peers {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(std::io::Error::other)?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        channels.insert(name.clone(), endpoint.connect_lazy());
    }
    Ok(channels)
}
