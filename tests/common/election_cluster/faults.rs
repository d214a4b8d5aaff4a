//! Faults that a test injects into nodes and the state service.

use super::{Cluster, Faults, SimulatedEvent};
use crate::lease_store::Micros;

impl Cluster {
    /// Stops a node's process, and starts another after a while.
    pub(crate) fn restart(&mut self, node: usize, downtime: Micros) {
        if self.nodes[node].process.take().is_some() {
            self.schedule(self.now + downtime, SimulatedEvent::Start(node));
        }
    }

    /// Pauses a node while its clock runs on.
    pub(crate) fn pause(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.paused_until = self.now + time;
    }

    /// The state service rejects the requests of one node.
    pub(crate) fn reject_requests(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.rejected_until = self.now + time;
    }

    /// Partitions a node from the state service. Requests of the node fail or are held back until the
    /// partition ends.
    pub(crate) fn partition(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.partitioned_until = self.now + time;
    }

    /// Loses responses to transactions of a node, which are applied.
    pub(crate) fn lose_responses(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.responses_lost_until = self.now + time;
    }

    /// Transactions of a node get no response, and are applied after `COMMIT_DELAY`.
    pub(crate) fn delay_commits(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.commits_delayed_until = self.now + time;
    }

    /// The controller of a node handles the election's events a second late.
    pub(crate) fn slow_controller(&mut self, node: usize, time: Micros) {
        self.nodes[node].faults.controller_slow_until = self.now + time;
    }

    /// The state service rejects all requests.
    pub(crate) fn begin_outage(&mut self, time: Micros) {
        self.store.outage = true;
        self.outage_until = self.outage_until.max(self.now + time);
        self.schedule(self.outage_until, SimulatedEvent::OutageOver);
    }

    /// Ends all faults. Requests that are already delayed stay delayed.
    pub(crate) fn heal(&mut self) {
        for node in &mut self.nodes {
            node.faults = Faults::default();
        }
        if self.store.outage {
            self.outage_until = self.now;
            self.end_outage();
        }
    }

    /// The state service answers again.
    pub(super) fn end_outage(&mut self) {
        self.store.end_outage(self.now);
        if let Some(unknown) = &mut self.unknown_record {
            unknown.since = self.now;
        }
    }
}
