//! The peers to which a gateway sends no requests for a while, because they did not answer recently.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a peer that did not answer is skipped.
const BACKOFF: Duration = Duration::from_secs(2);

/// The peers that did not answer one gateway's requests recently.
#[derive(Default)]
pub(super) struct UnresponsivePeers(RefCell<HashMap<String, Instant>>);

impl UnresponsivePeers {
    /// Skips a peer from now on, as it has not answered a request.
    pub(super) fn insert(&self, peer: &str) {
        let until = Instant::now() + BACKOFF;
        self.0.borrow_mut().insert(peer.to_string(), until);
    }

    /// Whether a peer is currently skipped.
    pub(super) fn contains(&self, peer: &str) -> bool {
        let peers = self.0.borrow();
        let until = peers.get(peer);
        until.is_some_and(|until| Instant::now() < *until)
    }
}
