//! Medians and histograms. The bins of a histogram and the times of its decay are decided in `logic`.

/// Number of bins of a [`Histogram`].
const BIN_COUNT: usize = 16;

/// The median; for an even count the upper of the two middle values, and 0 without values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Geometric bins of a histogram.
#[derive(Clone, Copy)]
pub(crate) struct Bins {
    /// The time that the first bin represents, in seconds.
    pub(crate) first: f64,
    /// Ratio of each bin's time to that of the previous bin.
    pub(crate) step: f64,
}

impl Bins {
    /// The time that a bin represents, in seconds.
    fn time(self, bin: usize) -> f64 {
        self.first * self.step.powi(bin as i32)
    }

    /// The bin of a time in seconds; longer times are counted in the last bin.
    fn index(self, time: f64) -> usize {
        let bin = (time / self.first).max(1.0).ln() / self.step.ln();
        (bin.round() as usize).min(BIN_COUNT - 1)
    }
}

/// Response times of answered attempts, and a count of dropped ones. The counts are fractional, as they decay. Every
/// call passes the bins, which must be the same each time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram {
    answered_by_bin: [f64; BIN_COUNT],
    /// Attempts that were dropped.
    pub(crate) dropped: f64,
}

impl Histogram {
    /// Adds attempts with their mean response time in seconds; `dropped` of them were not answered.
    pub(crate) fn add(&mut self, bins: Bins, response_time: f64, attempts: f64, dropped: f64) {
        self.answered_by_bin[bins.index(response_time)] += attempts - dropped;
        self.dropped += dropped;
    }

    /// Attempts that were answered.
    pub(crate) fn answered(&self) -> f64 {
        self.answered_by_bin.iter().sum()
    }

    /// Mean response time in seconds; 0 if no attempt was answered.
    pub(crate) fn mean(&self, bins: Bins) -> f64 {
        let times = self.answered_by_bin.iter().enumerate();
        let sum: f64 = times.map(|(bin, answered)| answered * bins.time(bin)).sum();
        sum / self.answered().max(1e-9)
    }

    /// Median response time in seconds; 0 if no attempt was answered.
    pub(crate) fn median(&self, bins: Bins) -> f64 {
        let answered = self.answered();
        for bin in 0..BIN_COUNT {
            let up_to_here: f64 = self.answered_by_bin[..=bin].iter().sum();
            if up_to_here * 2.0 > answered {
                return bins.time(bin);
            }
        }
        0.0
    }

    /// Share of the attempts that were dropped, 0 to 1.
    pub(crate) fn dropped_share(&self) -> f64 {
        self.dropped / (self.answered() + self.dropped).max(1.0)
    }

    /// Halves all counts, so that recent attempts weigh more than older ones.
    pub(crate) fn halve(&mut self) {
        for answered in &mut self.answered_by_bin {
            *answered /= 2.0;
        }
        self.dropped /= 2.0;
    }
}
