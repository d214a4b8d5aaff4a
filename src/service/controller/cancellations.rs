//! Applies the cancellations that this process and the other controllers have confirmed.

use super::Controller;
use crate::coordination::cluster::cancellation_evidence::{
    CancellationEvidence, PeerCancellations,
};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::job::JobState;
use crate::service::peer_queries::CancellationQuery;
use crate::storage::cancellation_log::{CancellationLog, Cursor};
use crate::storage::open_job_budget::{AcceptLimit, AcceptedJobs};
use crate::transport::peers::Peers;
use tracing::warn;

/// Queries to each peer in a heartbeat interval.
const QUERIES_PER_HEARTBEAT: f64 = 4.0;

/// How far this controller knows the cancellations that were confirmed to users.
pub(super) struct KnownCancellations {
    /// The evidence by which workers' leases may be renewed.
    pub(super) evidence: CancellationEvidence,
    /// The position in this process's log up to which it has been applied.
    own_cursor: Cursor,
    /// When the other controllers were last queried.
    peers_queried_at: Time,
}

impl KnownCancellations {
    /// Starts without evidence, at the end of the log.
    pub(super) fn new(peers: &Peers, log: &CancellationLog) -> KnownCancellations {
        KnownCancellations {
            evidence: CancellationEvidence::new(peers.names()),
            own_cursor: log.page(Cursor::default()).cursor,
            peers_queried_at: 0.0,
        }
    }
}

impl Controller {
    /// Applies the cancellations that this process has confirmed since the last call. While a new leader
    /// reads the records they stay in the log, as its manager does not exist yet.
    pub(super) fn apply_own_cancellations(&mut self) {
        if self.role.is_recovering() {
            return;
        }
        loop {
            let cursor = self.cancellations.own_cursor;
            let page = self.handles.cancellation_log.page(cursor);
            if !page.continues {
                warn!("confirmed cancellations dropped from the log before they were applied");
                self.discard_cancellation_evidence();
            }
            for job in &page.jobs {
                self.apply_final_state(job, JobState::Cancelled);
            }
            self.cancellations.own_cursor = page.cursor;
            if page.complete {
                return;
            }
        }
    }

    /// Discards the evidence: leases may be renewed again once there is new evidence.
    pub(super) fn discard_cancellation_evidence(&mut self) {
        self.cancellations.evidence = CancellationEvidence::new(self.handles.peers.names());
    }

    /// Queries the other controllers periodically for the cancellations that they have confirmed, if this
    /// controller leads.
    pub(super) fn query_peer_cancellations(&mut self, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / QUERIES_PER_HEARTBEAT;
        if !self.role.is_leading() || now - self.cancellations.peers_queried_at < pause_s {
            return;
        }
        self.cancellations.peers_queried_at = now;
        self.limit_own_jobs(now);
        let peers: Vec<String> = self.handles.peers.names().cloned().collect();
        for peer in &peers {
            self.query_cancellations_of(peer);
        }
    }

    fn query_cancellations_of(&mut self, peer: &str) {
        let query = CancellationQuery {
            after: self.cancellations.evidence.cursor(peer),
            limit: self.next_accept_limit(peer),
        };
        self.handles.cancellation_queries.query(peer, query);
    }

    /// Sets this controller's own limit for accepted jobs.
    fn limit_own_jobs(&mut self, now: Time) {
        let name = self.settings.name.clone();
        let report = self.handles.open_jobs.report();
        self.accept_limits.reported(&name, report, now);
        if let Some(limit) = self.next_accept_limit(&name) {
            self.handles.open_jobs.set_limit(report.incarnation, limit);
        }
    }

    /// The next limit of a controller for accepted jobs, if it has reported in this term.
    fn next_accept_limit(&mut self, controller: &str) -> Option<AcceptLimit> {
        let used_bytes = self.role.manager()?.accept_limit_usage_bytes();
        let bytes = self.accept_limits.next_limit(controller, used_bytes)?;
        let token = self.role.token();
        Some(AcceptLimit { token, bytes })
    }

    /// Applies a peer's answer, and queries for the next page if there is one.
    pub(super) fn apply_peer_cancellations(
        &mut self,
        peer: &str,
        answer: Option<PeerCancellations>,
        accepted_jobs: Option<AcceptedJobs>,
    ) {
        let Some(answer) = answer else {
            return;
        };
        if let Some(accepted_jobs) = accepted_jobs {
            self.accept_limits
                .reported(peer, accepted_jobs, answer.received);
        }
        for job in &answer.page.jobs {
            self.apply_final_state(job, JobState::Cancelled);
        }
        self.cancellations.evidence.peer_answered(&answer);
        if self.role.is_leading() && !answer.page.complete {
            self.query_cancellations_of(peer);
        }
    }

    /// The record reader has caught up: all changes of open jobs recorded by `sent_at` have been applied.
    pub(super) fn apply_records_read(&mut self, token: FencingToken, sent_at: Time) {
        let manager = self.role.manager_mut();
        if manager.is_some_and(|manager| manager.first_token() == token) {
            self.cancellations.evidence.records_read(sent_at);
            self.accept_limits.records_read(sent_at);
        }
    }
}
