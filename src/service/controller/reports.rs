//! How workers' reports are answered, and what is known of cancellations when they are.

use super::{Controller, Role};
use crate::coordination::cluster::cancellation_evidence::{CancellationEvidence, PeerAnswer};
use crate::coordination::cluster::heartbeat_routing::Route;
use crate::coordination::cluster::heartbeats::HeartbeatSource;
use crate::coordination::cluster::HeartbeatOutcome;
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::worker::{Heartbeat, LeaderRedirect};
use crate::service::gateway::{self, Task};
use crate::transport::{Reply, Responder};
use tracing::warn;

/// Questions to each other controller about cancellations in a report interval.
const CANCELLATION_QUERIES: f64 = 4.0;

impl Controller {
    /// Answers a worker's report. An answer renews the worker's lease, so that none is given while a
    /// confirmed cancellation may be unknown here for too long: see [`CancellationEvidence`].
    pub(super) fn report(
        &mut self,
        report: Heartbeat,
        body: Vec<u8>,
        passed_on: bool,
        respond: Responder,
    ) {
        self.take_own_cancellations();
        let now = self.now();
        let renews = self.evidence.may_renew(&self.settings.cluster.workers, now);
        let Role::Leading(manager) = &mut self.role else {
            return self.redirect(report, body, passed_on, respond);
        };
        if !renews {
            return self.redirect(report, body, passed_on, respond);
        }
        let source = if passed_on {
            HeartbeatSource::Peer
        } else {
            HeartbeatSource::Worker
        };
        let reply = match manager.heartbeat_from(source, &report, now) {
            HeartbeatOutcome::Answer(answer) => {
                if !passed_on {
                    self.heard = now;
                }
                Reply::json(200, &answer)
            }
            HeartbeatOutcome::Stale => Reply::error(503, "an older report"),
            HeartbeatOutcome::Deposed => Reply::json(421, &LeaderRedirect { leader: None }),
        };
        respond(reply);
    }

    /// Sends a worker to the leader, or passes its report on if it may not get through to there.
    fn redirect(&mut self, report: Heartbeat, body: Vec<u8>, passed_on: bool, respond: Responder) {
        let now = self.now();
        if !passed_on {
            self.heard = now;
        }
        let leader = self.leader.clone().filter(|l| *l != self.settings.name);
        let Some(leader) = leader.filter(|_| !passed_on) else {
            return respond(Reply::json(421, &LeaderRedirect { leader: None }));
        };
        let order = (report.incarnation, report.sequence);
        match self.redirects.route(&report.machine, order, now) {
            Route::Redirect => {
                let leader = Some(leader);
                respond(Reply::json(421, &LeaderRedirect { leader }));
            }
            Route::PassOn => {
                gateway::offer(&self.links.stage, Task::pass_on(leader, body, respond));
            }
        }
    }

    /// Takes in the cancellations that this process has confirmed meanwhile. While the records are
    /// being read they are left for the picture to come.
    pub(super) fn take_own_cancellations(&mut self) {
        if matches!(self.role, Role::Recovering { .. }) {
            return;
        }
        loop {
            let page = self.links.cancellations.page(self.own_cancellations);
            if !page.continues {
                warn!("cancellations came faster than they were taken in");
                self.evidence = CancellationEvidence::new(self.links.peers.names());
            }
            for job in &page.jobs {
                self.ended(job, JobState::Cancelled);
            }
            self.own_cancellations = page.cursor;
            if page.complete {
                return;
            }
        }
    }

    /// A leader asks the other controllers which cancellations they have confirmed.
    pub(super) fn ask_peers_for_cancellations(&mut self, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / CANCELLATION_QUERIES;
        if self.manager().is_none() || now - self.peers_asked < pause_s {
            return;
        }
        self.peers_asked = now;
        for peer in self.links.peers.names() {
            self.ask_for_cancellations(peer);
        }
    }

    fn ask_for_cancellations(&self, peer: &str) {
        let cursor = self.evidence.cursor(peer);
        self.links.cancellation_queries.ask(peer, cursor);
    }

    pub(super) fn peer_cancellations(&mut self, peer: &str, answer: Option<PeerAnswer>) {
        let Some(answer) = answer else {
            return;
        };
        for job in &answer.page.jobs {
            self.ended(job, JobState::Cancelled);
        }
        self.evidence.peer_answered(&answer);
        if self.manager().is_some() && !answer.page.complete {
            self.ask_for_cancellations(peer);
        }
    }
}
