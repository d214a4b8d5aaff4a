//! The actor that owns the state of the cluster: a [`ClusterManager`] while this node leads.
//!
//! It handles messages in batches and never waits for anything but its inbox: what waits runs on
//! other threads.
//!
//! [`ClusterManager`]: crate::coordination::manager::ClusterManager

mod cancellations;
mod effects;
mod election_events;
mod handles;
mod heartbeats;
mod jobs;
mod message_handler;
mod peer_probe;
mod promises;
mod role;

pub use handles::ControllerHandles;

use super::io_thread_pool::CloudCall;
use super::messages::Message;
use crate::coordination::cluster::heartbeat_routing::HeartbeatRouter;
use crate::coordination::Time;
use crate::protocol::cloud::{MachineType, LIST_PAGE};
use crate::protocol::ids::FencingToken;
use crate::settings::Settings;
use crate::storage::recent_jobs::EndIndex;
use cancellations::KnownCancellations;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use role::Role;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The share of the cloud's calls that lists of machines may take.
const LIST_SHARE: f64 = 0.1;
/// Messages that are handled before the manager decides again.
const BATCH: usize = 64;
/// How long the controller waits for a message before the manager decides again.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Seconds between two runs of periodic work.
const TICK_S: f64 = 1.0;
/// Seconds between two log lines about requests to the state service.
const REQUEST_LOG_INTERVAL_S: f64 = 10.0;
/// The inbox is backlogged once more than its capacity divided by this waits.
const BACKLOG_DIVISOR: usize = 2;
/// A backlog is over once no more than the capacity divided by this waits.
const BACKLOG_OVER_DIVISOR: usize = 4;
/// Bytes that a remembered end takes.
const END_BYTES: f64 = 200.0;
/// The share of memory for remembered ends.
const ENDS_MEMORY_SHARE: f64 = 0.1;

/// One node's controller.
pub struct Controller {
    settings: Arc<Settings>,
    /// The zero of this node's clock.
    epoch: Instant,
    handles: ControllerHandles,
    role: Role,
    /// The token of the present term, 0 without one; the threads of other terms end.
    term: Arc<AtomicU64>,
    /// Who leads, as far as this node knows.
    leader: Option<String>,
    /// How jobs have ended, as far as that is on record and remembered.
    recorded_ends: EndIndex,
    machine_types: Vec<MachineType>,
    /// The workers that were lately redirected to the leader.
    heartbeat_router: HeartbeatRouter,
    last_tick_at: Time,
    /// When the machines were last listed.
    machines_listed_at: Time,
    /// When the requests to the state service were last logged.
    requests_logged_at: Time,
    /// When a worker last sent a heartbeat to this node itself.
    last_heartbeat_at: Time,
    /// Whether peers are being asked because no worker sends heartbeats here.
    is_probing_peers: bool,
    /// Whether messages have piled up.
    is_backlogged: bool,
    /// The highest token that was promised to: lower ones never answer heartbeats here.
    promised_token: FencingToken,
    cancellations: KnownCancellations,
}

impl Controller {
    /// A follower that knows nothing yet; times are measured from `epoch`.
    pub fn new(settings: Arc<Settings>, epoch: Instant, handles: ControllerHandles) -> Controller {
        let bytes = settings.cluster.limits.ram_mb * 1e6 * ENDS_MEMORY_SHARE;
        Controller {
            epoch,
            role: Role::Follower,
            term: Arc::default(),
            leader: None,
            recorded_ends: EndIndex::new((bytes / END_BYTES) as usize),
            machine_types: Vec::new(),
            heartbeat_router: HeartbeatRouter::new(&settings.cluster.workers),
            last_tick_at: 0.0,
            machines_listed_at: 0.0,
            requests_logged_at: 0.0,
            last_heartbeat_at: 0.0,
            is_probing_peers: false,
            is_backlogged: false,
            promised_token: FencingToken::default(),
            cancellations: KnownCancellations::new(&handles.peers, &handles.cancellation_log),
            handles,
            settings,
        }
    }

    /// Handles messages for as long as any can come.
    pub fn run(mut self, messages: Receiver<Message>) {
        loop {
            match messages.recv_timeout(MAX_WAIT) {
                Ok(message) => {
                    self.handle_message(message);
                    for message in messages.try_iter().take(BATCH) {
                        self.handle_message(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step();
            self.check_backlog(&messages);
        }
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    /// The leader, if it is another node.
    fn other_leader(&self) -> Option<String> {
        self.leader.clone().filter(|l| *l != self.settings.name)
    }

    /// Logs once that messages pile up, until they are fewer again.
    fn check_backlog(&mut self, messages: &Receiver<Message>) {
        let (waiting, capacity) = (messages.len(), messages.capacity().unwrap_or(usize::MAX));
        if waiting > capacity / BACKLOG_DIVISOR && !self.is_backlogged {
            warn!(
                waiting,
                capacity, "inbox backlogged: this node is overloaded"
            );
        }
        let divisor = if self.is_backlogged {
            BACKLOG_OVER_DIVISOR
        } else {
            BACKLOG_DIVISOR
        };
        self.is_backlogged = waiting > capacity / divisor;
    }

    fn step(&mut self) {
        let now = self.now();
        let is_tick = now - self.last_tick_at >= TICK_S;
        if is_tick {
            self.last_tick_at = now;
            self.heartbeat_router.forget_old(now);
            self.log_request_counts(now);
        }
        self.apply_own_cancellations();
        self.query_peer_cancellations(now);
        if is_tick {
            self.tick_leader(now);
        }
        self.step_leader(now, is_tick);
    }

    /// A leader's periodic work.
    fn tick_leader(&mut self, now: Time) {
        let Some(manager) = self.role.manager_mut() else {
            return;
        };
        if self.handles.store.is_limited() {
            manager.lower_write_rate();
        }
        manager.tick(now);
        let pause_s = list_pause_s(&self.settings, manager.machine_count());
        if now - self.machines_listed_at >= pause_s {
            self.machines_listed_at = now;
            self.handles.io_threads.call_cloud(CloudCall::List);
        }
    }

    /// Lets a leader's manager decide, and executes what it decides.
    fn step_leader(&mut self, now: Time, is_tick: bool) {
        let Some(manager) = self.role.manager_mut() else {
            return;
        };
        let started_at = Instant::now();
        if manager.step(now) {
            manager.record_cycle_duration(
                started_at.elapsed().as_secs_f64(),
                self.epoch.elapsed().as_secs_f64(),
            );
        }
        let effects = manager.take_effects();
        let is_deposed = manager.is_deposed();
        if is_tick && !self.is_probing_peers && manager.receives_no_heartbeats(now) {
            self.is_probing_peers = true;
            self.probe_peers();
        }
        for effect in effects {
            self.execute(effect);
        }
        if is_deposed {
            self.resign();
        }
    }

    fn log_request_counts(&mut self, now: Time) {
        if now - self.requests_logged_at >= REQUEST_LOG_INTERVAL_S {
            self.requests_logged_at = now;
            let counts = self.handles.store.take_request_counts();
            info!(%counts, "requests to the state service");
        }
    }
}

/// Seconds between two lists of all machines, which take a call for every page.
fn list_pause_s(settings: &Settings, machines: usize) -> f64 {
    let cloud = &settings.cluster.cloud;
    let pages = 1.0 + (machines / LIST_PAGE) as f64;
    (cloud.list_lag_s / 2.0).max(pages / (LIST_SHARE * cloud.rps))
}
