//! Whether this node is cut off from the state service and from every other controller.
//!
//! Such a node can serve no user, and leaves the load balancer's rotation until it can. An outage of
//! the state service alone is no reason to leave: all nodes would, and the way back is slow.

use super::spawn;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::front::Health;
use crate::transport::peers::Peers;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

const PAUSE: Duration = Duration::from_secs(1);
/// The state service must have been out of reach for this long.
const DOUBT: Duration = Duration::from_secs(3);

pub(super) fn watch(
    store: KeyValueStore,
    peers: Peers,
    epoch: Instant,
) -> anyhow::Result<Arc<Health>> {
    let isolated = Arc::new(AtomicBool::new(false));
    let told = isolated.clone();
    spawn("isolation", move || loop {
        std::thread::sleep(PAUSE);
        let silent = epoch.elapsed().saturating_sub(store.last_answer(epoch)) > DOUBT;
        let alone = silent
            && !peers.is_empty()
            && !peers.names().any(|name| peers.reaches(name, PAUSE / 2));
        if alone != isolated.swap(alone, Ordering::Relaxed) {
            if alone {
                warn!("neither the state service nor a peer is reached: leaves the rotation")
            } else {
                info!("is no longer cut off")
            }
        }
    })?;
    Ok(Arc::new(move || !told.load(Ordering::Relaxed)))
}
