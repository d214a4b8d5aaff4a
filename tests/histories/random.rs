//! Pseudo-random numbers for timed histories; the same seed gives the same history.

use crate::common::random::SplitMix64;

/// A random number generator with a fixed sequence for each seed.
pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// A number in `[0, 1)`.
    fn unit(&mut self) -> f64 {
        (self.0.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number in `[low, high)`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// An integer in `0..bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.0.next() % bound as u64) as usize
    }

    /// Returns `true` with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}
