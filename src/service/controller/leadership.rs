//! How the controller comes to lead, and how it hands leadership over.

use super::{wall_ms, Controller, Role};
use crate::coordination::cluster::cancellation_evidence::CancellationEvidence;
use crate::coordination::cluster::recovery::Records;
use crate::coordination::election::{ElectionEvent, ElectionRequest};
use crate::coordination::manager::ClusterManager;
use crate::coordination::Time;
use crate::service::cloud_calls::CloudCall;
use crate::service::messages::PeerReachability;
use crate::service::peer_queries::{self, PromiseCollector};
use crate::service::record_reader::RecordReader;
use crate::service::spawn;
use crate::transport::{Reply, Responder};
use stairstage_upgrade::fence::WriteFence;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Heartbeat intervals without a report of any worker after which a leader that reaches no other
/// controller hands leadership over.
const SILENT_REPORTS: f64 = 3.0;

impl Controller {
    pub(super) fn election_event(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::Leader(leader) => {
                if leader != self.leader {
                    debug!("leader: {leader:?}");
                }
                self.leader = leader;
            }
            ElectionEvent::Elected { token } if self.links.clearance.get().must_withdraw() => {
                self.request(ElectionRequest::Resign { term: token });
            }
            // An election that was over before this node learned of it.
            ElectionEvent::Elected { token } if token < self.promised => {
                self.request(ElectionRequest::Resign { term: token });
            }
            ElectionEvent::Elected { token } => {
                info!("elected with token {token}");
                self.leader = Some(self.settings.name.clone());
                self.role = Role::Recovering {
                    token,
                    valid_until: self.now(),
                };
                self.evidence = CancellationEvidence::new(self.links.peers.names());
                self.term.store(token, Ordering::Relaxed);
                self.load(token);
            }
            ElectionEvent::Lease { valid_until: until } => match &mut self.role {
                Role::Recovering { valid_until, .. } => *valid_until = until,
                Role::Leading(manager) => manager.lease_valid_until = until,
                Role::Follower => {}
            },
            ElectionEvent::TokenRaised(token) => {
                let now = self.now();
                if let Some(manager) = self.manager() {
                    manager.token_raised(token, now);
                }
            }
            ElectionEvent::Deposed => {
                if !matches!(self.role, Role::Follower) {
                    self.step_down();
                }
            }
        }
    }

    /// Reads the records, then follows new jobs, for as long as this term lasts.
    fn load(&self, token: u64) {
        let reader = RecordReader {
            store: self.links.store.clone(),
            inbox: self.links.inbox.clone(),
            term: self.term.clone(),
            token,
            epoch: self.epoch,
            report_interval: Duration::from_secs_f64(self.settings.cluster.workers.report_s),
        };
        if let Err(error) = spawn("records", move || reader.run()) {
            warn!("{error:#}");
            self.request(ElectionRequest::Resign { term: token });
        }
    }

    pub(super) fn loaded(&mut self, token: u64, records: Records, sent: Time) {
        let now = self.now();
        match self.role {
            Role::Recovering {
                token: t,
                valid_until,
            } if t == token => {
                let mut manager = ClusterManager::new(self.settings.clone(), token, now);
                manager.lease_valid_until = valid_until;
                manager.write_fence = self.links.clearance.get();
                manager.set_machine_types(self.types.clone());
                manager.recover(records, wall_ms(), now);
                self.role = Role::Leading(Box::new(manager));
                self.evidence.records_read(sent);
                self.links.pool.cloud(CloudCall::List);
                self.listed = now;
                self.ask_promises(token);
            }
            _ => {}
        }
    }

    /// The active version was read anew.
    pub(super) fn cleared(&mut self, clearance: WriteFence) {
        if let Some(manager) = self.manager() {
            manager.write_fence = clearance;
        }
        if clearance.must_withdraw() && !matches!(self.role, Role::Follower) {
            self.resign();
        }
    }

    pub(super) fn request(&self, request: ElectionRequest) {
        let _ = self.links.election_requests.try_send(request);
    }

    /// Leads no more, and lets another node have the leadership.
    pub(super) fn resign(&mut self) {
        let term = self.term.load(Ordering::Relaxed);
        self.step_down();
        self.request(ElectionRequest::Resign { term });
    }

    pub(super) fn step_down(&mut self) {
        info!("leads no more");
        self.role = Role::Follower;
        self.term.store(0, Ordering::Relaxed);
        self.leader = None;
    }

    /// A later token than ours exists, so our leadership is over, whatever we know of it.
    pub(super) fn promise(&mut self, token: u64, respond: Responder) {
        let ours = match &self.role {
            Role::Follower => 0,
            Role::Recovering { token, .. } => *token,
            Role::Leading(manager) => manager.token,
        };
        let promised = token >= ours;
        self.promised = self.promised.max(token);
        if promised && ours > 0 {
            self.resign();
        }
        let status = if promised { 200 } else { 409 };
        respond(Reply::json(status, &()));
    }

    /// Asks all other controllers to answer no more reports with lower tokens.
    fn ask_promises(&self, token: u64) {
        let promises = PromiseCollector {
            peers: self.links.peers.clone(),
            inbox: self.links.inbox.clone(),
            term: self.term.clone(),
            token,
            pause: Duration::from_secs_f64(self.settings.cluster.workers.report_s / 4.0),
        };
        if let Err(error) = spawn("promises", move || promises.run()) {
            warn!("{error:#}");
        }
    }

    /// Finds out whether any other controller can be reached, and hears workers.
    pub(super) fn probe_peers(&self) {
        let (peers, inbox) = (self.links.peers.clone(), self.links.inbox.clone());
        let within = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 2.0);
        let body = move || peer_queries::probe(&peers, &inbox, within);
        if let Err(error) = spawn("probe", body) {
            warn!("{error:#}");
        }
    }

    /// No worker is heard here. Where another controller hears them, it had better lead: what comes
    /// through it comes late, and no command reaches a worker directly. If no peer answers either,
    /// workers may reach another node all the same, and a node that is alone takes it back.
    pub(super) fn peers_probed(&mut self, reachability: PeerReachability) {
        self.probing = false;
        let now = self.now();
        let Role::Leading(manager) = &self.role else {
            return;
        };
        let silent_s = SILENT_REPORTS * self.settings.cluster.workers.report_s;
        let silent = now - self.heard.max(manager.elected_at) > silent_s;
        let hands_over = match reachability {
            // Reports may have come since the peers were asked.
            PeerReachability::ReachableWithWorkers => manager.receives_no_heartbeats(now),
            PeerReachability::Unreachable => silent && !self.links.peers.is_empty(),
            PeerReachability::ReachableWithoutWorkers => false,
        };
        if hands_over {
            warn!("no worker reports here, peers: {reachability:?}; hands leadership over");
            self.resign();
        }
    }

    /// Tells a leader that hears no worker whether any has reported here of late.
    pub(super) fn hears_workers(&self, respond: Responder) {
        let lately = self.settings.cluster.workers.report_s;
        let hears = self.heard > 0.0 && self.now() - self.heard < lately;
        respond(Reply::json(if hears { 200 } else { 404 }, &()));
    }
}
