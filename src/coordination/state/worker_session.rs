//! The leader's view of the worker on a machine: incarnation, heartbeats, responses and commands.

use crate::coordination::Time;
use crate::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use crate::protocol::worker::Heartbeat;

/// Consecutive unacknowledged responses after which a worker counts as unresponsive.
pub const MAX_UNACKNOWLEDGED: u32 = 2;

/// The exchange of heartbeats, responses and commands with one worker.
#[derive(Clone, Debug)]
pub struct WorkerSession {
    /// The incarnation of the worker's process; 0 until one is known.
    incarnation: Incarnation,
    /// The sequence number of the newest heartbeat in this incarnation, unsolicited or in response to a
    /// command.
    sequence: HeartbeatSequence,
    /// The sequence number of the newest unsolicited heartbeat in this incarnation; responses to direct
    /// commands use numbers of the same sequence.
    unsolicited_sequence: HeartbeatSequence,
    /// The highest fencing token in any heartbeat of the worker.
    acknowledged_token: FencingToken,
    /// The highest fencing token that was sent to this incarnation.
    sent_token: FencingToken,
    last_heartbeat_at: Option<Time>,
    /// When the leader last responded to a heartbeat, which renews the worker's lease.
    last_response_at: Time,
    /// Consecutive responses that the worker's later heartbeats did not acknowledge.
    unacknowledged: u32,
    /// Since when the worker has counted as unresponsive because of `unacknowledged`.
    unresponsive_since: Option<Time>,
    commands_in_flight: bool,
    /// When a command last went unanswered; `None` again after the next heartbeat.
    command_unanswered_since: Option<Time>,
    /// No commands are sent directly before this time.
    no_commands_until: Time,
}

impl WorkerSession {
    /// The session of a worker that has not sent a heartbeat yet.
    pub fn new(now: Time) -> WorkerSession {
        WorkerSession {
            incarnation: Incarnation::default(),
            sequence: HeartbeatSequence::default(),
            unsolicited_sequence: HeartbeatSequence::default(),
            acknowledged_token: FencingToken::default(),
            sent_token: FencingToken::default(),
            last_heartbeat_at: None,
            last_response_at: now,
            unacknowledged: 0,
            unresponsive_since: None,
            commands_in_flight: false,
            command_unanswered_since: None,
            no_commands_until: 0.0,
        }
    }

    /// The incarnation of the worker's process; 0 until one is known.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The highest fencing token in any heartbeat of the worker.
    pub fn acknowledged_token(&self) -> FencingToken {
        self.acknowledged_token
    }

    /// The sequence number of the newest unsolicited heartbeat.
    pub fn unsolicited_sequence(&self) -> HeartbeatSequence {
        self.unsolicited_sequence
    }

    /// When a heartbeat was last received.
    pub fn last_heartbeat_at(&self) -> Option<Time> {
        self.last_heartbeat_at
    }

    /// When the leader last responded to a heartbeat.
    pub fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Since when the worker has counted as unresponsive because it does not acknowledge responses.
    pub fn unresponsive_since(&self) -> Option<Time> {
        self.unresponsive_since
    }

    /// When a command last went unanswered; `None` again after the next heartbeat.
    pub fn command_unanswered_since(&self) -> Option<Time> {
        self.command_unanswered_since
    }

    /// Whether a direct command is in flight.
    pub fn commands_in_flight(&self) -> bool {
        self.commands_in_flight
    }

    /// Whether commands may be sent directly: the pause after an unanswered command is over.
    pub fn accepts_commands(&self, now: Time) -> bool {
        now >= self.no_commands_until
    }

    /// Whether the worker acknowledges heartbeat responses and answers direct commands.
    pub fn is_responsive(&self) -> bool {
        self.unacknowledged < MAX_UNACKNOWLEDGED && self.command_unanswered_since.is_none()
    }

    /// Whether a heartbeat is newer than all earlier ones. A worker keeps the highest token that it has
    /// seen, so a heartbeat with a lower token was sent before the worker's process exited, or by a new
    /// process that has not acknowledged a token yet. Incarnation and sequence number do not tell these
    /// cases apart.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        let number = (heartbeat.incarnation, heartbeat.sequence);
        number > (self.incarnation, self.sequence) && heartbeat.token >= self.acknowledged_token
    }

    /// Whether a heartbeat belongs to a newer incarnation than the known one.
    pub fn begins_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        self.incarnation != Incarnation::default() && heartbeat.incarnation > self.incarnation
    }

    /// Applies a newer heartbeat: an unsolicited one (`is_unsolicited`) or the response to a command.
    pub fn apply(&mut self, heartbeat: &Heartbeat, is_unsolicited: bool, lease_s: f64, now: Time) {
        if self.begins_incarnation(heartbeat) {
            // The worker's lease expired although the leader responded to its heartbeats: the responses
            // do not reach the worker.
            if self.sent_token > FencingToken::default() && now - self.last_response_at < lease_s {
                self.unacknowledged = MAX_UNACKNOWLEDGED;
                self.record_acknowledgement(false, now);
            }
            self.sent_token = FencingToken::default();
            self.unsolicited_sequence = HeartbeatSequence::default();
        } else if self.sent_token > self.acknowledged_token {
            self.record_acknowledgement(heartbeat.token >= self.sent_token, now);
        }
        if is_unsolicited {
            self.unsolicited_sequence = heartbeat.sequence;
        }
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.acknowledged_token = self.acknowledged_token.max(heartbeat.token);
        self.last_heartbeat_at = Some(now);
        self.no_commands_until = 0.0;
        self.command_unanswered_since = None;
    }

    /// Records whether the worker has acknowledged the last response.
    pub fn record_acknowledgement(&mut self, acknowledged: bool, now: Time) {
        if acknowledged {
            self.unacknowledged = 0;
            self.unresponsive_since = None;
            return;
        }
        self.unacknowledged += 1;
        if self.unacknowledged >= MAX_UNACKNOWLEDGED {
            self.unresponsive_since.get_or_insert(now);
        }
    }

    /// Records that a heartbeat was responded to with a fencing token.
    pub fn response_sent(&mut self, token: FencingToken, now: Time) {
        self.last_response_at = now;
        self.sent_token = self.sent_token.max(token);
    }

    /// Records that commands were sent directly.
    pub fn commands_sent(&mut self) {
        self.commands_in_flight = true;
    }

    /// Records that the request with direct commands has finished.
    pub fn commands_finished(&mut self) {
        self.commands_in_flight = false;
    }

    /// Records that commands went unanswered; no commands are sent directly for `pause_s`.
    pub fn commands_unanswered(&mut self, pause_s: f64, now: Time) {
        self.no_commands_until = now + pause_s;
        self.command_unanswered_since = Some(now);
    }

    /// Ends the current incarnation because the worker's lease has expired: later heartbeats of this
    /// incarnation are stale. Nothing is sent to the next incarnation before its first heartbeat,
    /// because its start, and so the expiry of its lease, is unknown until then.
    pub fn expire(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.sequence = HeartbeatSequence::default();
        self.unsolicited_sequence = HeartbeatSequence::default();
        self.last_heartbeat_at = None;
    }
}
