//! Where a follower sends the reports of workers that come to it.

use crate::coordination::cluster::LOST_AT_A_NODE_S;
use crate::coordination::Time;
use crate::settings::{Workers, LONGEST_REPORT_INTERVAL};
use std::collections::HashMap;

/// A worker that comes back so often has not got through to the leader.
const MAX_REDIRECTS: u32 = 3;
/// Heartbeat intervals after which a worker that came back is a new one.
const RECENT_REPORTS: f64 = 4.0;

/// How a follower treats a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Its worker is told who leads.
    Redirect,
    /// The follower brings it to the leader, and the answer back.
    PassOn,
}

#[derive(Default)]
struct Visits {
    count: u32,
    /// The incarnation and number of its newest report.
    newest: (u64, u64),
    at: Time,
}

/// The workers that have come to a follower of late.
pub struct Redirects {
    visits: HashMap<String, Visits>,
    /// After this time a worker that comes back is a new one.
    recent_s: Time,
    /// Whether the lease of a worker outlasts two nodes in a row that do not answer.
    lease_outlasts_redirect: bool,
}

impl Redirects {
    pub fn new(workers: &Workers) -> Redirects {
        let lost_s = 2.0 * LOST_AT_A_NODE_S + LONGEST_REPORT_INTERVAL * workers.report_s;
        Redirects {
            visits: HashMap::new(),
            recent_s: (RECENT_REPORTS * workers.report_s).max(2.0 * LOST_AT_A_NODE_S),
            lease_outlasts_redirect: workers.lease_s > lost_s,
        }
    }

    /// What to do with a report. A worker may have come because it does not reach the leader: one
    /// that comes back again and again surely has, and one whose lease would not outlast another
    /// try has its first report passed on. A late copy of a report is no visit.
    pub fn route(&mut self, machine: &str, report: (u64, u64), now: Time) -> Route {
        let visits = self.visits.entry(machine.to_string()).or_default();
        if now - visits.at > self.recent_s {
            visits.count = 0;
        }
        if visits.count == 0 || report > visits.newest {
            visits.count += 1;
            visits.newest = visits.newest.max(report);
        }
        visits.at = now;
        let first = visits.count == 1 && !self.lease_outlasts_redirect;
        if first || visits.count >= MAX_REDIRECTS {
            Route::PassOn
        } else {
            Route::Redirect
        }
    }

    pub fn forget_old(&mut self, now: Time) {
        let recent_s = self.recent_s;
        self.visits
            .retain(|_, visits| now - visits.at < 2.0 * recent_s);
    }
}
