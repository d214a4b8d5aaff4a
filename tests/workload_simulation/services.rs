//! Models of the state service and the cloud, with their present faults and limits.

use crate::workload::Random;
use stairstage::protocol::store::Transaction;

/// The range of the delay after which a transaction without a response is applied, in seconds.
const WRITE_DELAY_S: (f64, f64) = (2.0, 12.0);
/// The timeout of a transaction, in seconds.
const TIMEOUT_S: f64 = 2.0;

/// The faults and the write rate limit of the state service.
pub(crate) struct StateService {
    /// The latency of each transaction in seconds.
    pub latency_s: f64,
    /// Whether the state service rejects every request with status 503.
    pub unavailable: bool,
    /// The share of transactions that are applied at once while the response is lost.
    pub response_loss_rate: f64,
    /// The share of transactions that are applied late and without a response.
    pub delay_rate: f64,
    /// Write operations that the state service accepts per second.
    pub write_ops_per_s: f64,
    /// Write operations available now, as of `refilled_at`.
    available_ops: f64,
    refilled_at: f64,
}

/// How the state service handles a transaction.
pub(crate) enum WriteHandling {
    Rejected,
    /// Applied and confirmed at this time.
    Confirmed(f64),
    /// Applied now; the response is lost, and the client times out at this time.
    ResponseLost(f64),
    /// The client times out, and the transaction is applied later.
    Delayed {
        timed_out_at: f64,
        applied_at: f64,
    },
}

impl Default for StateService {
    fn default() -> StateService {
        StateService {
            latency_s: 0.0,
            unavailable: false,
            response_loss_rate: 0.0,
            delay_rate: 0.0,
            write_ops_per_s: f64::INFINITY,
            available_ops: 0.0,
            refilled_at: 0.0,
        }
    }
}

impl StateService {
    /// Replaces the faults and the rate limit; the write operations available now stay.
    pub(crate) fn set(&mut self, other: StateService) {
        let (available_ops, refilled_at) = (self.available_ops, self.refilled_at);
        *self = StateService {
            available_ops,
            refilled_at,
            ..other
        };
    }

    /// Takes write operations from a token bucket that holds one second of the rate limit. Returns whether
    /// enough were available.
    pub(crate) fn try_acquire(&mut self, operations: usize, now: f64) -> bool {
        if self.write_ops_per_s.is_infinite() {
            return true;
        }
        let refill = (now - self.refilled_at) * self.write_ops_per_s;
        self.available_ops = (self.available_ops + refill).min(self.write_ops_per_s);
        self.refilled_at = now;
        let acquired = self.available_ops >= operations as f64;
        self.available_ops -= if acquired { operations as f64 } else { 0.0 };
        acquired
    }

    /// Decides how a transaction sent now is handled.
    pub(crate) fn handle_write(
        &mut self,
        txn: &Transaction,
        random: &mut Random,
        now: f64,
    ) -> WriteHandling {
        if self.unavailable || !self.try_acquire(txn.operations.len(), now) {
            WriteHandling::Rejected
        } else if random.chance(self.response_loss_rate) {
            WriteHandling::ResponseLost(now + TIMEOUT_S)
        } else if random.chance(self.delay_rate) {
            WriteHandling::Delayed {
                timed_out_at: now + TIMEOUT_S,
                applied_at: now + random.between(WRITE_DELAY_S.0, WRITE_DELAY_S.1),
            }
        } else {
            WriteHandling::Confirmed(now + self.latency_s)
        }
    }
}

/// The capacity and the faults of the cloud.
pub(crate) struct Cloud {
    /// Whether rentals are accepted.
    pub accepts_rentals: bool,
    /// Whether returns of machines are accepted.
    pub accepts_returns: bool,
    pub boot_s: f64,
    /// The most machines that can be rented in each zone.
    pub max_per_zone: usize,
    /// A zone without capacity.
    pub sold_out_zone: Option<&'static str>,
    /// Whether the policy of the operators keeps idle machines.
    pub keeps_idle_machines: bool,
}

impl Cloud {
    /// A cloud without capacity. Idle machines are kept, so that only those considered faulty are returned.
    pub(crate) fn without_capacity() -> Cloud {
        Cloud {
            accepts_rentals: false,
            accepts_returns: true,
            boot_s: 0.0,
            max_per_zone: 0,
            sold_out_zone: None,
            keeps_idle_machines: true,
        }
    }

    /// A cloud with capacity for this many machines in each zone, which boot in two seconds.
    pub(crate) fn with_capacity(max_per_zone: usize) -> Cloud {
        Cloud {
            accepts_rentals: true,
            accepts_returns: true,
            boot_s: 2.0,
            max_per_zone,
            sold_out_zone: None,
            keeps_idle_machines: false,
        }
    }
}
