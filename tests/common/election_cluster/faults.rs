//! What a test has go wrong with nodes, and with the state service.

use super::{Cluster, Occurrence, Troubles};
use crate::lease_store::Micros;

impl Cluster {
    /// Ends a node's process, which is back after a while.
    pub(crate) fn restart(&mut self, node: usize, away: Micros) {
        if self.nodes[node].process.take().is_some() {
            self.schedule(self.now + away, Occurrence::Start(node));
        }
    }

    /// A node stands still while its clock runs on.
    pub(crate) fn pause(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.paused = self.now + time;
    }

    /// The state service refuses one node alone.
    pub(crate) fn refuse(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.refused = self.now + time;
    }

    /// A node is cut off from the state service; what it sends may be held back until the end.
    pub(crate) fn cut(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.cut = self.now + time;
    }

    /// Transactions of a node are carried out without an answer.
    pub(crate) fn lose_answers(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.answers_lost = self.now + time;
    }

    /// Transactions of a node get no answer, and are carried out seconds later.
    pub(crate) fn delay_commits(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.late_commits = self.now + time;
    }

    /// The controller of a node takes in what the election tells it a second late.
    pub(crate) fn slow_controller(&mut self, node: usize, time: Micros) {
        self.nodes[node].troubles.slow_controller = self.now + time;
    }

    /// The state service refuses everybody.
    pub(crate) fn begin_outage(&mut self, time: Micros) {
        self.store.outage = true;
        self.outage_until = self.outage_until.max(self.now + time);
        self.schedule(self.outage_until, Occurrence::OutageOver);
    }

    /// Ends all troubles but what is under way.
    pub(crate) fn heal(&mut self) {
        for node in &mut self.nodes {
            node.troubles = Troubles::default();
        }
        if self.store.outage {
            self.outage_until = self.now;
            self.end_outage();
        }
    }

    pub(super) fn end_outage(&mut self) {
        self.store.end_outage(self.now);
        if let Some(unknown) = &mut self.unknown_record {
            unknown.since = self.now;
        }
    }
}
