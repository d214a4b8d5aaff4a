//! The promise to a new leader, as in Paxos, not to answer heartbeats as a leader with a lower fencing token.

use super::Controller;
use crate::protocol::ids::FencingToken;
use crate::service::peer_queries::PromiseCollector;
use crate::service::threads::spawn;
use crate::transport::{Reply, Responder};
use std::time::Duration;
use tracing::warn;

/// Rounds of promise requests in a heartbeat interval.
const ROUNDS_PER_HEARTBEAT: f64 = 4.0;

impl Controller {
    /// Gives the promise unless this controller holds a higher token. A leader that gives it also steps down:
    /// a later term has begun, even if this controller's leadership lease still seems valid.
    pub(super) fn answer_promise(&mut self, token: FencingToken, respond: Responder) {
        let own_token = self.role.token();
        let is_promised = token >= own_token;
        self.promised_token = self.promised_token.max(token);
        if is_promised && own_token > FencingToken::default() {
            self.step_down();
        }
        let status = if is_promised { 200 } else { 409 };
        respond(Reply::json(status, &()));
    }

    /// Asks all other controllers for the promise.
    pub(super) fn collect_promises(&self, token: FencingToken) {
        let interval_s = self.settings.cluster.workers.report_s;
        let collector = PromiseCollector {
            peers: self.handles.peers.clone(),
            inbox: self.handles.inbox.clone(),
            term: self.term.clone(),
            token,
            pause: Duration::from_secs_f64(interval_s / ROUNDS_PER_HEARTBEAT),
        };
        if let Err(error) = spawn("promises", move || collector.run()) {
            warn!(error = %format_args!("{error:#}"), "cannot start the promise collector");
        }
    }

    /// All other controllers have given the promise to this controller for a term.
    pub(super) fn apply_promises_collected(&mut self, token: FencingToken) {
        let now = self.now();
        let manager = self.role.manager_mut();
        if let Some(manager) = manager.filter(|manager| manager.first_token() == token) {
            manager.peers_promised(now);
        }
    }
}
