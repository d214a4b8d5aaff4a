//! Whether this node is isolated: cut off from the state service and from every other controller.
//!
//! Such a node can serve no user, and leaves the load balancer's rotation until it can. An outage of
//! the state service alone is no reason to leave: all nodes would, and the way back is slow.

use super::threads::spawn;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::api_server::Health;
use crate::transport::peers::Peers;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The pause between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long the state service must have given no answer before peers are checked.
const STATE_SERVICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the checks on a thread of their own; the health that is returned is false while the node
/// is isolated.
///
/// # Errors
///
/// When the thread cannot be started.
pub(super) fn watch(
    store: KeyValueStore,
    peers: Peers,
    epoch: Instant,
) -> anyhow::Result<Arc<Health>> {
    let isolated = Arc::new(AtomicBool::new(false));
    let shared = isolated.clone();
    spawn("isolation", move || loop {
        std::thread::sleep(CHECK_INTERVAL);
        let now_isolated = is_isolated(&store, &peers, epoch);
        if now_isolated != isolated.swap(now_isolated, Ordering::Relaxed) {
            if now_isolated {
                warn!("node isolated from the state service and all peers, reporting unhealthy");
            } else {
                info!("node no longer isolated, reporting healthy");
            }
        }
    })?;
    Ok(Arc::new(move || !shared.load(Ordering::Relaxed)))
}

fn is_isolated(store: &KeyValueStore, peers: &Peers, epoch: Instant) -> bool {
    let silence = epoch.elapsed().saturating_sub(store.last_response(epoch));
    silence > STATE_SERVICE_TIMEOUT
        && !peers.is_empty()
        && !peers
            .names()
            .any(|name| peers.is_reachable(name, CHECK_INTERVAL / 2))
}
