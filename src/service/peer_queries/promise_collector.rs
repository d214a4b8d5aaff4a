//! Collects the other controllers' promises for a new leader.

use crate::protocol::ids::FencingToken;
use crate::service::messages::Message;
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Asks all other controllers to promise that they answer no more heartbeats with lower tokens, as
/// acceptors do in Paxos. A controller that gives no promise may still answer some; one that has
/// restarted does not, as it knows no token.
pub struct PromiseCollector {
    /// The other controllers.
    pub peers: Peers,
    /// The controller's inbox.
    pub inbox: Sender<Message>,
    /// The present term; the collector ends with its own.
    pub term: Arc<AtomicU64>,
    /// The token of the term that it collects for.
    pub token: FencingToken,
    /// The time between two rounds of requests.
    pub pause: Duration,
}

impl PromiseCollector {
    /// Asks until all have promised or the term is over.
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
