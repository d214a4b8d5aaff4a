//! The lease that leadership depends on: its timing and the record attached to it.

use super::messages::ElectionEvent;
use crate::coordination::Time;
use crate::protocol::store::{LeaseId, Transaction};
use crate::storage::records::{LeaderRecord, LEADER_KEY};
use std::time::Duration;

/// The share of a lease that counts as valid by this node's own clock. The rest covers the drift
/// between the clocks of the node and the state service.
const SAFE_SHARE: f64 = 0.98;
/// The number of renewals within a lease.
pub(super) const RENEWALS_PER_LEASE: u32 = 4;
/// The number of retries of a failed operation within a lease.
pub(super) const RETRIES_PER_LEASE: u32 = 8;

/// Reports until when a lease is valid that was requested or renewed at `requested_at`: the service
/// counts its duration from no earlier than that.
pub(super) fn extended(requested_at: Time, duration: Duration) -> ElectionEvent {
    ElectionEvent::LeaseExtended {
        valid_until: requested_at + duration.as_secs_f64() * SAFE_SHARE,
    }
}

/// Records `node` as the leader, on the condition that the leader's record still has that version.
pub(super) fn leader_transaction(node: &str, version: u64, lease: LeaseId) -> Transaction {
    let record = LeaderRecord {
        node: node.to_string(),
    };
    let value = serde_json::to_value(record).expect("serializing plain data cannot fail");
    Transaction::default()
        .version(LEADER_KEY, version)
        .put_leased(LEADER_KEY, value, lease)
}
