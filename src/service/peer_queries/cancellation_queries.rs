//! Queries of the cancellations that the other controllers have confirmed.

use crate::coordination::cluster::cancellation_evidence::PeerAnswer;
use crate::coordination::Time;
use crate::service::messages::Message;
use crate::service::threads::spawn;
use crate::storage::cancellation_log::Cursor;
use crate::transport::peers::Peers;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Asks each other controller which cancellations it has confirmed, on one thread for each: a
/// controller that does not answer delays no other.
pub struct CancellationQueries {
    cursors: BTreeMap<String, Sender<Cursor>>,
}

impl CancellationQueries {
    /// Starts the threads. Each peer may take `timeout` to answer; the answers go to `inbox`, with
    /// times since `epoch`.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn start(
        peers: &Peers,
        inbox: &Sender<Message>,
        epoch: Instant,
        timeout: Duration,
    ) -> anyhow::Result<CancellationQueries> {
        let mut cursors = BTreeMap::new();
        for name in peers.names() {
            let (sender, receiver) = bounded(1);
            let peer_queries = QueriesOfPeer {
                peers: peers.clone(),
                name: name.clone(),
                inbox: inbox.clone(),
                epoch,
                timeout,
            };
            spawn("cancellations", move || peer_queries.run(&receiver))?;
            cursors.insert(name.clone(), sender);
        }
        Ok(CancellationQueries { cursors })
    }

    /// Asks a peer for the cancellations after a cursor, unless a query of it waits already; its
    /// answer, or that there was none, comes as a message.
    pub fn ask(&self, peer: &str, after: Cursor) {
        if let Some(cursors) = self.cursors.get(peer) {
            let _ = cursors.try_send(after);
        }
    }
}

/// The queries of one peer.
struct QueriesOfPeer {
    peers: Peers,
    name: String,
    inbox: Sender<Message>,
    epoch: Instant,
    timeout: Duration,
}

impl QueriesOfPeer {
    fn run(&self, cursors: &Receiver<Cursor>) {
        for cursor in cursors {
            let answer = self.ask(cursor);
            let peer = self.name.clone();
            let _ = self.inbox.send(Message::PeerCancellations { peer, answer });
        }
    }

    fn ask(&self, cursor: Cursor) -> Option<PeerAnswer> {
        let sent = self.now();
        let page = self.peers.cancellations(&self.name, cursor, self.timeout)?;
        Some(PeerAnswer {
            peer: self.name.clone(),
            requested_from: cursor,
            sent,
            received: self.now(),
            page,
        })
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }
}
