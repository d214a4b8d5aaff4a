//! Tracks up to which time a controller provably knows every cancellation that was confirmed to a user,
//! and so until when it may renew the leases of workers.
//!
//! A task of a cancelled job must be gone within `cancel_s` of the confirmation. A worker whose lease
//! is renewed may run its tasks for another `lease_s`. A controller that knows every cancellation
//! confirmed before time T, but perhaps none confirmed after it, may therefore renew leases until
//! `T + cancel_s - lease_s` and not longer.
//!
//! Two kinds of evidence advance T:
//!
//! - The records were read, in full or by a watch without a gap: every cancellation on record when the
//!   request was sent is known.
//! - *Every* other controller has answered which cancellations it has confirmed, without a gap since
//!   its process was first asked. Cancellations that an earlier process at its address had confirmed
//!   are known once the records were read after the first answer of the current process.
//!
//! A renewed leadership lease is no evidence, because the watch may lag behind the store.

use crate::coordination::cluster::CLOCK_DRIFT;
use crate::coordination::Time;
use crate::settings::WorkerTimings;
use crate::storage::cancellation_log::{CancellationPage, Cursor};
use std::collections::BTreeMap;

/// The share of the renewal window that is used; the rest allows for timers that fire late.
const RENEWAL_WINDOW_SHARE: f64 = 0.96;

/// The evidence from one other controller.
#[derive(Debug, Default)]
struct PeerEvidence {
    cursor: Cursor,
    /// When the first answer of the peer's current process arrived.
    first_answer_at: Time,
    /// Every cancellation that this process confirmed before this time is known.
    confirmed_until: Option<Time>,
}

/// The cancellations that another controller has confirmed, as it answered a query for them.
#[derive(Debug)]
pub struct PeerCancellations {
    /// The peer that answered.
    pub peer: String,
    /// The position in the peer's log from which cancellations were requested.
    pub requested_from: Cursor,
    /// When the request was sent.
    pub sent: Time,
    /// When the answer was received.
    pub received: Time,
    /// The part of the peer's log in the answer.
    pub page: CancellationPage,
}

/// The evidence of one term of leadership.
#[derive(Debug)]
pub struct CancellationEvidence {
    records_read: Option<Time>,
    peers: BTreeMap<String, PeerEvidence>,
}

impl CancellationEvidence {
    /// Starts without evidence; `peers` are all other controllers.
    pub fn new<'a>(peers: impl IntoIterator<Item = &'a String>) -> CancellationEvidence {
        let peers = peers.into_iter();
        CancellationEvidence {
            records_read: None,
            peers: peers
                .map(|name| (name.clone(), PeerEvidence::default()))
                .collect(),
        }
    }

    /// Notes that all changes of the records up to some revision have been applied; `sent` is when the
    /// request that returned the last of them was sent.
    pub fn records_read(&mut self, sent: Time) {
        self.records_read = Some(self.records_read.map_or(sent, |known| known.max(sent)));
    }

    /// The position in a peer's log from which to request cancellations next.
    pub fn cursor(&self, peer: &str) -> Cursor {
        self.peers.get(peer).map_or(Cursor::default(), |p| p.cursor)
    }

    /// Applies a peer's answer. The cancellations in it must have been applied before.
    pub fn peer_answered(&mut self, answer: &PeerCancellations) {
        let Some(peer) = self.peers.get_mut(&answer.peer) else {
            return;
        };
        let page = &answer.page;
        if !page.continues || answer.requested_from != peer.cursor {
            peer.first_answer_at = answer.received;
            peer.confirmed_until = None;
        } else if page.complete {
            peer.confirmed_until = Some(answer.sent);
        }
        peer.cursor = page.cursor;
    }

    /// The time before which every cancellation that was confirmed to a user is known to this
    /// controller. Its own cancellations must always be known.
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
        known_until.is_some_and(|known| now < known + renewal_window_s(workers))
    }
}

/// Seconds after the time up to which all cancellations are known for which a lease may be renewed.
pub fn renewal_window_s(workers: &WorkerTimings) -> Time {
    let remaining_s = workers.cancel_s / CLOCK_DRIFT - workers.lease_s * CLOCK_DRIFT;
    (RENEWAL_WINDOW_SHARE * remaining_s).max(0.0)
}
