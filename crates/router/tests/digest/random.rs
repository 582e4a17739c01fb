//! The source of random choices.

/// A source of random numbers that is the same on every platform: SplitMix64.
pub struct RandomSource(pub u64);

impl RandomSource {
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `end`, or 0 if `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end.max(1)
    }

    /// Returns true once in `count` calls on average.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }

    pub fn pick<T: Clone>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize].clone()
    }
}
