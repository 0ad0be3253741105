//! Pseudo-random numbers that are the same on every machine.

/// A multiply-with-carry generator with Marsaglia's multiplier: the low 32 bits are the draw, the high ones the carry.
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// A generator with this seed; 0, which would give nothing but zeros, stands for 1.
    pub(crate) fn new(seed: u64) -> Self {
        Random { state: seed.max(1) }
    }

    /// A number from 0 up to, and not including, 1.
    pub(crate) fn next_share(&mut self) -> f64 {
        let draw = self.state & 0xffff_ffff;
        let carry = self.state >> 32;
        self.state = 4_294_957_665 * draw + carry;
        (self.state & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
