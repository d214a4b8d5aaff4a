//! The controller actor, which owns the state of the cluster: a [`ClusterManager`] while this controller
//! leads.
//!
//! The actor handles messages in batches and blocks only on its inbox. Blocking calls run on other threads.
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
use crate::coordination::cluster::accept_limits::AcceptLimits;
use crate::coordination::cluster::heartbeat_routing::HeartbeatRouter;
use crate::coordination::Time;
use crate::protocol::cloud::{MachineType, LIST_PAGE_SIZE};
use crate::protocol::ids::FencingToken;
use crate::settings::Settings;
use crate::storage::recent_jobs::RecentFinalStates;
use cancellations::KnownCancellations;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use role::Role;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The share of the cloud's rate limit that listing machines may use.
const LIST_SHARE: f64 = 0.1;
/// The maximum number of further messages that are handled before the manager's next step.
const MESSAGE_BATCH: usize = 64;
/// How long the controller actor waits for a message before the manager's next step.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Seconds between two runs of periodic work.
const TICK_S: f64 = 1.0;
/// Seconds between two log lines with the counts of requests to the state service.
const REQUEST_LOG_INTERVAL_S: f64 = 10.0;
/// The inbox is backlogged when more messages wait than its capacity divided by this.
const BACKLOG_DIVISOR: usize = 2;
/// A backlog is over when no more messages wait than the inbox's capacity divided by this.
const BACKLOG_OVER_DIVISOR: usize = 4;
/// The memory for one job's final state, in bytes.
const FINAL_STATE_BYTES: f64 = 200.0;
/// The share of the controller's memory limit that jobs' final states may take.
const FINAL_STATES_MEMORY_SHARE: f64 = 0.1;

/// The controller actor.
pub struct Controller {
    settings: Arc<Settings>,
    /// The origin of this controller's times.
    epoch: Instant,
    handles: ControllerHandles,
    role: Role,
    /// The fencing token of the current term, 0 while not elected. Threads started for another term stop.
    term: Arc<AtomicU64>,
    /// The leader, as far as this controller knows.
    leader: Option<String>,
    /// The recorded final states of the most recently finished jobs.
    final_states: RecentFinalStates,
    machine_types: Vec<MachineType>,
    /// Which workers were recently redirected to the leader.
    heartbeat_router: HeartbeatRouter,
    last_tick_at: Time,
    /// When the machines were last listed.
    machines_listed_at: Time,
    /// When the requests to the state service were last logged.
    requests_logged_at: Time,
    /// When a worker last sent a heartbeat directly to this controller.
    last_heartbeat_at: Time,
    /// Whether peers are being probed because this controller receives no heartbeats.
    is_probing_peers: bool,
    /// Whether the inbox is backlogged.
    is_backlogged: bool,
    /// The highest token for which this controller has promised not to answer heartbeats as a leader with a
    /// lower one.
    promised_token: FencingToken,
    cancellations: KnownCancellations,
    /// The limits of all controllers for accepted jobs, while this one leads.
    accept_limits: AcceptLimits,
}

impl Controller {
    /// A follower without any state; times are measured from `epoch`.
    pub fn new(settings: Arc<Settings>, epoch: Instant, handles: ControllerHandles) -> Controller {
        let bytes = settings.cluster.limits.ram_mb * 1e6 * FINAL_STATES_MEMORY_SHARE;
        Controller {
            epoch,
            role: Role::Follower,
            term: Arc::default(),
            leader: None,
            final_states: RecentFinalStates::new((bytes / FINAL_STATE_BYTES) as usize),
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
            accept_limits: AcceptLimits::new(&settings),
            handles,
            settings,
        }
    }

    /// Handles messages until all senders are gone.
    pub fn run(mut self, messages: Receiver<Message>) {
        loop {
            match messages.recv_timeout(MAX_WAIT) {
                Ok(message) => {
                    self.handle_message(message);
                    for message in messages.try_iter().take(MESSAGE_BATCH) {
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

    /// The leader, if it is another controller.
    fn other_leader(&self) -> Option<String> {
        self.leader.clone().filter(|l| *l != self.settings.name)
    }

    /// Logs a warning when the inbox becomes backlogged, once for each backlog.
    fn check_backlog(&mut self, messages: &Receiver<Message>) {
        let (waiting, capacity) = (messages.len(), messages.capacity().unwrap_or(usize::MAX));
        if waiting > capacity / BACKLOG_DIVISOR && !self.is_backlogged {
            warn!(
                waiting,
                capacity, "inbox backlogged: the controller is overloaded"
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

    /// Does the leader's periodic work.
    fn tick_leader(&mut self, now: Time) {
        let Some(manager) = self.role.manager_mut() else {
            return;
        };
        if self.handles.store.is_rate_limited() {
            manager.lower_write_rate();
        }
        manager.tick(now);
        let pause_s = list_pause_s(&self.settings, manager.machine_count());
        if now - self.machines_listed_at >= pause_s {
            self.machines_listed_at = now;
            self.handles.io_threads.call_cloud(CloudCall::List);
        }
    }

    /// Runs a step of the leader's manager and executes its effects.
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
        let has_stepped_down = manager.has_stepped_down();
        if is_tick && !self.is_probing_peers && manager.receives_no_heartbeats(now) {
            self.is_probing_peers = true;
            self.probe_peers();
        }
        for effect in effects {
            self.execute(effect);
        }
        if has_stepped_down {
            self.step_down();
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

/// Seconds between two listings of all machines. A listing takes one call for every page.
fn list_pause_s(settings: &Settings, machines: usize) -> f64 {
    let cloud = &settings.cluster.cloud;
    let pages = 1.0 + (machines / LIST_PAGE_SIZE) as f64;
    (cloud.list_lag_s / 2.0).max(pages / (LIST_SHARE * cloud.rps))
}
