//! Limits on records and transactions, derived from those of the state service.

use super::platform::StateServiceLimits;

/// The share of the largest value that a record may fill, as encoded here. How the service counts bytes
/// is unspecified: with a space after each colon and comma, a record is a tenth longer.
const VALUE_SHARE: f64 = 0.85;
/// Compares that a transaction may have for each change that it may have.
pub const COMPARES_PER_OPERATION: usize = 4;
/// Changes that the largest indivisible transaction has.
pub(super) const MIN_OPERATIONS: usize = 4;

impl StateServiceLimits {
    /// The largest record, in bytes. A record that is written now must still be accepted when it is
    /// rewritten under the announced limits, so the smaller limit applies from the start.
    pub fn max_record_bytes(&self) -> usize {
        let next = self.next.value_kb;
        let kib = next.map_or(self.value_kb, |next| next.min(self.value_kb));
        (kib * 1024.0 * VALUE_SHARE) as usize
    }

    /// The most changes in one transaction, under the present and the announced limits.
    pub fn max_operations(&self) -> usize {
        let next = self.next.txn_ops;
        next.map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// The most compares in one transaction, under the present and the announced limits.
    pub fn max_compares(&self) -> usize {
        COMPARES_PER_OPERATION * self.max_operations()
    }

    /// Changes per second, under the present and the announced limits.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next.write_rps;
        next.map_or(self.write_rps, |next| next.min(self.write_rps))
    }
}
