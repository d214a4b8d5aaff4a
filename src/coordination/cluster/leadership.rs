//! The leader's term: its fencing token, leadership lease and write fence.

use super::effect::Effect;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use stairstage_upgrade::fence::WriteFence;

/// The low bits of an id number the ids of one term; the high bits hold the term's first token.
const ID_BITS: u32 = 20;

/// One term of leadership.
pub(crate) struct Leadership {
    /// The fencing token that commands and writes carry.
    token: FencingToken,
    /// The first token of this term: a heartbeat with this token or a higher one was sent after the
    /// election.
    first_token: FencingToken,
    /// The number of ids used so far.
    ids_issued: u64,
    /// What may be written at the active cluster version.
    write_fence: WriteFence,
    /// The time until which the leadership lease is guaranteed to be valid.
    lease_valid_until: Time,
    elected_at: Time,
    token_raised_at: Time,
    is_raising_token: bool,
    has_stepped_down: bool,
    /// Whether this leader has launched a task yet.
    has_launched: bool,
    /// When every other controller had promised not to answer heartbeats as a leader with a lower token.
    peers_promised_at: Option<Time>,
}

impl Leadership {
    /// A term that starts with a fencing token.
    pub(super) fn new(token: FencingToken, now: Time) -> Leadership {
        Leadership {
            token,
            first_token: token,
            ids_issued: 0,
            write_fence: WriteFence::Unstaged,
            lease_valid_until: now,
            elected_at: now,
            token_raised_at: now,
            is_raising_token: false,
            has_stepped_down: false,
            has_launched: false,
            peers_promised_at: None,
        }
    }

    /// The fencing token that commands and writes carry.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// The fencing token with which the term started.
    pub(crate) fn first_token(&self) -> FencingToken {
        self.first_token
    }

    /// When the term started.
    pub(crate) fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// Whether the leader may start tasks and write records.
    pub(crate) fn is_leader(&self, now: Time) -> bool {
        self.holds_lease(now) && !self.has_stepped_down
    }

    /// Whether the leadership lease is guaranteed to be valid.
    pub(crate) fn holds_lease(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// The time until which the leadership lease is guaranteed to be valid.
    pub(crate) fn lease_valid_until(&self) -> Time {
        self.lease_valid_until
    }

    /// Sets the time until which the leadership lease is guaranteed to be valid.
    pub(crate) fn set_lease_valid_until(&mut self, until: Time) {
        self.lease_valid_until = until;
    }

    /// Whether this leader has stepped down, even if the lease is still valid.
    pub(crate) fn has_stepped_down(&self) -> bool {
        self.has_stepped_down
    }

    /// Ends the leadership: no further writes or direct commands are sent.
    pub(super) fn step_down(&mut self) {
        self.has_stepped_down = true;
    }

    /// What may be written at the active cluster version.
    pub(crate) fn write_fence(&self) -> &WriteFence {
        &self.write_fence
    }

    /// Mutable access to the write fence.
    pub(super) fn write_fence_mut(&mut self) -> &mut WriteFence {
        &mut self.write_fence
    }

    /// Replaces the write fence after the active cluster version was read again.
    pub(crate) fn set_write_fence(&mut self, write_fence: WriteFence) {
        self.write_fence = write_fence;
    }

    /// Returns an id that no other leader and no other call uses.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.ids_issued += 1;
        (self.first_token.0 << ID_BITS) + self.ids_issued
    }

    /// Whether an attempt was numbered before this term.
    pub(super) fn is_of_earlier_term(&self, attempt: u64) -> bool {
        (attempt >> ID_BITS) < self.first_token.0
    }

    /// Whether a higher token is being drawn.
    pub(super) fn is_raising_token(&self) -> bool {
        self.is_raising_token
    }

    /// Whether a higher token may be drawn: not while another one is being drawn, and not within
    /// `pause_s` of the last one.
    pub(super) fn may_raise_token(&self, pause_s: f64, now: Time) -> bool {
        !self.is_raising_token && now - self.token_raised_at >= pause_s
    }

    /// Starts to draw a higher token.
    pub(super) fn raise_token(&mut self) -> Effect {
        self.is_raising_token = true;
        Effect::RaiseToken
    }

    /// Applies the result of drawing a higher token; `None` if that failed. Returns whether the token
    /// was replaced.
    pub(super) fn token_raised(&mut self, token: Option<FencingToken>, now: Time) -> bool {
        self.is_raising_token = false;
        self.token_raised_at = now;
        let Some(token) = token.filter(|token| *token > self.token) else {
            return false;
        };
        self.token = token;
        true
    }

    /// Notes that every other controller has promised not to answer heartbeats as a leader with a lower
    /// token.
    pub(super) fn peers_promised(&mut self, now: Time) {
        self.peers_promised_at = Some(now);
    }

    /// When every other controller had promised not to answer heartbeats as a leader with a lower token.
    pub(super) fn peers_promised_at(&self) -> Option<Time> {
        self.peers_promised_at
    }

    /// Notes the launch of a task; returns whether it is the first of this term.
    pub(super) fn note_launch(&mut self) -> bool {
        let is_first = !self.has_launched;
        self.has_launched = true;
        is_first
    }
}
