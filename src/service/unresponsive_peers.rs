//! Which peers a gateway leaves out for a while, because they lately gave no answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// For how long a peer that gave no answer is left out.
const BACKOFF: Duration = Duration::from_secs(2);

/// The peers that lately gave no answer, as one gateway's thread has seen it.
#[derive(Default)]
pub(super) struct UnresponsivePeers(RefCell<HashMap<String, Instant>>);

impl UnresponsivePeers {
    /// A peer has given no answer just now.
    pub(super) fn insert(&self, peer: &str) {
        let until = Instant::now() + BACKOFF;
        self.0.borrow_mut().insert(peer.to_string(), until);
    }

    /// Whether a peer is to be left out now.
    pub(super) fn contains(&self, peer: &str) -> bool {
        let peers = self.0.borrow();
        let until = peers.get(peer);
        until.is_some_and(|until| Instant::now() < *until)
    }
}
