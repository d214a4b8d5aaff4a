//! The leader's own term: its fencing token, its lease and its write fence.

use super::effect::Effect;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use stairstage_upgrade::fence::WriteFence;

/// The low bits of an id number the ids of one term; the others hold the term's first token.
const ID_BITS: u32 = 20;

/// One term of leadership.
pub(crate) struct Leadership {
    /// The fencing token that commands and writes carry.
    token: FencingToken,
    /// Tokens of this term start here: a heartbeat at or above it was sent after the election.
    first_token: FencingToken,
    /// How many ids were given out.
    ids: u64,
    /// What may be written at the active cluster version.
    write_fence: WriteFence,
    /// Until when the leader's lease certainly holds.
    lease_valid_until: Time,
    elected_at: Time,
    token_raised_at: Time,
    is_raising_token: bool,
    deposed: bool,
    /// Whether this leader has launched a task yet.
    has_launched: bool,
    /// When every other controller had promised to answer no heartbeat with a lower token.
    peers_promised_at: Option<Time>,
}

impl Leadership {
    /// A term that begins with a fencing token.
    pub(super) fn new(token: FencingToken, now: Time) -> Leadership {
        Leadership {
            token,
            first_token: token,
            ids: 0,
            write_fence: WriteFence::Unstaged,
            lease_valid_until: now,
            elected_at: now,
            token_raised_at: now,
            is_raising_token: false,
            deposed: false,
            has_launched: false,
            peers_promised_at: None,
        }
    }

    /// The fencing token that commands and writes carry.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// The fencing token with which the term began.
    pub(crate) fn first_token(&self) -> FencingToken {
        self.first_token
    }

    /// When the term began.
    pub(crate) fn elected_at(&self) -> Time {
        self.elected_at
    }

    /// Whether the leader may start tasks and write records.
    pub(crate) fn is_leader(&self, now: Time) -> bool {
        self.holds_lease(now) && !self.deposed
    }

    /// Whether the leader's lease certainly holds.
    pub(crate) fn holds_lease(&self, now: Time) -> bool {
        now < self.lease_valid_until
    }

    /// Until when the leader's lease certainly holds.
    pub(crate) fn lease_valid_until(&self) -> Time {
        self.lease_valid_until
    }

    /// Notes until when the leader's lease certainly holds.
    pub(crate) fn set_lease_valid_until(&mut self, until: Time) {
        self.lease_valid_until = until;
    }

    /// Whether the leadership is over, whatever the lease says.
    pub(crate) fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// The leadership is over.
    pub(super) fn depose(&mut self) {
        self.deposed = true;
    }

    /// What may be written at the active cluster version.
    pub(crate) fn write_fence(&self) -> &WriteFence {
        &self.write_fence
    }

    /// What may be written at the active cluster version, to be changed.
    pub(super) fn write_fence_mut(&mut self) -> &mut WriteFence {
        &mut self.write_fence
    }

    /// Replaces what may be written, as the active cluster version was read anew.
    pub(crate) fn set_write_fence(&mut self, write_fence: WriteFence) {
        self.write_fence = write_fence;
    }

    /// An id that no other leader, and no other call, gives out.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.ids += 1;
        (self.first_token.0 << ID_BITS) + self.ids
    }

    /// Whether an attempt was numbered before this term.
    pub(super) fn is_of_earlier_term(&self, attempt: u64) -> bool {
        (attempt >> ID_BITS) < self.first_token.0
    }

    /// Whether a higher token is being drawn.
    pub(super) fn is_raising_token(&self) -> bool {
        self.is_raising_token
    }

    /// Whether a higher token may be drawn: not while one is, and not often.
    pub(super) fn may_raise_token(&self, pause_s: f64, now: Time) -> bool {
        !self.is_raising_token && now - self.token_raised_at >= pause_s
    }

    /// Draws a higher token.
    pub(super) fn raise_token(&mut self) -> Effect {
        self.is_raising_token = true;
        Effect::RaiseToken
    }

    /// A higher token was drawn; `None` if that failed. Returns whether it is taken on.
    pub(super) fn token_raised(&mut self, token: Option<FencingToken>, now: Time) -> bool {
        self.is_raising_token = false;
        self.token_raised_at = now;
        let Some(token) = token.filter(|token| *token > self.token) else {
            return false;
        };
        self.token = token;
        true
    }

    /// Every other controller has promised to answer no heartbeat with a lower token.
    pub(super) fn peers_promised(&mut self, now: Time) {
        self.peers_promised_at = Some(now);
    }

    /// When every other controller had promised to answer no heartbeat with a lower token.
    pub(super) fn peers_promised_at(&self) -> Option<Time> {
        self.peers_promised_at
    }

    /// Notes that a task is launched; returns whether it is the first of this term.
    pub(super) fn note_launch(&mut self) -> bool {
        let is_first = !self.has_launched;
        self.has_launched = true;
        is_first
    }
}
