//! A leader that receives no heartbeats finds out whether another controller should lead.

use super::{Controller, Role};
use crate::service::messages::PeerReachability;
use crate::service::peer_queries;
use crate::service::threads::spawn;
use crate::transport::{Reply, Responder};
use std::time::Duration;
use tracing::warn;

/// Heartbeat intervals without any worker's heartbeat after which a leader that reaches no other
/// controller resigns.
const SILENT_HEARTBEATS: f64 = 3.0;

impl Controller {
    /// Finds out whether any other controller can be reached, and receives heartbeats.
    pub(super) fn probe_peers(&self) {
        let (peers, inbox) = (self.handles.peers.clone(), self.handles.inbox.clone());
        let timeout = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 2.0);
        let probe = move || peer_queries::probe(&peers, &inbox, timeout);
        if let Err(error) = spawn("probe", probe) {
            warn!(error = %format_args!("{error:#}"), "probe of peers not started");
        }
    }

    /// Resigns if another controller should lead. Where another one receives heartbeats, it had
    /// better lead: those that it forwards come late, and no command reaches a worker directly. If
    /// no peer answers either, workers may reach another node all the same, and a node that is alone
    /// is elected again.
    pub(super) fn apply_peer_reachability(&mut self, reachability: PeerReachability) {
        self.is_probing_peers = false;
        let now = self.now();
        let Role::Leading(manager) = &self.role else {
            return;
        };
        let timeout_s = SILENT_HEARTBEATS * self.settings.cluster.workers.report_s;
        let is_silent = now - self.last_heartbeat_at.max(manager.elected_at()) > timeout_s;
        let should_resign = match reachability {
            // Heartbeats may have come since the peers were asked.
            PeerReachability::ReachableWithWorkers => manager.receives_no_heartbeats(now),
            PeerReachability::Unreachable => is_silent && !self.handles.peers.is_empty(),
            PeerReachability::ReachableWithoutWorkers => false,
        };
        if should_resign {
            warn!(?reachability, "no worker sends heartbeats here, resigning");
            self.resign();
        }
    }

    /// Answers a leader that receives no heartbeats whether this node has received any lately.
    pub(super) fn answer_receives_heartbeats(&self, respond: Responder) {
        let recent_s = self.settings.cluster.workers.report_s;
        let silence_s = self.now() - self.last_heartbeat_at;
        let receives = self.last_heartbeat_at > 0.0 && silence_s < recent_s;
        respond(Reply::json(if receives { 200 } else { 404 }, &()));
    }
}
