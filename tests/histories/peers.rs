//! The other controllers, as far as they confirm cancellations to users and tell the leader of them.

use stairstage::coordination::cluster::cancellation_evidence::PeerAnswer;
use stairstage::storage::cancellation_log::{CancellationLog, Cursor};

/// Cancellations that a controller keeps: more than any history has.
const CAPACITY: usize = 10_000;
/// The other controllers.
const NAMES: [&str; 2] = ["b", "c"];

/// A controller that keeps a log of the cancellations that it has confirmed.
struct Peer {
    name: String,
    log: CancellationLog,
    incarnation: u64,
}

/// The other controllers of a history.
pub(crate) struct Peers {
    peers: Vec<Peer>,
    /// Cancellations that were confirmed so far; users ask one controller after the other.
    confirmed: usize,
}

impl Peers {
    pub(crate) fn new() -> Peers {
        let peer = |name: &str| Peer {
            name: name.to_string(),
            log: CancellationLog::with_incarnation(1, CAPACITY),
            incarnation: 1,
        };
        Peers {
            peers: NAMES.map(peer).into(),
            confirmed: 0,
        }
    }

    /// Their names.
    pub(crate) fn names(&self) -> impl Iterator<Item = &String> {
        self.peers.iter().map(|p| &p.name)
    }

    /// One of them enters a cancellation, and then tells a user of it.
    pub(crate) fn confirm(&mut self, job: &str) {
        let peer = self.confirmed % self.peers.len();
        self.peers[peer].log.record(job);
        self.confirmed += 1;
    }

    /// The process of one of them ends and is back; nobody knows what it had confirmed.
    pub(crate) fn restart(&mut self, number: usize) {
        let peer = &mut self.peers[number];
        peer.incarnation += 1;
        peer.log = CancellationLog::with_incarnation(peer.incarnation, CAPACITY);
    }

    /// What a controller answers at once.
    pub(crate) fn ask(&self, name: &str, asked: Cursor, now: f64) -> Option<PeerAnswer> {
        let peer = self.peers.iter().find(|p| p.name == name)?;
        Some(PeerAnswer {
            peer: peer.name.clone(),
            requested_from: asked,
            sent: now,
            received: now,
            page: peer.log.page(asked),
        })
    }
}
