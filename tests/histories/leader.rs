//! A controller that leads or has led, and for how long it may renew the leases of workers.

use stairstage::coordination::core::Core;
use stairstage::settings::Workers;

/// How far apart the steady clocks of a controller and a worker may run, as a share of the time.
const CLOCK_DRIFT: f64 = 0.001;

pub struct Leader {
    pub core: Core,
    /// Whether it still reaches the state service, and so learns of every confirmed cancellation.
    pub reaches_store: bool,
    /// Without the state service: the last moment at which it provably knew of every confirmed
    /// cancellation.
    pub knew_at: f64,
}

impl Leader {
    pub fn new(core: Core) -> Leader {
        Leader {
            core,
            reaches_store: true,
            knew_at: 0.0,
        }
    }

    /// It has lost the state service; what was confirmed before that moment is known to it.
    pub fn cut_off(&mut self, knew_at: f64) {
        if self.reaches_store {
            self.reaches_store = false;
            self.knew_at = knew_at;
        }
    }

    /// Whether it may answer reports, and so renew the leases of workers.
    pub fn may_renew(&self, now: f64, workers: &Workers) -> bool {
        self.reaches_store || now < renews_until(self.knew_at, workers)
    }

    /// Tokens of its leadership begin here; no other leadership has the same.
    pub fn id(&self) -> u64 {
        self.core.first_token()
    }
}

/// Until when a controller may renew leases that last knew of every confirmed cancellation at
/// `knew_at`: a lease that it renews then is over before `cancel_s` have passed since the first
/// cancellation that it may have missed.
pub fn renews_until(knew_at: f64, workers: &Workers) -> f64 {
    knew_at + (workers.cancel_s - workers.lease_s) * (1.0 - CLOCK_DRIFT)
}
