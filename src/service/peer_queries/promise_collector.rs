//! Collects the other controllers' promises for a new leader.

use crate::protocol::ids::FencingToken;
use crate::service::messages::Message;
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Asks all other controllers to promise, as acceptors do in Paxos, not to answer heartbeats as a leader with
/// a lower fencing token. Until a controller has promised, it may still do so. A restart loses a promise, but
/// also the controller's token, and a controller without a token answers no heartbeats.
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
