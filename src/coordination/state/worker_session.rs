//! What is known of the worker on a machine: its incarnation, heartbeats and responses to them.

use crate::coordination::Time;
use crate::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use crate::protocol::worker::Heartbeat;

/// Responses in a row without effect after which a worker counts as unresponsive.
pub const MAX_UNACKNOWLEDGED: u32 = 2;

/// The exchange of heartbeats, responses and commands with one worker.
#[derive(Clone, Debug)]
pub struct WorkerSession {
    /// The incarnation of the worker's process; 0 until one is known.
    incarnation: Incarnation,
    /// The sequence number of the newest heartbeat in this incarnation, whatever it came with.
    sequence: HeartbeatSequence,
    /// The sequence number of the newest heartbeat that the worker sent by itself in this
    /// incarnation; responses to direct commands have later numbers too.
    reported_sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has shown.
    acknowledged_token: FencingToken,
    /// The highest fencing token that was sent to this incarnation.
    sent_token: FencingToken,
    last_heartbeat_at: Option<Time>,
    /// When a heartbeat was last responded to, which renews the worker's lease.
    last_response_at: Time,
    /// Responses in a row that later heartbeats show to have had no effect.
    unacknowledged: u32,
    /// Since when the worker counts as unresponsive by that.
    unresponsive_since: Option<Time>,
    commands_in_flight: bool,
    /// When the worker last left a command unanswered, since its last heartbeat.
    command_unanswered_since: Option<Time>,
    /// Until when no commands are sent directly.
    no_commands_until: Time,
}

impl WorkerSession {
    /// A worker of which nothing is known.
    pub fn new(now: Time) -> WorkerSession {
        WorkerSession {
            incarnation: Incarnation::default(),
            sequence: HeartbeatSequence::default(),
            reported_sequence: HeartbeatSequence::default(),
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

    /// The highest fencing token that the worker has shown.
    pub fn acknowledged_token(&self) -> FencingToken {
        self.acknowledged_token
    }

    /// The sequence number of the newest heartbeat that the worker sent by itself.
    pub fn reported_sequence(&self) -> HeartbeatSequence {
        self.reported_sequence
    }

    /// When a heartbeat last arrived.
    pub fn last_heartbeat_at(&self) -> Option<Time> {
        self.last_heartbeat_at
    }

    /// When a heartbeat was last responded to.
    pub fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Since when the worker counts as unresponsive, as responses have no effect on it.
    pub fn unresponsive_since(&self) -> Option<Time> {
        self.unresponsive_since
    }

    /// When the worker last left a command unanswered, since its last heartbeat.
    pub fn command_unanswered_since(&self) -> Option<Time> {
        self.command_unanswered_since
    }

    /// Whether a direct command is in flight.
    pub fn commands_in_flight(&self) -> bool {
        self.commands_in_flight
    }

    /// Whether commands may be sent directly, after ones that failed.
    pub fn takes_commands(&self, now: Time) -> bool {
        now >= self.no_commands_until
    }

    /// Whether the worker acknowledges responses to its heartbeats.
    pub fn is_responsive(&self) -> bool {
        self.unacknowledged < MAX_UNACKNOWLEDGED && self.command_unanswered_since.is_none()
    }

    /// Whether a heartbeat is newer than all before it. A worker keeps the highest token that it has
    /// seen: with a lower one it is from before its process ended, or a new process that must first
    /// prove itself; its counters do not tell which.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        let number = (heartbeat.incarnation, heartbeat.sequence);
        number > (self.incarnation, self.sequence) && heartbeat.token >= self.acknowledged_token
    }

    /// Whether a heartbeat begins another incarnation than the one that is known.
    pub fn begins_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        self.incarnation != Incarnation::default() && heartbeat.incarnation > self.incarnation
    }

    /// Applies a newer heartbeat, which the worker sent by itself (`is_own`) or in response to a
    /// command.
    pub fn apply(&mut self, heartbeat: &Heartbeat, is_own: bool, lease_s: f64, now: Time) {
        if self.begins_incarnation(heartbeat) {
            // Its lease ran out though its heartbeats were responded to: the responses don't reach it.
            if self.sent_token > FencingToken::default() && now - self.last_response_at < lease_s {
                self.unacknowledged = MAX_UNACKNOWLEDGED;
                self.acknowledge(false, now);
            }
            self.sent_token = FencingToken::default();
            self.reported_sequence = HeartbeatSequence::default();
        } else if self.sent_token > self.acknowledged_token {
            self.acknowledge(heartbeat.token >= self.sent_token, now);
        }
        if is_own {
            self.reported_sequence = heartbeat.sequence;
        }
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        self.acknowledged_token = self.acknowledged_token.max(heartbeat.token);
        self.last_heartbeat_at = Some(now);
        self.no_commands_until = 0.0;
        self.command_unanswered_since = None;
    }

    /// Notes whether the worker has done what the last response told it.
    pub fn acknowledge(&mut self, acknowledged: bool, now: Time) {
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

    /// Notes that a heartbeat is responded to under a fencing token.
    pub fn responded(&mut self, token: FencingToken, now: Time) {
        self.last_response_at = now;
        self.sent_token = self.sent_token.max(token);
    }

    /// Notes that commands are sent directly.
    pub fn commands_sent(&mut self) {
        self.commands_in_flight = true;
    }

    /// Notes that the exchange of direct commands is over.
    pub fn commands_finished(&mut self) {
        self.commands_in_flight = false;
    }

    /// Notes that commands got no answer; none are sent directly for a while.
    pub fn commands_unanswered(&mut self, pause_s: f64, now: Time) {
        self.no_commands_until = now + pause_s;
        self.command_unanswered_since = Some(now);
    }

    /// The worker's lease is over: whatever it says of this incarnation is of the past. Nothing is
    /// sent to the next one before it is known: when it begins, and so when its lease ends, is not.
    pub fn expire(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.sequence = HeartbeatSequence::default();
        self.reported_sequence = HeartbeatSequence::default();
        self.last_heartbeat_at = None;
    }
}
