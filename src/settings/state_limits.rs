//! Limits on records and transactions, derived from the limits of the state service.

use super::platform::StateServiceLimits;

/// The maximum size of an encoded record, as a share of the maximum size of a value. The margin is needed
/// because it is unspecified how the service counts bytes: with a space after each colon and comma, a
/// record is a tenth longer.
const VALUE_SHARE: f64 = 0.85;
/// The maximum number of compares in a transaction, for each write operation that it may have.
pub const COMPARES_PER_OPERATION: usize = 4;
/// The number of write operations in the largest transaction that cannot be split.
pub(super) const MIN_OPERATIONS: usize = 4;

impl StateServiceLimits {
    /// The maximum size of a record, in bytes. A record that is written now may be rewritten under the
    /// announced limits, so the smaller limit applies from the start.
    pub fn max_record_bytes(&self) -> usize {
        let next = self.next.value_kb;
        let kib = next.map_or(self.value_kb, |next| next.min(self.value_kb));
        (kib * 1024.0 * VALUE_SHARE) as usize
    }

    /// The maximum number of write operations in one transaction, under both the current and the
    /// announced limits.
    pub fn max_operations(&self) -> usize {
        let next = self.next.txn_ops;
        next.map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// The maximum number of compares in one transaction, under both the current and the announced limits.
    pub fn max_compares(&self) -> usize {
        COMPARES_PER_OPERATION * self.max_operations()
    }

    /// Write operations per second, under both the current and the announced limits.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next.write_rps;
        next.map_or(self.write_rps, |next| next.min(self.write_rps))
    }
}
