//! Detects that this controller is isolated: it reaches neither the state service nor any other
//! controller.
//!
//! An isolated controller can't serve users, so it fails its health check and the load balancer stops
//! sending requests to it. An outage of the state service alone does not fail the health check: it would
//! take all controllers out of rotation at once, and a load balancer is slow to add them again.

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
/// The time without a response of the state service after which the peers are checked.
const STATE_SERVICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the checks on a new thread. The returned health check is false while this controller is
/// isolated.
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
                warn!("isolated from the state service and all peers, reporting unhealthy");
            } else {
                info!("no longer isolated, reporting healthy");
            }
        }
    })?;
    Ok(Arc::new(move || !shared.load(Ordering::Relaxed)))
}

fn is_isolated(store: &KeyValueStore, peers: &Peers, epoch: Instant) -> bool {
    let since_last_response = epoch.elapsed().saturating_sub(store.last_response(epoch));
    since_last_response > STATE_SERVICE_TIMEOUT
        && !peers.is_empty()
        && !peers
            .names()
            .any(|name| peers.is_reachable(name, CHECK_INTERVAL / 2))
}
