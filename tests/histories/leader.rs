//! A leader or former leader, and until when it may renew worker leases.

use super::peers::Peers;
use stairstage::coordination::cluster::cancellation_evidence::CancellationEvidence;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::job::JobState;
use stairstage::settings::WorkerTimings;

/// A leader or former leader.
pub(crate) struct Leader {
    pub manager: ClusterManager,
    /// Whether the state service is reachable, from which this controller learns of every confirmed
    /// cancellation.
    pub reaches_store: bool,
    /// Whether the peers are reachable, from which this controller learns what they confirm.
    pub reaches_peers: bool,
    /// Evidence that this controller knows of every confirmed cancellation.
    evidence: CancellationEvidence,
    /// When this controller last queried its peers.
    queried_at: f64,
}

impl Leader {
    /// A leader that has read the records at `now`.
    pub(crate) fn new(manager: ClusterManager, peers: &Peers, now: f64) -> Leader {
        let mut leader = Leader {
            manager,
            reaches_store: true,
            reaches_peers: true,
            evidence: CancellationEvidence::new(peers.names()),
            queried_at: now,
        };
        leader.records_read(now);
        leader
    }

    /// Notes that this controller has read every cancellation recorded before `sent`.
    pub(crate) fn records_read(&mut self, sent: f64) {
        self.evidence.records_read(sent);
    }

    /// Cuts this controller off from the state service; it knows what was confirmed until then.
    pub(crate) fn disconnect_store(&mut self, announced_until: f64) {
        if self.reaches_store {
            self.reaches_store = false;
            self.records_read(announced_until);
        }
    }

    /// Cuts this controller off from the state service and its peers.
    pub(crate) fn isolate(&mut self, announced_until: f64) {
        self.disconnect_store(announced_until);
        self.reaches_peers = false;
    }

    /// Queries the peers for the cancellations they have confirmed, at most once every `pause_s`.
    pub(crate) fn query_peers(&mut self, peers: &Peers, now: f64, pause_s: f64) {
        if !self.reaches_peers || now - self.queried_at < pause_s {
            return;
        }
        self.queried_at = now;
        for name in peers.names() {
            let cursor = self.evidence.cursor(name);
            let Some(answer) = peers.query(name, cursor, now) else {
                continue;
            };
            for job in &answer.page.jobs {
                self.manager
                    .final_state_recorded(job, JobState::Cancelled, now);
            }
            self.evidence.peer_answered(&answer);
        }
    }

    /// Whether this controller may answer heartbeats and thereby renew worker leases.
    pub(crate) fn may_renew(&self, now: f64, workers: &WorkerTimings) -> bool {
        self.reaches_store || self.evidence.may_renew(workers, now)
    }

    /// The leadership id: the first token of the leadership, which is unique.
    pub(crate) fn id(&self) -> u64 {
        self.manager.first_token().0
    }
}
