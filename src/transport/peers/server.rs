//! The peer server: converts gRPC calls to [`PeerRequest`]s, and replies to gRPC messages.

use super::wire::peer_server::{Peer, PeerServer};
use super::wire::{AskReply, AskRequest, HearsReply, HearsRequest};
use super::wire::{CancellationsReply, CancellationsRequest};
use super::wire::{PromiseReply, PromiseRequest, ReportReply, ReportRequest};
use super::{PeerHandler, PeerRequest, CALL_TIMEOUT, CONNECT_TIMEOUT, MAX_MESSAGE_BYTES};
use crate::protocol::ids::FencingToken;
use crate::storage::cancellation_log::{CancellationLog, Cursor};
use crate::storage::open_job_budget::{AcceptLimit, OpenJobBudget};
use crate::transport::runtime::Runtime;
use crate::transport::Reply;
use std::net::SocketAddr;
use std::sync::Arc;
use tonic::transport::Server;
use tonic::{Request, Response, Status};
use tracing::warn;

/// The token of a call that requests no promise and only checks whether the controller is reachable.
pub(super) const NO_TOKEN: FencingToken = FencingToken(0);

struct Service {
    handler: Arc<PeerHandler>,
    cancellations: CancellationLog,
    open_jobs: OpenJobBudget,
}

/// Serves peers in the background, and restarts the server when it fails.
pub(super) fn start(
    runtime: &Runtime,
    listen: SocketAddr,
    handler: Arc<PeerHandler>,
    cancellations: CancellationLog,
    open_jobs: OpenJobBudget,
) {
    let service = PeerServer::new(Service {
        handler,
        cancellations,
        open_jobs,
    })
    .max_decoding_message_size(MAX_MESSAGE_BYTES);
    runtime.spawn(async move {
        loop {
            let server = Server::builder().add_service(service.clone());
            if let Err(error) = server.serve(listen).await {
                warn!(address = %listen, %error, "peer server failed, restarting");
            }
            tokio::time::sleep(CONNECT_TIMEOUT).await;
        }
    });
}

impl Service {
    /// Passes a request to the handler and waits for its reply.
    async fn handle(&self, request: PeerRequest) -> Result<Reply, Status> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        (self.handler)(
            request,
            Box::new(move |reply| {
                let _ = sender.send(reply);
            }),
        );
        match tokio::time::timeout(CALL_TIMEOUT, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(Status::unavailable("the controller did not reply")),
        }
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        let request = request.into_inner();
        let reply = self
            .handle(PeerRequest::UserRequest {
                kind: request.kind(),
                job: request.job,
                body: request.body,
            })
            .await?;
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
        let body = request.into_inner().body;
        let reply = self.handle(PeerRequest::Heartbeat(body)).await?;
        Ok(Response::new(ReportReply {
            status: reply.status.into(),
            body: reply.body.into_owned(),
        }))
    }

    async fn hears(&self, _: Request<HearsRequest>) -> Result<Response<HearsReply>, Status> {
        let workers = self.handle(PeerRequest::ReceivesHeartbeats).await?.status == 200;
        Ok(Response::new(HearsReply { workers }))
    }

    async fn promise(
        &self,
        request: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        let token = FencingToken(request.into_inner().token);
        let promised = match token {
            NO_TOKEN => false,
            token => self.handle(PeerRequest::Promise { token }).await?.status == 200,
        };
        Ok(Response::new(PromiseReply { promised }))
    }

    async fn cancellations(
        &self,
        request: Request<CancellationsRequest>,
    ) -> Result<Response<CancellationsReply>, Status> {
        let request = request.into_inner();
        if let Some(bytes) = request.accept_limit {
            let token = FencingToken(request.token);
            let limit = AcceptLimit { token, bytes };
            self.open_jobs.set_limit(request.incarnation, limit);
        }
        let accepted = self.open_jobs.report();
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
            accepted_bytes: Some(accepted.accepted_bytes),
            accept_limit: accepted.limit_bytes,
        }))
    }
}
