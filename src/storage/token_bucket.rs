//! A token bucket for calls to services that limit their rate.

/// Allows `rate` a second, with bursts of `burst`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl TokenBucket {
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            at: 0.0,
        }
    }

    /// Allows less from now on.
    pub fn lower(&mut self, rate: f64, burst: f64) {
        self.rate = self.rate.min(rate);
        self.burst = self.burst.min(burst);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: f64) {
        let passed = (now - self.at).max(0.0);
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// The most that may be taken at once.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// How much may be taken now.
    pub fn level(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `n` if that much is left.
    pub fn take(&mut self, now: f64, n: f64) -> bool {
        self.refill(now);
        let enough = self.level >= n;
        if enough {
            self.level -= n;
        }
        enough
    }
}
