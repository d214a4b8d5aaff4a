//! Simulated peers that confirm cancellations to users and report them to the leader.

use stairstage::coordination::cluster::cancellation_evidence::PeerCancellations;
use stairstage::storage::cancellation_log::{CancellationLog, Cursor};

/// Capacity of a peer's cancellation log: more than any history has cancellations.
const CAPACITY: usize = 10_000;
/// The names of the peers.
const PEER_NAMES: [&str; 2] = ["b", "c"];

/// A controller with a log of the cancellations that it has confirmed.
struct Peer {
    name: String,
    log: CancellationLog,
    incarnation: u64,
}

/// The peers of the leader in a history.
pub(crate) struct Peers {
    peers: Vec<Peer>,
    /// Number of cancellations confirmed so far; users send them to the peers in turn.
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
            peers: PEER_NAMES.map(peer).into(),
            confirmed: 0,
        }
    }

    /// The names of the peers.
    pub(crate) fn names(&self) -> impl Iterator<Item = &String> {
        self.peers.iter().map(|p| &p.name)
    }

    /// Records a cancellation in the log of the next peer, which then confirms it to a user.
    pub(crate) fn confirm_cancellation(&mut self, job: &str) {
        let peer = self.confirmed % self.peers.len();
        self.peers[peer].log.record(job);
        self.confirmed += 1;
    }

    /// Restarts the process of a peer, which loses its log of confirmed cancellations.
    pub(crate) fn restart(&mut self, number: usize) {
        let peer = &mut self.peers[number];
        peer.incarnation += 1;
        peer.log = CancellationLog::with_incarnation(peer.incarnation, CAPACITY);
    }

    /// The answer of a peer to a query, without delay.
    pub(crate) fn query(&self, name: &str, cursor: Cursor, now: f64) -> Option<PeerCancellations> {
        let peer = self.peers.iter().find(|p| p.name == name)?;
        Some(PeerCancellations {
            peer: peer.name.clone(),
            requested_from: cursor,
            sent: now,
            received: now,
            page: peer.log.page(cursor),
        })
    }
}
