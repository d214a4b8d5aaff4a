//! Answers workers' heartbeats, or redirects or forwards them to the leader.

use super::Controller;
use crate::coordination::cluster::heartbeat_routing::Route;
use crate::coordination::cluster::heartbeats::HeartbeatSource;
use crate::coordination::cluster::HeartbeatOutcome;
use crate::coordination::Time;
use crate::protocol::worker::LeaderRedirect;
use crate::service::messages::ReceivedHeartbeat;
use crate::service::request_queue::RequestTask;
use crate::transport::Reply;

impl Controller {
    /// Answers a worker's heartbeat. An answer renews the worker's lease, so the heartbeat is redirected
    /// instead if this controller may have been unaware of a confirmed cancellation for too long: see
    /// [`CancellationEvidence`].
    ///
    /// [`CancellationEvidence`]: crate::coordination::cluster::cancellation_evidence::CancellationEvidence
    pub(super) fn answer_heartbeat(&mut self, received: ReceivedHeartbeat) {
        self.apply_own_cancellations();
        let now = self.now();
        let workers = &self.settings.cluster.workers;
        let may_renew = self.cancellations.evidence.may_renew(workers, now);
        let Some(manager) = self.role.manager_mut().filter(|_| may_renew) else {
            return self.redirect(received);
        };
        let source = received.source;
        let reply = match manager.heartbeat_from(source, &received.heartbeat, now) {
            HeartbeatOutcome::Response(response) => {
                self.record_heartbeat_time(source, now);
                Reply::json(200, &response)
            }
            HeartbeatOutcome::Stale => Reply::error(503, "stale heartbeat"),
            HeartbeatOutcome::SteppedDown => Reply::json(421, &LeaderRedirect { leader: None }),
        };
        (received.respond)(reply);
    }

    /// Redirects a worker to the leader, or forwards its heartbeat if the worker may not reach the leader.
    fn redirect(&mut self, received: ReceivedHeartbeat) {
        let ReceivedHeartbeat {
            heartbeat,
            body,
            source,
            respond,
        } = received;
        let now = self.now();
        self.record_heartbeat_time(source, now);
        let leader = self.other_leader();
        let Some(leader) = leader.filter(|_| source != HeartbeatSource::Peer) else {
            return respond(Reply::json(421, &LeaderRedirect { leader: None }));
        };
        let order = (heartbeat.incarnation, heartbeat.sequence);
        match self.heartbeat_router.route(&heartbeat.machine, order, now) {
            Route::Redirect => {
                let leader = Some(leader);
                respond(Reply::json(421, &LeaderRedirect { leader }));
            }
            Route::Forward => {
                let task = RequestTask::forward_heartbeat(leader, body, respond);
                self.handles.requests.enqueue(task);
            }
        }
    }

    /// Records the time of a heartbeat that a worker sent directly to this controller.
    fn record_heartbeat_time(&mut self, source: HeartbeatSource, now: Time) {
        if source == HeartbeatSource::Worker {
            self.last_heartbeat_at = now;
        }
    }
}
