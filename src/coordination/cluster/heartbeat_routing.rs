//! Where a follower sends the heartbeats of workers that come to it.

use crate::coordination::cluster::LOST_AT_A_NODE_S;
use crate::coordination::Time;
use crate::protocol::ids::{HeartbeatSequence, Incarnation};
use crate::settings::{WorkerTimings, LONGEST_HEARTBEAT_INTERVAL};
use std::collections::HashMap;

/// A worker that comes back so often does not reach the leader.
const MAX_REDIRECTS: u32 = 3;
/// Heartbeat intervals after which a worker that comes back is counted anew.
const RECENT_INTERVALS: f64 = 4.0;

/// How a follower treats a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Its worker is told who leads.
    Redirect,
    /// The follower forwards it to the leader, and the response back.
    Forward,
}

/// The heartbeats of one worker that have come to a follower of late.
#[derive(Default)]
struct Visits {
    count: u32,
    /// The incarnation and sequence number of the newest one.
    newest: (Incarnation, HeartbeatSequence),
    last_at: Time,
}

/// The workers that have come to a follower of late.
pub struct HeartbeatRouter {
    visits: HashMap<String, Visits>,
    /// After this time a worker that comes back is counted anew, in seconds.
    recent_s: f64,
    /// Whether the lease of a worker outlasts two nodes in a row that do not answer.
    lease_outlasts_redirect: bool,
}

impl HeartbeatRouter {
    /// A router to which no worker has come yet.
    pub fn new(workers: &WorkerTimings) -> HeartbeatRouter {
        let two_nodes_s = 2.0 * LOST_AT_A_NODE_S;
        let lost_s = two_nodes_s + LONGEST_HEARTBEAT_INTERVAL * workers.report_s;
        HeartbeatRouter {
            visits: HashMap::new(),
            recent_s: (RECENT_INTERVALS * workers.report_s).max(two_nodes_s),
            lease_outlasts_redirect: workers.lease_s > lost_s,
        }
    }

    /// What to do with a heartbeat of this incarnation and sequence number. A worker may have come
    /// because it does not reach the leader: one that comes back again and again surely has, and one
    /// whose lease would not outlast another try has its first heartbeat forwarded. A late copy of a
    /// heartbeat does not count.
    pub fn route(
        &mut self,
        machine: &str,
        heartbeat: (Incarnation, HeartbeatSequence),
        now: Time,
    ) -> Route {
        let visits = self.visits.entry(machine.to_string()).or_default();
        if now - visits.last_at > self.recent_s {
            visits.count = 0;
        }
        if visits.count == 0 || heartbeat > visits.newest {
            visits.count += 1;
            visits.newest = visits.newest.max(heartbeat);
        }
        visits.last_at = now;
        let is_first = visits.count == 1 && !self.lease_outlasts_redirect;
        if is_first || visits.count >= MAX_REDIRECTS {
            Route::Forward
        } else {
            Route::Redirect
        }
    }

    /// Forgets workers that have not come for long.
    pub fn forget_old(&mut self, now: Time) {
        let recent_s = self.recent_s;
        self.visits
            .retain(|_, visits| now - visits.last_at < 2.0 * recent_s);
    }
}
