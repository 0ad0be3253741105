//! Pseudo-random numbers that are the same on every machine.

/// A multiply-with-carry generator with Marsaglia's multiplier: the low 32 bits are the draw, the high ones the carry.
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// A generator with this seed. Seed 0 would yield only zeros and is replaced by 1.
    pub(crate) fn new(seed: u64) -> Self {
        Random { state: seed.max(1) }
    }

    /// A number in the range [0, 1).
    pub(crate) fn next_fraction(&mut self) -> f64 {
        let draw = self.state & 0xffff_ffff;
        let carry = self.state >> 32;
        self.state = 4_294_957_665 * draw + carry;
        (self.state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
