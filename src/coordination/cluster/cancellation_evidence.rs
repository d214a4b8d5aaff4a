//! Until when a controller provably knows of every cancellation that any user was told of, and so
//! until when it may renew the leases of workers.
//!
//! A task of a cancelled job must be gone within `cancel_s` of the confirmation. A worker whose
//! lease is renewed may run its tasks for another `lease_s`. A controller that knows every
//! cancellation confirmed before a moment, but perhaps none confirmed after it, may therefore renew
//! leases until `cancel_s - lease_s` after that moment and not longer.
//!
//! Two kinds of evidence move the moment forward:
//!
//! - The records were read, in full or by a watch without a gap: every cancellation on record when
//!   the request was sent is known.
//! - *Every* other controller has answered which cancellations it has confirmed, without a gap since
//!   its process was first asked. What an earlier process at its address had confirmed is known
//!   once the records were read after the first answer of the present one.
//!
//! That the leadership lease was renewed proves nothing here: the news of changes may lag behind.

use crate::coordination::cluster::CLOCK_DRIFT;
use crate::coordination::Time;
use crate::settings::WorkerTimings;
use crate::storage::cancellation_log::{CancellationPage, Cursor};
use std::collections::BTreeMap;

/// The share of the time between the end of a lease and the end of a cancellation that is used; the
/// rest is for timers that fire late.
const RENEWAL_SHARE: f64 = 0.96;

/// What one other controller has answered.
#[derive(Debug, Default)]
struct PeerEvidence {
    cursor: Cursor,
    /// When the first answer of its present process arrived.
    first_answer_at: Time,
    /// Every cancellation that this process confirmed before then is known.
    confirmed_until: Option<Time>,
}

/// The answer of another controller to the question which cancellations it has confirmed.
#[derive(Debug)]
pub struct PeerAnswer {
    /// The other controller.
    pub peer: String,
    /// The cursor from which its log was asked for.
    pub asked: Cursor,
    /// When the question was sent.
    pub sent: Time,
    /// When the answer was received.
    pub received: Time,
    /// The part of its log that it has sent.
    pub page: CancellationPage,
}

/// The evidence of one term of leadership.
#[derive(Debug)]
pub struct CancellationEvidence {
    records_read: Option<Time>,
    peers: BTreeMap<String, PeerEvidence>,
}

impl CancellationEvidence {
    /// No evidence yet; `peers` are all other controllers.
    pub fn new<'a>(peers: impl IntoIterator<Item = &'a String>) -> CancellationEvidence {
        let peers = peers.into_iter();
        CancellationEvidence {
            records_read: None,
            peers: peers
                .map(|name| (name.clone(), PeerEvidence::default()))
                .collect(),
        }
    }

    /// All changes of the records up to some revision have been applied; the request that brought
    /// the last of them was sent at `sent`.
    pub fn records_read(&mut self, sent: Time) {
        self.records_read = Some(self.records_read.map_or(sent, |known| known.max(sent)));
    }

    /// From where on a peer is to be asked.
    pub fn cursor(&self, peer: &str) -> Cursor {
        self.peers.get(peer).map_or(Cursor::default(), |p| p.cursor)
    }

    /// A peer has answered. The cancellations in the answer must have been applied before.
    pub fn peer_answered(&mut self, answer: &PeerAnswer) {
        let Some(peer) = self.peers.get_mut(&answer.peer) else {
            return;
        };
        let page = &answer.page;
        if !page.continues || answer.asked != peer.cursor {
            peer.first_answer_at = answer.received;
            peer.confirmed_until = None;
        } else if page.complete {
            peer.confirmed_until = Some(answer.sent);
        }
        peer.cursor = page.cursor;
    }

    /// The moment before which every cancellation that any user was told of is known here. Those
    /// of this process itself must be known at any time.
    pub fn known_until(&self, now: Time) -> Option<Time> {
        let records_read = self.records_read?;
        let mut peers = self.peers.values();
        let confirmed_by_all = peers.try_fold(now, |all, peer| {
            let is_proven = peer.first_answer_at < records_read;
            let confirmed = peer.confirmed_until.filter(|_| is_proven)?;
            Some(all.min(confirmed))
        });
        Some(confirmed_by_all.map_or(records_read, |confirmed| confirmed.max(records_read)))
    }

    /// Whether the lease of a worker may be renewed now.
    pub fn may_renew(&self, workers: &WorkerTimings, now: Time) -> bool {
        let known_until = self.known_until(now);
        known_until.is_some_and(|known| now < known + renewal_s(workers))
    }
}

/// For how long after the moment up to which all cancellations are known a lease may be renewed.
pub fn renewal_s(workers: &WorkerTimings) -> Time {
    let left_s = workers.cancel_s / CLOCK_DRIFT - workers.lease_s * CLOCK_DRIFT;
    (RENEWAL_SHARE * left_s).max(0.0)
}
