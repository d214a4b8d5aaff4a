//! The bounded queue of requests that the gateways' threads serve.

use super::replies::busy;
use crate::transport::api_server::ApiRequest;
use crate::transport::Responder;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};

/// A request in the queue, and where its reply goes.
pub struct RequestTask {
    pub(super) work: RequestWork,
    pub(super) respond: Responder,
}

/// What is to be done for a request.
pub(super) enum RequestWork {
    /// Answer a user's request.
    Answer {
        call: ApiRequest,
        /// Whether another controller has forwarded it. It is then forwarded no further.
        from_peer: bool,
    },
    /// Forward a poll for which this node can't ask the state service.
    ForwardPoll { job: String },
    /// Forward a heartbeat whose worker cannot reach the leader.
    ForwardHeartbeat { leader: String, body: Vec<u8> },
}

impl RequestTask {
    /// A request that a user has sent to this node.
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

    /// A poll to forward to a controller that can ask the state service.
    pub fn forward_poll(job: String, respond: Responder) -> RequestTask {
        RequestTask {
            work: RequestWork::ForwardPoll { job },
            respond,
        }
    }

    /// A worker's heartbeat, as it was received, to forward to the leader.
    pub fn forward_heartbeat(leader: String, body: Vec<u8>, respond: Responder) -> RequestTask {
        RequestTask {
            work: RequestWork::ForwardHeartbeat { leader, body },
            respond,
        }
    }
}

/// The sending end of the queue.
#[derive(Clone)]
pub struct RequestQueue(Sender<RequestTask>);

impl RequestQueue {
    /// A queue of at most `capacity` waiting requests, and the end from which they are taken.
    pub fn bounded(capacity: usize) -> (RequestQueue, Receiver<RequestTask>) {
        let (sender, receiver) = bounded(capacity);
        (RequestQueue(sender), receiver)
    }

    /// Enqueues a request; when the queue is full, it is answered at once.
    pub fn enqueue(&self, task: RequestTask) {
        if let Err(TrySendError::Full(task) | TrySendError::Disconnected(task)) =
            self.0.try_send(task)
        {
            (task.respond)(busy());
        }
    }
}
