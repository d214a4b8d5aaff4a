//! The generator of pseudo-random numbers that the simulations share.

/// SplitMix64: the same seed gives the same sequence.
pub(crate) struct SplitMix64(pub u64);

impl SplitMix64 {
    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
