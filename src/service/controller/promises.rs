//! The promise, as in Paxos, that no heartbeat is answered with a lower token than a new leader's.

use super::Controller;
use crate::protocol::ids::FencingToken;
use crate::service::peer_queries::PromiseCollector;
use crate::service::threads::spawn;
use crate::transport::{Reply, Responder};
use std::time::Duration;
use tracing::warn;

/// Rounds of requests for promises in a heartbeat interval.
const ROUNDS_PER_HEARTBEAT: f64 = 4.0;

impl Controller {
    /// Gives the promise unless this node holds a higher token. A later token than ours exists, so
    /// that our leadership is over, whatever we know of it.
    pub(super) fn answer_promise(&mut self, token: FencingToken, respond: Responder) {
        let own_token = self.role.token();
        let is_promised = token >= own_token;
        self.promised_token = self.promised_token.max(token);
        if is_promised && own_token > FencingToken::default() {
            self.resign();
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
            warn!(error = %format_args!("{error:#}"), "promise collector not started");
        }
    }

    /// All other controllers have given the promise to the leader of a term.
    pub(super) fn apply_promises_collected(&mut self, token: FencingToken) {
        let now = self.now();
        let manager = self.role.manager_mut();
        if let Some(manager) = manager.filter(|manager| manager.first_token() == token) {
            manager.peers_promised(now);
        }
    }
}
