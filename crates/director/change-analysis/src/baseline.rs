//! Loss rates of a part of service before the change, and their variance.

use crate::history::Period;
use crate::sides::Sides;
use crate::sums::SideSums;

/// Lower limit of loss rates: no fleet is without loss for long.
const MIN_LOSS_RATE: f64 = 0.005;
/// Upper limit of loss rates, which keeps variances above zero.
const MAX_LOSS_RATE: f64 = 0.95;
/// An untouched side with less than this share of the touched side's calls is too small to compare with.
const MIN_UNTOUCHED_SHARE: f64 = 0.05;
/// Minimum number of blocks from which a variance is estimated; most parts have dozens.
const MIN_BLOCKS: usize = 3;
/// Number of consecutive blocks that are combined to measure noise that lasts longer than one block.
const LONG_CHUNK: usize = 5;
/// Safety margin, as the variance of few blocks may be underestimated: the measured noise is multiplied by 1
/// plus this divided by the number of blocks.
const FEW_BLOCKS_MARGIN: f64 = 3.0;
/// Factor by which a fault of the whole fleet may affect the touched side more than the untouched side.
const UNEVEN_FACTOR: f64 = 1.5;

/// Loss rates of a part of service before the change. Rates are shares of calls, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Baseline {
    touched_rate: f64,
    pub(crate) untouched_rate: f64,
    /// There is no untouched side to compare with.
    pub(crate) without_untouched: bool,
    /// Standard error of `touched_rate`, which is measured over a limited number of calls.
    pub(crate) standard_error: f64,
    /// Overdispersion: variance divided by that of independent calls (binomial), 1 or more.
    pub(crate) overdispersion: f64,
}

impl Baseline {
    /// Measures the periods before the change. `None` if they have too few calls to compare with.
    pub(crate) fn measure<'a>(sides: &Sides, periods: impl Iterator<Item = &'a Period>) -> Option<Baseline> {
        let by_period: Vec<SideSums> = periods.map(|period| sides.split(period)).collect();
        let total = SideSums::total(&by_period);
        let touched_calls = total.touched.effective_calls();
        let without_untouched = sides.untouched_unusable()
            || total.untouched.effective_calls() < MIN_UNTOUCHED_SHARE * touched_calls;
        let blocks = sufficient_blocks(by_period, without_untouched);
        if blocks.len() < MIN_BLOCKS {
            return None;
        }
        let touched_rate = total.touched.loss_rate().max(MIN_LOSS_RATE);
        let mut baseline = Baseline {
            touched_rate,
            untouched_rate: total.untouched.loss_rate(),
            without_untouched,
            standard_error: 0.0,
            overdispersion: 1.0,
        };
        baseline.overdispersion = baseline.measure_overdispersion(&blocks);
        baseline.standard_error =
            (baseline.overdispersion * touched_rate * (1.0 - touched_rate) / touched_calls).sqrt();
        Some(baseline)
    }

    /// The expected loss rate on the touched side if the change has no effect, derived from that of the
    /// untouched side.
    pub(crate) fn expected_touched_rate(&self, untouched_rate: f64) -> f64 {
        let worse =
            if self.without_untouched { 0.0 } else { (untouched_rate - self.untouched_rate).max(0.0) };
        (self.touched_rate + UNEVEN_FACTOR * worse).clamp(MIN_LOSS_RATE, MAX_LOSS_RATE)
    }

    /// The higher of the noise from block to block and the noise that lasts over several blocks.
    fn measure_overdispersion(&self, blocks: &[SideSums]) -> f64 {
        let few_blocks = 1.0 + FEW_BLOCKS_MARGIN / blocks.len() as f64;
        let short = self.chunk_variance(blocks, 1).unwrap_or(1.0);
        let long = self.chunk_variance(blocks, LONG_CHUNK).unwrap_or(1.0);
        few_blocks * short.max(long).max(1.0)
    }

    /// The mean squared deviation of chunks of blocks, relative to a binomial variance. `None`: too few chunks.
    fn chunk_variance(&self, blocks: &[SideSums], chunk_size: usize) -> Option<f64> {
        let chunks: Vec<SideSums> = blocks.chunks_exact(chunk_size).map(SideSums::total).collect();
        let count = chunks.len();
        if count < MIN_BLOCKS {
            return None;
        }
        // The variance of few long chunks is itself uncertain, so it is divided by 1 plus its relative
        // standard error.
        let uncertainty = 1.0 + if chunk_size > 1 { (2.0 / (count.max(2) - 1) as f64).sqrt() } else { 0.0 };
        let deviations = chunks.iter().map(|chunk| self.relative_squared_deviation(chunk));
        Some(deviations.sum::<f64>() / (count - 1) as f64 / uncertainty)
    }

    fn relative_squared_deviation(&self, sums: &SideSums) -> f64 {
        let worse =
            if self.without_untouched { 0.0 } else { sums.untouched.loss_rate() - self.untouched_rate };
        let expected = (self.touched_rate + worse).clamp(MIN_LOSS_RATE, MAX_LOSS_RATE);
        let deviation = sums.touched.loss_rate() - expected;
        deviation * deviation * sums.touched.effective_calls() / (expected * (1.0 - expected))
    }
}

/// Combines periods with too few calls with those that follow. An insufficient remainder at the end is
/// dropped.
fn sufficient_blocks(by_period: Vec<SideSums>, without_untouched: bool) -> Vec<SideSums> {
    let mut pending = SideSums::default();
    let mut blocks = Vec::new();
    for sums in by_period {
        pending = pending.combined(sums);
        if Sides::are_sufficient(&pending, without_untouched) {
            blocks.push(std::mem::take(&mut pending));
        }
    }
    blocks
}
