//! Collects the other controllers' promises for a new leader.

use crate::protocol::ids::FencingToken;
use crate::service::messages::Message;
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Asks all other controllers to promise that they answer no more heartbeats with lower fencing tokens, as
/// acceptors do in Paxos. Until a controller has promised, it may still answer heartbeats with a lower
/// token. A restart loses a promise, but also the token, and without one no heartbeat is answered.
pub struct PromiseCollector {
    /// The other controllers.
    pub peers: Peers,
    /// The controller actor's inbox.
    pub inbox: Sender<Message>,
    /// The current term. The collector stops when it is not `token` any more.
    pub term: Arc<AtomicU64>,
    /// The fencing token of the term for which promises are collected.
    pub token: FencingToken,
    /// The time between two rounds of requests.
    pub pause: Duration,
}

impl PromiseCollector {
    /// Sends requests until all other controllers have promised or the term is over.
    pub fn run(self) {
        let mut outstanding: Vec<&String> = self.peers.names().collect();
        while self.term.load(Ordering::Relaxed) == self.token.0 {
            outstanding.retain(|name| {
                let promised = self.peers.request_promise(name, self.token, 2 * self.pause);
                promised != Some(true)
            });
            if outstanding.is_empty() {
                let token = self.token;
                let _ = self.inbox.send(Message::PromisesCollected { token });
                return;
            }
            std::thread::sleep(self.pause);
        }
    }
}
