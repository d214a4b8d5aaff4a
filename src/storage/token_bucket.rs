//! A token bucket that keeps requests within the rate limits of the services.

/// A rate limiter that allows `rate` units per second on average, and up to `burst` units at once. The
/// caller passes the time as `now`, in seconds; a time before the previous one refills nothing.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Units refilled per second.
    rate: f64,
    /// The capacity in units.
    burst: f64,
    /// The units available as of `refilled_at`.
    level: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            refilled_at: 0.0,
        }
    }

    /// Lowers the rate and the capacity to at most these values; neither is ever raised.
    pub fn lower(&mut self, rate: f64, burst: f64) {
        self.rate = self.rate.min(rate);
        self.burst = self.burst.min(burst);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The capacity: the maximum number of units that can be taken at once.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The units available now.
    pub fn level(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `n` units if that many are available, and returns whether they were.
    pub fn take(&mut self, now: f64, n: f64) -> bool {
        self.refill(now);
        let is_available = self.level >= n;
        if is_available {
            self.level -= n;
        }
        is_available
    }
}
