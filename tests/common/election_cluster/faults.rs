//! Faults that a test injects into controllers and the state service.

use super::{Cluster, Faults, SimulatedEvent};
use crate::lease_store::Micros;

impl Cluster {
    /// Stops a controller's process, and starts another after a while.
    pub(crate) fn restart(&mut self, controller: usize, downtime: Micros) {
        if self.controllers[controller].process.take().is_some() {
            self.schedule(self.now + downtime, SimulatedEvent::Start(controller));
        }
    }

    /// Pauses a controller while its clock runs on.
    pub(crate) fn pause(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.paused_until = self.now + time;
    }

    /// The state service rejects the requests of one controller.
    pub(crate) fn reject_requests(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.rejected_until = self.now + time;
    }

    /// Partitions a controller from the state service. Its requests fail or are held back until the partition
    /// ends.
    pub(crate) fn partition(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.partitioned_until = self.now + time;
    }

    /// Applies transactions of a controller and loses the responses.
    pub(crate) fn lose_responses(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.responses_lost_until = self.now + time;
    }

    /// Transactions of a controller get no response, and are applied after `COMMIT_DELAY`.
    pub(crate) fn delay_commits(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.commits_delayed_until = self.now + time;
    }

    /// A controller handles the events of its election a second late.
    pub(crate) fn slow_controller(&mut self, controller: usize, time: Micros) {
        self.controllers[controller].faults.controller_slow_until = self.now + time;
    }

    /// The state service rejects all requests.
    pub(crate) fn begin_outage(&mut self, time: Micros) {
        self.store.outage = true;
        self.outage_until = self.outage_until.max(self.now + time);
        self.schedule(self.outage_until, SimulatedEvent::OutageOver);
    }

    /// Ends all faults. Requests that are already delayed stay delayed.
    pub(crate) fn heal(&mut self) {
        for controller in &mut self.controllers {
            controller.faults = Faults::default();
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
