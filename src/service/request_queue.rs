//! The bounded queue of requests that the gateways serve.

use super::replies::busy;
use crate::transport::api_server::ApiRequest;
use crate::transport::Responder;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};

/// A request in the queue, and where its reply is sent.
pub struct RequestTask {
    pub(super) work: RequestWork,
    pub(super) respond: Responder,
}

/// What a gateway does for a request.
pub(super) enum RequestWork {
    /// Answer a user's request.
    Answer {
        call: ApiRequest,
        /// Whether another controller has forwarded the request. It is then not forwarded again.
        from_peer: bool,
    },
    /// Forward a poll because this controller can't read the state service.
    ForwardPoll { job: String },
    /// Forward a heartbeat whose worker cannot reach the leader.
    ForwardHeartbeat { leader: String, body: Vec<u8> },
}

impl RequestTask {
    /// A request that a user has sent to this controller.
    pub fn from_user(call: ApiRequest, respond: Responder) -> RequestTask {
        let from_peer = false;
        RequestTask {
            work: RequestWork::Answer { call, from_peer },
            respond,
        }
    }

    /// A user's request that another controller has forwarded.
    pub fn from_peer(call: ApiRequest, respond: Responder) -> RequestTask {
        let from_peer = true;
        RequestTask {
            work: RequestWork::Answer { call, from_peer },
            respond,
        }
    }

    /// A poll to forward to another controller, which may be able to read the state service.
    pub fn forward_poll(job: String, respond: Responder) -> RequestTask {
        RequestTask {
            work: RequestWork::ForwardPoll { job },
            respond,
        }
    }

    /// A worker's heartbeat to forward to the leader, encoded as it was received.
    pub fn forward_heartbeat(leader: String, body: Vec<u8>, respond: Responder) -> RequestTask {
        RequestTask {
            work: RequestWork::ForwardHeartbeat { leader, body },
            respond,
        }
    }
}

/// The sender of the queue.
#[derive(Clone)]
pub struct RequestQueue(Sender<RequestTask>);

impl RequestQueue {
    /// A queue of at most `capacity` waiting requests, and its receiver.
    pub fn bounded(capacity: usize) -> (RequestQueue, Receiver<RequestTask>) {
        let (sender, receiver) = bounded(capacity);
        (RequestQueue(sender), receiver)
    }

    /// Enqueues a request. If the queue is full, the request is rejected immediately.
    pub fn enqueue(&self, task: RequestTask) {
        if let Err(TrySendError::Full(task) | TrySendError::Disconnected(task)) =
            self.0.try_send(task)
        {
            (task.respond)(busy());
        }
    }
}
