//! Workers that a follower has sent to the leader, and that come back.

use super::Time;
use std::collections::HashMap;

/// A worker that comes back so often has not got through to the leader.
const PATIENCE: u32 = 3;
/// Report intervals after which a worker that came back is a new one.
const RECENT: f64 = 4.0;

#[derive(Default)]
struct Sent {
    times: u32,
    /// The session and number of its newest report.
    newest: (u64, u64),
    at: Time,
}

#[derive(Default)]
pub struct Redirects(HashMap<String, Sent>);

impl Redirects {
    /// Whether a report is to be passed on to the leader, as its worker does not get through. A
    /// late copy of a report is no worker that comes back.
    pub fn comes_back(
        &mut self,
        machine: &str,
        report: (u64, u64),
        now: Time,
        report_s: f64,
    ) -> bool {
        let sent = self.0.entry(machine.to_string()).or_default();
        if now - sent.at > RECENT * report_s {
            sent.times = 0;
        }
        if sent.times == 0 || report > sent.newest {
            sent.times += 1;
            sent.newest = sent.newest.max(report);
        }
        sent.at = now;
        sent.times >= PATIENCE
    }

    pub fn forget_old(&mut self, now: Time, report_s: f64) {
        self.0
            .retain(|_, sent| now - sent.at < 2.0 * RECENT * report_s);
    }
}
