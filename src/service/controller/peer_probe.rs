//! Finds out whether another controller should lead instead of a leader that receives no heartbeats.

use super::{Controller, Role};
use crate::service::messages::PeerReachability;
use crate::service::peer_queries;
use crate::service::threads::spawn;
use crate::transport::{Reply, Responder};
use std::time::Duration;
use tracing::warn;

/// Heartbeat intervals without any worker's heartbeat after which a leader that reaches no other controller
/// steps down.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 3.0;

impl Controller {
    /// Starts a probe of whether any other controller is reachable and receives heartbeats.
    pub(super) fn probe_peers(&self) {
        let (peers, inbox) = (self.handles.peers.clone(), self.handles.inbox.clone());
        let timeout = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 2.0);
        let probe = move || peer_queries::probe(&peers, &inbox, timeout);
        if let Err(error) = spawn("probe", probe) {
            warn!(error = %format_args!("{error:#}"), "cannot start the probe of peers");
        }
    }

    /// Steps down if another controller should lead. A controller that receives heartbeats is the better
    /// leader: forwarded heartbeats arrive late, and this controller can't send commands directly to the
    /// workers. If no peer answers either, workers may still reach another controller. If none of the
    /// others runs, this controller is elected again.
    pub(super) fn apply_peer_reachability(&mut self, reachability: PeerReachability) {
        self.is_probing_peers = false;
        let now = self.now();
        let Role::Leading(manager) = &self.role else {
            return;
        };
        let timeout_s = HEARTBEAT_TIMEOUT_INTERVALS * self.settings.cluster.workers.report_s;
        let heartbeats_timed_out =
            now - self.last_heartbeat_at.max(manager.elected_at()) > timeout_s;
        let should_step_down = match reachability {
            // Heartbeats may have arrived since the probe was started.
            PeerReachability::ReachableWithWorkers => manager.receives_no_heartbeats(now),
            PeerReachability::Unreachable => heartbeats_timed_out && !self.handles.peers.is_empty(),
            PeerReachability::ReachableWithoutWorkers => false,
        };
        if should_step_down {
            warn!(
                ?reachability,
                "no worker sends heartbeats to this controller, stepping down"
            );
            self.step_down();
        }
    }

    /// Answers a leader that receives no heartbeats: whether this controller has received any recently.
    pub(super) fn answer_receives_heartbeats(&self, respond: Responder) {
        let recent_s = self.settings.cluster.workers.report_s;
        let since_heartbeat_s = self.now() - self.last_heartbeat_at;
        let receives = self.last_heartbeat_at > 0.0 && since_heartbeat_s < recent_s;
        respond(Reply::json(if receives { 200 } else { 404 }, &()));
    }
}
