//! Pseudorandom numbers of a run, which are the same for the same seed.

/// A linear congruential generator.
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// A number from 0 to below 1.
    pub(super) fn share(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Returns true with this probability in percent.
    pub(super) fn percent(&mut self, percent: u32) -> bool {
        self.share() * 100.0 < f64::from(percent)
    }
}
