//! Loss rates of a part of service before the change, and how much they scatter.

use crate::history::Period;
use crate::sides::Sides;
use crate::sums::SideSums;

/// A loss rate below this is taken as this: no fleet is without any loss for long.
const MIN_LOSS_RATE: f64 = 0.005;
/// A loss rate above this is taken as this, which keeps variances above zero.
const MAX_LOSS_RATE: f64 = 0.95;
/// An untouched side with less than this share of the touched side's calls is no measure.
const MIN_UNTOUCHED_SHARE: f64 = 0.05;
/// The least number of blocks from which a variance is estimated; most parts have dozens.
const MIN_BLOCKS: usize = 3;
/// Consecutive blocks that are combined to measure noise that lasts longer than one.
const LONG_CHUNK: usize = 5;
/// Few blocks may look calmer than they are: this, divided by their number, is added to the measured noise.
const FEW_BLOCKS_MARGIN: f64 = 3.0;
/// A trouble of the whole fleet may affect the touched side more than the untouched side by this factor.
const UNEVEN_FACTOR: f64 = 1.5;

/// What a part of service was like before the change. Rates are shares of calls, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Baseline {
    touched_rate: f64,
    pub(crate) untouched_rate: f64,
    /// There is no usable untouched side.
    pub(crate) without_untouched: bool,
    /// Standard error of `touched_rate`, as it was measured over a limited number of calls.
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

    /// The loss rate to be expected on the touched side if the change does nothing, by that of the untouched side.
    pub(crate) fn expected_touched_rate(&self, untouched_rate: f64) -> f64 {
        let worse =
            if self.without_untouched { 0.0 } else { (untouched_rate - self.untouched_rate).max(0.0) };
        (self.touched_rate + UNEVEN_FACTOR * worse).clamp(MIN_LOSS_RATE, MAX_LOSS_RATE)
    }

    /// Noise from one block to the next, and noise that lasts over several: the greater of them counts.
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
        // Few long chunks scatter by themselves: what chance may have added (a standard error) is taken off.
        let chance = 1.0 + if chunk_size > 1 { (2.0 / (count.max(2) - 1) as f64).sqrt() } else { 0.0 };
        let deviations = chunks.iter().map(|chunk| self.relative_squared_deviation(chunk));
        Some(deviations.sum::<f64>() / (count - 1) as f64 / chance)
    }

    fn relative_squared_deviation(&self, sums: &SideSums) -> f64 {
        let worse =
            if self.without_untouched { 0.0 } else { sums.untouched.loss_rate() - self.untouched_rate };
        let expected = (self.touched_rate + worse).clamp(MIN_LOSS_RATE, MAX_LOSS_RATE);
        let deviation = sums.touched.loss_rate() - expected;
        deviation * deviation * sums.touched.effective_calls() / (expected * (1.0 - expected))
    }
}

/// Combines periods with too few calls with those that follow. An insufficient rest at the end is dropped.
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
