//! Monitors the heartbeats of all workers, to tell a fault of this controller's network from silent
//! workers.

use crate::coordination::Time;
use crate::settings::LONGEST_HEARTBEAT_INTERVAL;

/// A gap in all workers' heartbeats indicates that this controller is isolated if it exceeds this
/// multiple of the mean time between two heartbeats.
const GAP_MEAN_INTERVALS: f64 = 8.0;
/// A gap shorter than this share of a heartbeat interval never does.
const MIN_GAP_SHARE: f64 = 0.25;
/// Heartbeat intervals without a direct heartbeat from any worker after which this controller's network
/// may be at fault. Until then, workers may still wait for a response from the former leader.
const DIRECT_HEARTBEAT_TIMEOUT_INTERVALS: f64 = 1.3;
/// For a leader whose token most machines have seen, this multiple of the gap timeout is enough if it
/// is shorter.
const DIRECT_HEARTBEAT_TIMEOUT_GAPS: f64 = 2.0;
/// The share of the machines that must have acknowledged this leader's token for `most_are_fenced`.
const FENCED_SHARE: f64 = 0.9;
/// A mass failure needs more than this share of the machines to have left commands unanswered.
const MASS_FAILURE_SHARE: f64 = 0.02;
/// A mass failure also needs more than this number of machines.
const MIN_MASS_FAILURES: usize = 2;

/// Counts from a survey of the machines that are up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MachineSurvey {
    /// Machines that are up.
    pub(super) up: usize,
    /// Machines that have acknowledged a token of this term.
    pub(super) fenced: usize,
    /// Machines that have left a command unanswered.
    pub(super) unanswered: usize,
    /// When the first of these machines left a command unanswered.
    pub(super) first_unanswered_at: Option<Time>,
}

/// The heartbeats of all workers together.
pub(super) struct HeartbeatMonitor {
    /// The heartbeat interval, in seconds.
    interval_s: f64,
    machines_up: usize,
    /// Whether most machines have ever acknowledged a token of this term.
    most_are_fenced: bool,
    /// When any worker last sent a heartbeat directly to this controller, or answered a command.
    last_heartbeat_at: Time,
    /// When a worker last sent a heartbeat directly to this controller in this term.
    last_direct_heartbeat_at: Option<Time>,
    /// The end of the last gap that may come from a fault of this controller's network.
    last_gap_ended_at: Time,
    /// The end of the last gap in which every worker should have sent a heartbeat. Silence counts from then.
    silence_counts_from: Time,
    /// Since when many machines have left commands unanswered: more machines may have failed with them.
    mass_failure_since: Option<Time>,
}

impl HeartbeatMonitor {
    /// The monitor of a leader elected at `now`.
    pub(super) fn new(interval_s: f64, now: Time) -> HeartbeatMonitor {
        HeartbeatMonitor {
            interval_s,
            machines_up: 0,
            most_are_fenced: false,
            last_heartbeat_at: now,
            last_direct_heartbeat_at: None,
            last_gap_ended_at: now,
            silence_counts_from: now,
            mass_failure_since: None,
        }
    }

    /// Seconds without any heartbeat that chance no longer explains. Workers send heartbeats
    /// independently of each other, so that a large fleet leaves only short gaps.
    fn gap_timeout_s(&self) -> f64 {
        let gap = GAP_MEAN_INTERVALS / self.machines_up.max(1) as f64;
        gap.max(MIN_GAP_SHARE) * self.interval_s
    }

    /// Notes a heartbeat that a worker sent directly to this controller, or an answer to a command.
    /// After a gap, commands that went unanswered during it prove nothing about their machines. If each
    /// worker should have sent a heartbeat during the gap, silence counts from now. A shorter gap may
    /// be chance, when many workers repeatedly send their heartbeats at the same time.
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

    /// Notes a heartbeat that a worker sent directly to this controller.
    pub(super) fn note_direct_heartbeat(&mut self, now: Time) {
        self.last_direct_heartbeat_at = Some(now);
    }

    /// Applies the counts of a survey of the machines.
    pub(super) fn note_survey(&mut self, survey: MachineSurvey, now: Time) {
        let up = survey.up;
        self.machines_up = up;
        self.most_are_fenced |= up > 0 && survey.fenced as f64 >= FENCED_SHARE * up as f64;
        let threshold = MIN_MASS_FAILURES.max((MASS_FAILURE_SHARE * up as f64) as usize);
        let first = survey.first_unanswered_at.unwrap_or(now);
        let since = self.mass_failure_since.unwrap_or(first);
        self.mass_failure_since = (survey.unanswered > threshold).then_some(since);
    }

    /// The number of machines that were up at the last survey.
    pub(super) fn machines_up(&self) -> usize {
        self.machines_up
    }

    /// Whether no heartbeat has arrived from any worker for longer than chance explains.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        now - self.last_heartbeat_at > self.gap_timeout_s()
    }

    /// The time from which a machine's silence counts.
    pub(super) fn silence_counts_from(&self) -> Time {
        self.silence_counts_from
    }

    /// The end of the last gap that may come from a fault of this controller's network.
    pub(super) fn last_gap_ended_at(&self) -> Time {
        self.last_gap_ended_at
    }

    /// Since when many machines have left commands unanswered: more machines may have failed with them.
    pub(super) fn mass_failure_since(&self) -> Option<Time> {
        self.mass_failure_since
    }

    /// Whether no worker sends heartbeats directly to this controller, elected at `elected_at`, so that
    /// its network may be at fault. Once most workers of a large fleet know this leader, the gaps
    /// between their heartbeats are short.
    pub(super) fn receives_no_heartbeats(&self, elected_at: Time, now: Time) -> bool {
        let interval_s = DIRECT_HEARTBEAT_TIMEOUT_INTERVALS * self.interval_s;
        let timeout_s = if self.most_are_fenced {
            interval_s.min(DIRECT_HEARTBEAT_TIMEOUT_GAPS * self.gap_timeout_s())
        } else {
            interval_s
        };
        let last = self.last_direct_heartbeat_at.unwrap_or(elected_at);
        now - last > timeout_s
    }
}
