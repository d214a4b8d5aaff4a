//! How the controller becomes the leader and steps down.

use super::{Controller, Role};
use crate::coordination::cluster::accept_limits::AcceptLimits;
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
            ElectionEvent::Elected { token } => self.begin_term(token),
            ElectionEvent::LeaseExtended { valid_until } => self.extend_leader_lease(valid_until),
            ElectionEvent::TokenRaised(token) => {
                let now = self.now();
                if let Some(manager) = self.role.manager_mut() {
                    manager.token_raised(token, now);
                }
            }
            ElectionEvent::TermEnded => {
                if !self.role.is_follower() {
                    self.become_follower();
                }
            }
        }
    }

    /// Begins a term by reading the records, or steps down immediately if this controller must not lead.
    fn begin_term(&mut self, token: FencingToken) {
        let must_withdraw = self.handles.write_fence.get().must_withdraw();
        // With a token below the promised one, a later term began before this election was observed.
        if must_withdraw || token < self.promised_token {
            self.send_election_request(ElectionRequest::StepDown { term: token });
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

    /// Starts the thread that reads the records and then follows open jobs until this term ends.
    fn load_records(&self, token: FencingToken) {
        let reader = RecordReader {
            store: self.handles.store.clone(),
            inbox: self.handles.inbox.clone(),
            term: self.term.clone(),
            token,
            epoch: self.epoch,
            heartbeat_interval: Duration::from_secs_f64(self.settings.cluster.workers.report_s),
        };
        if let Err(error) = spawn("records", move || reader.run()) {
            warn!(error = %format_args!("{error:#}"), "cannot start the record reader");
            self.send_election_request(ElectionRequest::StepDown { term: token });
        }
    }

    /// Starts to lead with the records that were read for this term.
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
        self.accept_limits = AcceptLimits::new(&self.settings);
        self.role = Role::Leading(Box::new(manager));
        self.cancellations.evidence.records_read(sent_at);
        self.handles.io_threads.call_cloud(CloudCall::List);
        self.machines_listed_at = now;
        self.collect_promises(token);
    }

    /// Applies a changed write fence. A leader that does not support the active cluster version steps down.
    pub(super) fn apply_write_fence(&mut self, write_fence: WriteFence) {
        if let Some(manager) = self.role.manager_mut() {
            manager.set_write_fence(write_fence);
        }
        if write_fence.must_withdraw() && !self.role.is_follower() {
            self.step_down();
        }
    }

    pub(super) fn send_election_request(&self, request: ElectionRequest) {
        let _ = self.handles.election_requests.try_send(request);
    }

    /// Steps down and requests the same of the election, so that another controller can be elected.
    pub(super) fn step_down(&mut self) {
        let term = FencingToken(self.term.load(Ordering::Relaxed));
        self.become_follower();
        self.send_election_request(ElectionRequest::StepDown { term });
    }

    /// Becomes a follower. The threads of the term stop when they see that it is over.
    fn become_follower(&mut self) {
        info!("stepped down as leader");
        self.role = Role::Follower;
        self.term.store(0, Ordering::Relaxed);
        self.leader = None;
    }
}
