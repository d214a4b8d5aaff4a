//! How a follower routes the heartbeats that workers send to it.

use crate::coordination::cluster::UNREACHABLE_CONTROLLER_DELAY_S;
use crate::coordination::Time;
use crate::protocol::ids::{HeartbeatSequence, Incarnation};
use crate::settings::{WorkerTimings, LONGEST_HEARTBEAT_INTERVAL};
use std::collections::HashMap;

/// A worker that returns to a follower this many times cannot reach the leader.
const MAX_REDIRECTS: u32 = 3;
/// Heartbeat intervals without a heartbeat after which a worker's count starts again.
const RECENT_INTERVALS: f64 = 4.0;

/// How a follower handles a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The follower redirects the worker to the leader.
    Redirect,
    /// The follower forwards the heartbeat to the leader, and the response to the worker.
    Forward,
}

/// The recent heartbeats of one worker to a follower.
#[derive(Default)]
struct RecentHeartbeats {
    count: u32,
    /// The incarnation and sequence number of the newest heartbeat.
    newest: (Incarnation, HeartbeatSequence),
    last_at: Time,
}

/// The workers that have recently sent heartbeats to a follower.
pub struct HeartbeatRouter {
    recent: HashMap<String, RecentHeartbeats>,
    /// Seconds without a heartbeat after which a worker's count starts again.
    recent_s: f64,
    /// Whether a worker's lease outlasts two unresponsive controllers in a row.
    lease_outlasts_redirect: bool,
}

impl HeartbeatRouter {
    /// A router that has seen no worker yet.
    pub fn new(workers: &WorkerTimings) -> HeartbeatRouter {
        let two_delays_s = 2.0 * UNREACHABLE_CONTROLLER_DELAY_S;
        let redirect_s = two_delays_s + LONGEST_HEARTBEAT_INTERVAL * workers.report_s;
        HeartbeatRouter {
            recent: HashMap::new(),
            recent_s: (RECENT_INTERVALS * workers.report_s).max(two_delays_s),
            lease_outlasts_redirect: workers.lease_s > redirect_s,
        }
    }

    /// Decides how to handle a heartbeat with this incarnation and sequence number. The worker may have
    /// sent it to a follower because it cannot reach the leader. That is certain once it returns
    /// repeatedly. If its lease would not outlast another attempt, even its first heartbeat is
    /// forwarded. A delayed or duplicate heartbeat does not count.
    pub fn route(
        &mut self,
        machine: &str,
        heartbeat: (Incarnation, HeartbeatSequence),
        now: Time,
    ) -> Route {
        let recent = self.recent.entry(machine.to_string()).or_default();
        if now - recent.last_at > self.recent_s {
            recent.count = 0;
        }
        if recent.count == 0 || heartbeat > recent.newest {
            recent.count += 1;
            recent.newest = recent.newest.max(heartbeat);
        }
        recent.last_at = now;
        let is_first = recent.count == 1 && !self.lease_outlasts_redirect;
        if is_first || recent.count >= MAX_REDIRECTS {
            Route::Forward
        } else {
            Route::Redirect
        }
    }

    /// Forgets workers that have sent no heartbeat recently.
    pub fn forget_old(&mut self, now: Time) {
        let recent_s = self.recent_s;
        self.recent
            .retain(|_, recent| now - recent.last_at < 2.0 * recent_s);
    }
}
