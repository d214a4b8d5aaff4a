//! How the controller becomes the leader, and how it resigns.

use super::{Controller, Role};
use crate::coordination::cluster::recovery::Records;
use crate::coordination::election::{ElectionEvent, ElectionRequest};
use crate::coordination::manager::ClusterManager;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::service::clock::wall_ms;
use crate::service::io_thread_pool::CloudCall;
use crate::service::record_reader::RecordReader;
use crate::service::threads::spawn;
use stairstage_upgrade::fence::WriteFence;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::{debug, info, warn};

impl Controller {
    pub(super) fn handle_election_event(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::LeaderObserved(leader) => {
                if leader != self.leader {
                    debug!(?leader, "leader changed");
                }
                self.leader = leader;
            }
            ElectionEvent::Elected { token } => self.accept_election(token),
            ElectionEvent::LeaseExtended { valid_until } => self.extend_leader_lease(valid_until),
            ElectionEvent::TokenRaised(token) => {
                let now = self.now();
                if let Some(manager) = self.role.manager_mut() {
                    manager.token_raised(token, now);
                }
            }
            ElectionEvent::TermEnded => {
                if !self.role.is_follower() {
                    self.step_down();
                }
            }
        }
    }

    /// Begins a term by reading the records, or resigns at once if this node must not lead.
    fn accept_election(&mut self, token: FencingToken) {
        let must_withdraw = self.handles.write_fence.get().must_withdraw();
        // A lower token than promised: the term was over before this node learned of its election.
        if must_withdraw || token < self.promised_token {
            self.request_election(ElectionRequest::StepDown { term: token });
            return;
        }
        info!(%token, "elected leader");
        self.leader = Some(self.settings.name.clone());
        self.role = Role::Recovering {
            token,
            valid_until: self.now(),
        };
        self.discard_cancellation_evidence();
        self.term.store(token.0, Ordering::Relaxed);
        self.load_records(token);
    }

    fn extend_leader_lease(&mut self, until: Time) {
        match &mut self.role {
            Role::Recovering { valid_until, .. } => *valid_until = until,
            Role::Leading(manager) => manager.set_lease_valid_until(until),
            Role::Follower => {}
        }
    }

    /// Reads the records, then follows new jobs, for as long as this term lasts.
    fn load_records(&self, token: FencingToken) {
        let reader = RecordReader {
            store: self.handles.store.clone(),
            inbox: self.handles.inbox.clone(),
            term: self.term.clone(),
            token,
            epoch: self.epoch,
            report_interval: Duration::from_secs_f64(self.settings.cluster.workers.report_s),
        };
        if let Err(error) = spawn("records", move || reader.run()) {
            warn!(error = %format_args!("{error:#}"), "record reader not started");
            self.request_election(ElectionRequest::StepDown { term: token });
        }
    }

    /// Starts to lead with the records as read for this term.
    pub(super) fn start_leading(
        &mut self,
        loaded_for: FencingToken,
        records: Records,
        sent_at: Time,
    ) {
        let now = self.now();
        let Role::Recovering { token, valid_until } = self.role else {
            return;
        };
        if token != loaded_for {
            return;
        }
        let mut manager = ClusterManager::new(self.settings.clone(), token, now);
        manager.set_lease_valid_until(valid_until);
        manager.set_write_fence(self.handles.write_fence.get());
        manager.set_machine_types(self.machine_types.clone());
        manager.recover(records, wall_ms(), now);
        self.role = Role::Leading(Box::new(manager));
        self.cancellations.evidence.records_read(sent_at);
        self.handles.io_threads.call_cloud(CloudCall::List);
        self.machines_listed_at = now;
        self.collect_promises(token);
    }

    /// Applies what the active cluster version, read anew, lets this controller do.
    pub(super) fn apply_write_fence(&mut self, write_fence: WriteFence) {
        if let Some(manager) = self.role.manager_mut() {
            manager.set_write_fence(write_fence);
        }
        if write_fence.must_withdraw() && !self.role.is_follower() {
            self.resign();
        }
    }

    pub(super) fn request_election(&self, request: ElectionRequest) {
        let _ = self.handles.election_requests.try_send(request);
    }

    /// Steps down, and lets another node be elected.
    pub(super) fn resign(&mut self) {
        let term = FencingToken(self.term.load(Ordering::Relaxed));
        self.step_down();
        self.request_election(ElectionRequest::StepDown { term });
    }

    /// Becomes a follower. The threads of the term end by themselves.
    fn step_down(&mut self) {
        info!("stepped down as leader");
        self.role = Role::Follower;
        self.term.store(0, Ordering::Relaxed);
        self.leader = None;
    }
}
