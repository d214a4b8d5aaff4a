//! The simulated state service and cloud: how well they serve at the moment.

use crate::workload::Random;
use stairstage::protocol::store::Transaction;

/// How late a transaction that got no answer may be carried out, in seconds.
const LATE_S: (f64, f64) = (2.0, 12.0);
/// How long an answer is waited for.
const PATIENCE_S: f64 = 2.0;

/// How the state service treats what it is asked.
pub(crate) struct StateService {
    pub delay_s: f64,
    /// It answers 503.
    pub refuses: bool,
    /// Shares of transactions that are carried out without an answer, and late without an answer.
    pub unanswered: f64,
    pub late: f64,
    /// Changes that it takes a second.
    pub changes_per_s: f64,
    left: f64,
    counted: f64,
}

/// What becomes of a transaction.
pub(crate) enum Fate {
    Refused,
    /// Carried out then, and answered.
    Answered(f64),
    /// Carried out now, and the answer is lost.
    Unanswered(f64),
    /// Given up on, and carried out later.
    Late {
        given_up: f64,
        carried_out: f64,
    },
}

impl Default for StateService {
    fn default() -> StateService {
        StateService {
            delay_s: 0.0,
            refuses: false,
            unanswered: 0.0,
            late: 0.0,
            changes_per_s: f64::INFINITY,
            left: 0.0,
            counted: 0.0,
        }
    }
}

impl StateService {
    /// Treats what it is asked otherwise from now on.
    pub(crate) fn set(&mut self, other: StateService) {
        let (left, counted) = (self.left, self.counted);
        *self = StateService {
            left,
            counted,
            ..other
        };
    }

    /// Whether its limit allows so many changes now; bursts last a second.
    pub(crate) fn allows(&mut self, changes: usize, now: f64) -> bool {
        if self.changes_per_s.is_infinite() {
            return true;
        }
        let earned = (now - self.counted) * self.changes_per_s;
        self.left = (self.left + earned).min(self.changes_per_s);
        self.counted = now;
        let allowed = self.left >= changes as f64;
        self.left -= if allowed { changes as f64 } else { 0.0 };
        allowed
    }

    /// What becomes of a transaction now.
    pub(crate) fn fate(&mut self, txn: &Transaction, random: &mut Random, now: f64) -> Fate {
        if self.refuses || !self.allows(txn.operations.len(), now) {
            Fate::Refused
        } else if random.chance(self.unanswered) {
            Fate::Unanswered(now + PATIENCE_S)
        } else if random.chance(self.late) {
            Fate::Late {
                given_up: now + PATIENCE_S,
                carried_out: now + random.between(LATE_S.0, LATE_S.1),
            }
        } else {
            Fate::Answered(now + self.delay_s)
        }
    }
}

/// What the cloud gives and takes.
pub(crate) struct Cloud {
    pub rents: bool,
    pub takes_back: bool,
    pub boot_s: f64,
    /// Machines that it has in each zone.
    pub most_in_zone: usize,
    /// A zone in which it has none left.
    pub sold_out: Option<&'static str>,
    /// Whether idle machines stay, by the operators' settings.
    pub keeps_idle: bool,
}

impl Cloud {
    /// A cloud without machines to rent; those that are there go only if they are held to be faulty.
    pub(crate) fn full() -> Cloud {
        Cloud {
            rents: false,
            takes_back: true,
            boot_s: 0.0,
            most_in_zone: 0,
            sold_out: None,
            keeps_idle: true,
        }
    }

    /// A cloud with so many machines in each zone, that are up within two seconds.
    pub(crate) fn with_capacity(most_in_zone: usize) -> Cloud {
        Cloud {
            rents: true,
            takes_back: true,
            boot_s: 2.0,
            most_in_zone,
            sold_out: None,
            keeps_idle: false,
        }
    }
}
