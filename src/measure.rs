//! Chance, and what measurements are kept in. The module says which bins and when to halve them.

/// Multiply-with-carry, with Marsaglia's multiplier: the low word is the draw, the high word the carry.
pub(crate) struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(seed.max(1))
    }

    /// From 0 up to, not including, 1.
    pub fn share(&mut self) -> f64 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

pub(crate) fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

/// The time for which the first bin stands, in seconds, and by how much each further one is longer.
#[derive(Clone, Copy)]
pub(crate) struct Bins {
    pub first: f64,
    pub step: f64,
}

impl Bins {
    fn time(self, bin: usize) -> f64 {
        self.first * self.step.powi(bin as i32)
    }
}

/// Times of answered tries in 16 bins, and a count of dropped ones. Who uses it says what its bins stand for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram {
    bins: [f64; 16],
    pub dropped: f64,
}

impl Histogram {
    pub fn add(&mut self, bins: Bins, time: f64, tries: f64, dropped: f64) {
        let bin = (time / bins.first).max(1.0).ln() / bins.step.ln();
        self.bins[(bin.round() as usize).min(15)] += tries - dropped;
        self.dropped += dropped;
    }

    pub fn answered(&self) -> f64 {
        self.bins.iter().sum()
    }

    pub fn mean(&self, bins: Bins) -> f64 {
        let sum: f64 = self.bins.iter().enumerate().map(|(bin, many)| many * bins.time(bin)).sum();
        sum / self.answered().max(1e-9)
    }

    pub fn median(&self, bins: Bins) -> f64 {
        let reached = |bin: &usize| self.bins[..=*bin].iter().sum::<f64>() * 2.0 > self.answered();
        (0..16).find(reached).map_or(0.0, |bin| bins.time(bin))
    }

    pub fn dropped_share(&self) -> f64 {
        self.dropped / (self.answered() + self.dropped).max(1.0)
    }

    pub fn halve(&mut self) {
        self.bins.iter_mut().chain([&mut self.dropped]).for_each(|sum| *sum /= 2.0);
    }
}
