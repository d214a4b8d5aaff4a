//! The leadership lease: its timing and the leader record attached to it.

use super::messages::ElectionEvent;
use crate::coordination::Time;
use crate::protocol::store::{LeaseId, Transaction};
use crate::storage::records::{LeaderRecord, LEADER_KEY};
use std::time::Duration;

/// The share of a lease that counts as valid by this controller's clock. The rest allows for drift
/// between the clocks of the controller and the state service.
const VALID_SHARE: f64 = 0.98;
/// Renewals per lease duration.
pub(super) const RENEWALS_PER_LEASE: u32 = 4;
/// Retries of a failed operation per lease duration.
pub(super) const RETRIES_PER_LEASE: u32 = 8;

/// The event for a lease that was granted or renewed by a request sent at `requested_at`. The validity
/// counts from that time, since the state service can't have started the lease earlier.
pub(super) fn lease_extended(requested_at: Time, duration: Duration) -> ElectionEvent {
    ElectionEvent::LeaseExtended {
        valid_until: requested_at + duration.as_secs_f64() * VALID_SHARE,
    }
}

/// Writes `controller` into the leader record, on condition that the record has this version.
pub(super) fn leader_transaction(controller: &str, version: u64, lease: LeaseId) -> Transaction {
    let record = LeaderRecord {
        node: controller.to_string(),
    };
    let value = serde_json::to_value(record).expect("serializing plain data cannot fail");
    Transaction::default()
        .version(LEADER_KEY, version)
        .put_leased(LEADER_KEY, value, lease)
}
