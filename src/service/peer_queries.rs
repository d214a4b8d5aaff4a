//! Questions of a leader to the other controllers, each asked on a thread of its own.

use super::messages::{Message, PeerReachability};
use crate::coordination::cluster::cancellation_evidence::PeerAnswer;
use crate::coordination::Time;
use crate::storage::cancellation_log::Cursor;
use crate::transport::peers::Peers;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Finds out whether any other controller can be reached, and whether workers report to it.
pub fn probe(peers: &Peers, inbox: &Sender<Message>, within: Duration) {
    let mut reachability = PeerReachability::Unreachable;
    for name in peers.names() {
        match peers.receives_heartbeats(name, within) {
            Some(true) => {
                reachability = PeerReachability::ReachableWithWorkers;
                break;
            }
            Some(false) => reachability = PeerReachability::ReachableWithoutWorkers,
            None => {}
        }
    }
    let _ = inbox.send(Message::PeersProbed(reachability));
}

/// Asks all other controllers to answer no more reports with lower tokens. A controller that does
/// not answer may still do so; one that has restarted does not, as it knows no token.
pub struct PromiseCollector {
    pub peers: Peers,
    pub inbox: Sender<Message>,
    /// The present term; the collector ends with its own.
    pub term: Arc<AtomicU64>,
    pub token: u64,
    pub pause: Duration,
}

impl PromiseCollector {
    /// Asks until all have promised or the term is over.
    pub fn run(self) {
        let mut left: Vec<&String> = self.peers.names().collect();
        while self.term.load(Ordering::Relaxed) == self.token {
            left.retain(|name| {
                let promised = self.peers.request_promise(name, self.token, 2 * self.pause);
                promised != Some(true)
            });
            if left.is_empty() {
                let _ = self.inbox.send(Message::Promised(self.token));
                return;
            }
            std::thread::sleep(self.pause);
        }
    }
}

/// Asks each other controller which cancellations it has confirmed, on one thread for each: a
/// controller that does not answer holds up no other.
pub struct CancellationQueries {
    questions: BTreeMap<String, Sender<Cursor>>,
}

impl CancellationQueries {
    /// Starts the threads.
    pub fn start(
        peers: &Peers,
        inbox: &Sender<Message>,
        epoch: Instant,
        within: Duration,
    ) -> anyhow::Result<CancellationQueries> {
        let mut questions = BTreeMap::new();
        for name in peers.names() {
            let (question, asked) = bounded(1);
            let thread = CancellationThread {
                peers: peers.clone(),
                name: name.clone(),
                inbox: inbox.clone(),
                epoch,
                within,
            };
            super::spawn("cancellations", move || thread.run(&asked))?;
            questions.insert(name.clone(), question);
        }
        Ok(CancellationQueries { questions })
    }

    /// Asks a peer; its answer, or that there was none, comes as a message.
    pub fn ask(&self, peer: &str, after: Cursor) {
        if let Some(question) = self.questions.get(peer) {
            let _ = question.try_send(after);
        }
    }
}

struct CancellationThread {
    peers: Peers,
    name: String,
    inbox: Sender<Message>,
    epoch: Instant,
    within: Duration,
}

impl CancellationThread {
    fn run(&self, questions: &Receiver<Cursor>) {
        for asked in questions {
            let answer = self.ask(asked);
            let message = Message::PeerCancellations(self.name.clone(), answer);
            let _ = self.inbox.send(message);
        }
    }

    fn ask(&self, asked: Cursor) -> Option<PeerAnswer> {
        let sent = self.now();
        let page = self.peers.cancellations(&self.name, asked, self.within)?;
        Some(PeerAnswer {
            peer: self.name.clone(),
            asked,
            sent,
            received: self.now(),
            page,
        })
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }
}
