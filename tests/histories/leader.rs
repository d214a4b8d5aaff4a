//! A controller that leads or has led, and for how long it may renew the leases of workers.

use super::peers::Peers;
use stairstage::coordination::cluster::cancellation_evidence::CancellationEvidence;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::job::JobState;
use stairstage::settings::WorkerTimings;

/// A controller that leads or has led.
pub(crate) struct Leader {
    pub manager: ClusterManager,
    /// Whether it still reaches the state service, and so learns of every confirmed cancellation.
    pub reaches_store: bool,
    /// Whether it reaches the other controllers, and so learns of what they confirm.
    pub reaches_peers: bool,
    /// What proves that it knows of every confirmed cancellation.
    evidence: CancellationEvidence,
    /// When it last asked the other controllers.
    asked_at: f64,
}

impl Leader {
    /// A leader that has read the records at `now`.
    pub(crate) fn new(manager: ClusterManager, peers: &Peers, now: f64) -> Leader {
        let mut leader = Leader {
            manager,
            reaches_store: true,
            reaches_peers: true,
            evidence: CancellationEvidence::new(peers.names()),
            asked_at: now,
        };
        leader.records_read(now);
        leader
    }

    /// Every cancellation on record at `sent` is known to it.
    pub(crate) fn records_read(&mut self, sent: f64) {
        self.evidence.records_read(sent);
    }

    /// It loses the state service; what was confirmed before that moment is known to it.
    pub(crate) fn lose_store(&mut self, known_until: f64) {
        if self.reaches_store {
            self.reaches_store = false;
            self.records_read(known_until);
        }
    }

    /// It loses the state service and the other controllers.
    pub(crate) fn cut_off(&mut self, known_until: f64) {
        self.lose_store(known_until);
        self.reaches_peers = false;
    }

    /// Asks the other controllers which cancellations they have confirmed, if it is time to.
    pub(crate) fn ask_peers(&mut self, peers: &Peers, now: f64, pause_s: f64) {
        if !self.reaches_peers || now - self.asked_at < pause_s {
            return;
        }
        self.asked_at = now;
        for name in peers.names() {
            let asked = self.evidence.cursor(name);
            let Some(answer) = peers.ask(name, asked, now) else {
                continue;
            };
            for job in &answer.page.jobs {
                self.manager.job_finished(job, JobState::Cancelled, now);
            }
            self.evidence.peer_answered(&answer);
        }
    }

    /// Whether it may answer reports, and so renew the leases of workers.
    pub(crate) fn may_renew(&self, now: f64, workers: &WorkerTimings) -> bool {
        self.reaches_store || self.evidence.may_renew(workers, now)
    }

    /// Tokens of its leadership begin here; no other leadership has the same.
    pub(crate) fn id(&self) -> u64 {
        self.manager.first_token().0
    }
}
