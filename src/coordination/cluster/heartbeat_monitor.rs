//! Which heartbeats arrive, over all workers: whether silence is theirs or this node's own fault.

use crate::coordination::Time;
use crate::settings::LONGEST_HEARTBEAT_INTERVAL;

/// A gap in all workers' heartbeats shows that this node is cut off when it is so many times as long
/// as the mean time between two of them.
const GAP_HEARTBEATS: f64 = 8.0;
/// It never does when shorter than this share of a heartbeat interval.
const MIN_GAP: f64 = 0.25;
/// Heartbeat intervals without a heartbeat of any worker to this node itself after which its own
/// network may be at fault. Before, workers may still wait for an answer of the former leader.
const UNHEARD_INTERVALS: f64 = 1.3;
/// For a leader that most machines know, it is at the latest after so many times as long as chance
/// explains.
const UNHEARD_GAPS: f64 = 2.0;
/// The share of the machines that must have shown this leader's token for it to be known to most.
const KNOWN_SHARE: f64 = 0.9;
/// Machines that leave commands unanswered when many fail together: more than this share of them.
const MASS_FAILURE_SHARE: f64 = 0.02;
/// And more than so many.
const MIN_MASS_FAILURES: usize = 2;

/// What a survey of the machines that are up has counted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MachineSurvey {
    /// Machines that are up.
    pub(super) up: usize,
    /// Those that have shown a token of this leadership.
    pub(super) fenced: usize,
    /// Those that have left a command unanswered.
    pub(super) unanswered: usize,
    /// Since when the first of these has.
    pub(super) first_unanswered_at: Option<Time>,
}

/// The heartbeats of all workers together.
pub(super) struct HeartbeatMonitor {
    /// The heartbeat interval, in seconds.
    interval_s: f64,
    machines_up: usize,
    /// Whether most machines have ever shown a token of this leadership.
    is_known_to_most: bool,
    /// When any worker last sent a heartbeat to this node itself, or answered a command.
    last_heartbeat_at: Time,
    /// When a worker last sent a heartbeat to this node itself, in this term.
    last_direct_heartbeat_at: Option<Time>,
    /// The end of the last gap that may be a fault of this node's own network.
    last_gap_ended_at: Time,
    /// The end of the last gap that is one: machines' silence counts from then.
    silence_counts_from: Time,
    /// Since when many machines have left commands unanswered: others may have failed with them.
    mass_failure_since: Option<Time>,
}

impl HeartbeatMonitor {
    /// The monitor of a leader elected at `now`.
    pub(super) fn new(interval_s: f64, now: Time) -> HeartbeatMonitor {
        HeartbeatMonitor {
            interval_s,
            machines_up: 0,
            is_known_to_most: false,
            last_heartbeat_at: now,
            last_direct_heartbeat_at: None,
            last_gap_ended_at: now,
            silence_counts_from: now,
            mass_failure_since: None,
        }
    }

    /// How long a gap in all workers' heartbeats is no chance any more, in seconds: they send them at
    /// times of their own, so that many leave short gaps only.
    fn gap_timeout_s(&self) -> f64 {
        let gap = GAP_HEARTBEATS / self.machines_up.max(1) as f64;
        gap.max(MIN_GAP) * self.interval_s
    }

    /// A worker has sent a heartbeat to this node itself, or answered its command. After a gap, what
    /// others did not answer in it says nothing of them; after one in which each should have sent a
    /// heartbeat, their silence counts from now. A shorter one may be chance when many send theirs at
    /// the same time, again and again.
    pub(super) fn note_heartbeat(&mut self, now: Time) {
        let gap_s = now - self.last_heartbeat_at;
        if gap_s > self.gap_timeout_s() {
            self.last_gap_ended_at = now;
        }
        if gap_s > LONGEST_HEARTBEAT_INTERVAL * self.interval_s {
            self.silence_counts_from = now;
        }
        self.last_heartbeat_at = now;
    }

    /// A worker has sent a heartbeat to this node itself.
    pub(super) fn note_direct_heartbeat(&mut self, now: Time) {
        self.last_direct_heartbeat_at = Some(now);
    }

    /// Takes in what a survey of the machines has counted.
    pub(super) fn note_survey(&mut self, survey: MachineSurvey, now: Time) {
        let up = survey.up;
        self.machines_up = up;
        self.is_known_to_most |= up > 0 && survey.fenced as f64 >= KNOWN_SHARE * up as f64;
        let many = MIN_MASS_FAILURES.max((MASS_FAILURE_SHARE * up as f64) as usize);
        let first = survey.first_unanswered_at.unwrap_or(now);
        let since = self.mass_failure_since.unwrap_or(first);
        self.mass_failure_since = (survey.unanswered > many).then_some(since);
    }

    /// How many machines were up at the last survey.
    pub(super) fn machines_up(&self) -> usize {
        self.machines_up
    }

    /// Whether no worker is heard, for longer than chance explains.
    pub(super) fn is_cut_off(&self, now: Time) -> bool {
        now - self.last_heartbeat_at > self.gap_timeout_s()
    }

    /// Since when a machine's silence counts.
    pub(super) fn silence_counts_from(&self) -> Time {
        self.silence_counts_from
    }

    /// The end of the last gap that may be a fault of this node's own network.
    pub(super) fn last_gap_ended_at(&self) -> Time {
        self.last_gap_ended_at
    }

    /// Since when many machines have left commands unanswered: others may have failed with them.
    pub(super) fn mass_failure_since(&self) -> Option<Time> {
        self.mass_failure_since
    }

    /// Whether no worker sends heartbeats to this node itself, which was elected at `elected_at`: its
    /// own network may be at fault. Many workers leave short gaps only, once they know this leader.
    pub(super) fn receives_no_heartbeats(&self, elected_at: Time, now: Time) -> bool {
        let interval_s = UNHEARD_INTERVALS * self.interval_s;
        let timeout_s = if self.is_known_to_most {
            interval_s.min(UNHEARD_GAPS * self.gap_timeout_s())
        } else {
            interval_s
        };
        let last = self.last_direct_heartbeat_at.unwrap_or(elected_at);
        now - last > timeout_s
    }
}
