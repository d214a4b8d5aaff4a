//! Routes the requests that the API server and the peer server receive: heartbeats and peers' queries to
//! the controller actor, users' requests to the gateways.

use super::messages::{Message, ReceivedHeartbeat};
use super::replies::busy;
use super::request_queue::{RequestQueue, RequestTask};
use crate::coordination::cluster::heartbeats::HeartbeatSource;
use crate::protocol::worker::Heartbeat;
use crate::transport::api_server::ApiRequest;
use crate::transport::peers::{Kind, PeerRequest};
use crate::transport::{Reply, Responder};
use crossbeam::channel::{Sender, TrySendError};
use tracing::warn;

/// Enqueues each request for the actor that serves it, without blocking.
#[derive(Clone)]
pub(super) struct CallRouter {
    /// The controller actor's inbox.
    pub(super) inbox: Sender<Message>,
    /// The gateways' queue.
    pub(super) requests: RequestQueue,
}

impl CallRouter {
    /// Routes a request of a user or a worker.
    pub(super) fn route_call(&self, call: ApiRequest, respond: Responder) {
        match call {
            ApiRequest::Heartbeat(body) => {
                self.enqueue_heartbeat(body, HeartbeatSource::Worker, respond);
            }
            call => self.requests.enqueue(RequestTask::from_user(call, respond)),
        }
    }

    /// Routes a request of another controller.
    pub(super) fn route_peer_call(&self, call: PeerRequest, respond: Responder) {
        match call {
            PeerRequest::UserRequest { kind, job, body } => {
                let call = forwarded_call(kind, job, body);
                self.requests.enqueue(RequestTask::from_peer(call, respond));
            }
            PeerRequest::Heartbeat(body) => {
                self.enqueue_heartbeat(body, HeartbeatSource::Peer, respond);
            }
            PeerRequest::ReceivesHeartbeats => {
                let message = Message::ReceivesHeartbeats { respond };
                let _ = self.inbox.try_send(message);
            }
            PeerRequest::Promise { token } => {
                let message = Message::PromiseRequested { token, respond };
                let _ = self.inbox.try_send(message);
            }
        }
    }

    /// Enqueues a worker's heartbeat for the controller actor, or rejects the request if the inbox is full.
    fn enqueue_heartbeat(&self, body: Vec<u8>, source: HeartbeatSource, respond: Responder) {
        let heartbeat: Heartbeat = match serde_json::from_slice(&body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                warn!(%error, "cannot decode a heartbeat");
                return respond(Reply::error(400, "cannot decode the heartbeat"));
            }
        };
        let message = Message::Heartbeat(ReceivedHeartbeat {
            heartbeat: Box::new(heartbeat),
            body,
            source,
            respond,
        });
        if let Err(TrySendError::Full(m) | TrySendError::Disconnected(m)) =
            self.inbox.try_send(message)
        {
            if let Message::Heartbeat(received) = m {
                (received.respond)(busy());
            }
        }
    }
}

/// Converts a request that another controller has forwarded.
fn forwarded_call(kind: Kind, job: String, body: Vec<u8>) -> ApiRequest {
    match kind {
        Kind::Submit => ApiRequest::Submit(body),
        Kind::Query => ApiRequest::Query(job),
        Kind::Cancel => ApiRequest::Cancel(job),
    }
}
