//! A small generator of pseudo-random numbers: the same seed gives the same history.

use crate::common::random::SplitMix64;

pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// A number between 0 and 1.
    fn unit(&mut self) -> f64 {
        (self.0.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.0.next() % bound as u64) as usize
    }

    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }
}
