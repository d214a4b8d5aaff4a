//! A small generator of pseudo-random numbers: the same seed gives the same history.

use crate::common::random::SplitMix64;

/// Numbers with a fixed sequence for each seed.
pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// A number between 0 and 1.
    fn unit(&mut self) -> f64 {
        (self.0.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number in this range.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// A whole number below the bound.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.0.next() % bound as u64) as usize
    }

    /// Whether something happens that does in this share of cases.
    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }
}
