//! gRPC between the controllers.

use super::runtime::Runtime;
use super::{Reply, Respond};
use crate::storage::cancellation_log::{CancellationLog, CancellationPage, Cursor};
use crossbeam::channel::bounded;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

#[allow(clippy::all)]
pub mod wire {
    tonic::include_proto!("stairstage.peer");
}

pub use wire::ask_request::Kind;
use wire::peer_client::PeerClient;
use wire::peer_server::{Peer, PeerServer};
use wire::{AskReply, AskRequest, HearsReply, HearsRequest};
use wire::{CancellationsReply, CancellationsRequest};
use wire::{PromiseReply, PromiseRequest, ReportReply, ReportRequest};

/// What another controller asks for.
#[derive(Debug)]
pub enum PeerCall {
    Ask(Kind, String, Vec<u8>),
    Report(Vec<u8>),
    /// Whether workers report here.
    Hears,
    Promise(u64),
}

/// A user's request that is handed to another controller.
pub struct Asked<'a> {
    pub kind: Kind,
    pub job: &'a str,
    /// The description as its user sent it, for a submission.
    pub body: &'a [u8],
    /// Whether it is the submission of a job that waits for others.
    pub waits: bool,
}

pub type PeerHandler = dyn Fn(PeerCall, Respond) + Send + Sync;

struct Service {
    handler: Arc<PeerHandler>,
    cancellations: CancellationLog,
}

/// How long a peer may take over a call before it is given up on.
const PATIENCE: Duration = Duration::from_secs(4);
const CONNECT: Duration = Duration::from_millis(400);
/// The largest message: a body with what surrounds it.
const MAX_BYTES: usize = 2 * crate::protocol::BODY_LIMIT;

impl Service {
    async fn call(&self, call: PeerCall) -> Result<Reply, Status> {
        let (tx, rx) = tokio::sync::oneshot::channel();
        (self.handler)(
            call,
            Box::new(move |reply| {
                let _ = tx.send(reply);
            }),
        );
        match tokio::time::timeout(PATIENCE, rx).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(Status::unavailable("no answer")),
        }
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        let r = request.into_inner();
        let reply = self.call(PeerCall::Ask(r.kind(), r.job, r.body)).await?;
        Ok(Response::new(AskReply {
            status: reply.status.into(),
            body: reply.body.into_owned(),
            retry_after: reply.retry_after.unwrap_or(0),
        }))
    }

    async fn ask_waiting(
        &self,
        request: Request<AskRequest>,
    ) -> Result<Response<AskReply>, Status> {
        self.ask(request).await
    }

    async fn report(
        &self,
        request: Request<ReportRequest>,
    ) -> Result<Response<ReportReply>, Status> {
        let reply = self
            .call(PeerCall::Report(request.into_inner().body))
            .await?;
        Ok(Response::new(ReportReply {
            status: reply.status.into(),
            body: reply.body.into_owned(),
        }))
    }

    async fn hears(&self, _: Request<HearsRequest>) -> Result<Response<HearsReply>, Status> {
        let workers = self.call(PeerCall::Hears).await?.status == 200;
        Ok(Response::new(HearsReply { workers }))
    }

    async fn promise(
        &self,
        request: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        let token = request.into_inner().token;
        let promised = match token {
            0 => false,
            token => self.call(PeerCall::Promise(token)).await?.status == 200,
        };
        Ok(Response::new(PromiseReply { promised }))
    }

    async fn cancellations(
        &self,
        request: Request<CancellationsRequest>,
    ) -> Result<Response<CancellationsReply>, Status> {
        let request = request.into_inner();
        let page = self.cancellations.page(Cursor {
            incarnation: request.incarnation,
            next: request.next,
        });
        Ok(Response::new(CancellationsReply {
            incarnation: page.cursor.incarnation,
            next: page.cursor.next,
            continues: page.continues,
            complete: page.complete,
            jobs: page.jobs.iter().map(|job| job.to_string()).collect(),
        }))
    }
}

/// The other controllers, each reached over one connection.
#[derive(Clone)]
pub struct Peers {
    runtime: Runtime,
    channels: Arc<HashMap<String, Channel>>,
}

impl Peers {
    /// Starts the server and the clients.
    pub fn start(
        runtime: &Runtime,
        listen: SocketAddr,
        peers: &[(String, SocketAddr)],
        handler: Arc<PeerHandler>,
        cancellations: CancellationLog,
    ) -> std::io::Result<Peers> {
        let mut channels = HashMap::new();
        {
            let _inside = runtime.enter();
            for (name, address) in peers {
                let endpoint = Endpoint::from_shared(format!("http://{address}"))
                    .map_err(std::io::Error::other)?
                    .connect_timeout(CONNECT)
                    .timeout(PATIENCE);
                channels.insert(name.clone(), endpoint.connect_lazy());
            }
        }
        let service = PeerServer::new(Service {
            handler,
            cancellations,
        })
        .max_decoding_message_size(MAX_BYTES);
        runtime.spawn(async move {
            loop {
                let server = Server::builder().add_service(service.clone());
                if let Err(error) = server.serve(listen).await {
                    tracing::warn!("cannot serve peers: {error}");
                }
                tokio::time::sleep(CONNECT).await;
            }
        });
        Ok(Peers {
            runtime: runtime.clone(),
            channels: Arc::new(channels),
        })
    }

    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.channels.keys()
    }

    fn call<T, F>(&self, within: Duration, call: F) -> Option<T>
    where
        T: Send + 'static,
        F: Future<Output = Result<Response<T>, Status>> + Send + 'static,
    {
        let (tx, rx) = bounded(1);
        self.runtime.spawn(async move {
            if let Ok(Ok(response)) = tokio::time::timeout(within, call).await {
                let _ = tx.send(response.into_inner());
            }
        });
        rx.recv().ok()
    }

    fn client(&self, name: &str) -> Option<PeerClient<Channel>> {
        Some(PeerClient::new(self.channels.get(name)?.clone()))
    }

    /// Hands a user's request to another controller.
    pub fn ask(&self, name: &str, asked: &Asked, within: Duration) -> Option<Reply> {
        let mut client = self.client(name)?;
        let request = AskRequest {
            kind: asked.kind.into(),
            job: asked.job.to_string(),
            body: asked.body.to_vec(),
        };
        let waits = asked.waits;
        let reply = self.call(within, async move {
            if waits {
                client.ask_waiting(request).await
            } else {
                client.ask(request).await
            }
        })?;
        Some(Reply {
            status: reply.status as u16,
            body: reply.body.into(),
            retry_after: Some(reply.retry_after).filter(|s| *s > 0),
        })
    }

    /// Hands a worker's report to the leader.
    pub fn report(&self, name: &str, body: Vec<u8>, within: Duration) -> Option<Reply> {
        let mut client = self.client(name)?;
        let request = ReportRequest { body };
        let reply = self.call(within, async move { client.report(request).await })?;
        Some(Reply {
            status: reply.status as u16,
            body: reply.body.into(),
            retry_after: None,
        })
    }

    /// Whether workers report to another controller; `None` if there is no answer.
    pub fn hears_workers(&self, name: &str, within: Duration) -> Option<bool> {
        let mut client = self.client(name)?;
        let reply = self.call(within, async move { client.hears(HearsRequest {}).await })?;
        Some(reply.workers)
    }

    /// Asks for a promise to answer no report with a lower token; `None` if there is no answer.
    pub fn promise(&self, name: &str, token: u64, within: Duration) -> Option<bool> {
        let mut client = self.client(name)?;
        let request = PromiseRequest { token };
        let reply = self.call(within, async move { client.promise(request).await })?;
        Some(reply.promised)
    }

    /// Asks which cancellations another controller has confirmed since an earlier answer; `None` if
    /// there is no answer, as from a version that does not know the call.
    pub fn cancellations(
        &self,
        name: &str,
        after: Cursor,
        within: Duration,
    ) -> Option<CancellationPage> {
        let mut client = self.client(name)?;
        let request = CancellationsRequest {
            incarnation: after.incarnation,
            next: after.next,
        };
        let reply = self.call(within, async move { client.cancellations(request).await })?;
        Some(CancellationPage {
            cursor: Cursor {
                incarnation: reply.incarnation,
                next: reply.next,
            },
            continues: reply.continues,
            complete: reply.complete,
            jobs: reply.jobs.iter().map(|job| job.as_str().into()).collect(),
        })
    }

    /// Whether another controller is up and can be reached.
    pub fn reaches(&self, name: &str, within: Duration) -> bool {
        self.promise(name, 0, within).is_some()
    }
}
