//! Comparison of the periods after a change with the baseline, for one part of service.

use crate::baseline::Baseline;
use crate::finding::{HarmFinding, UntouchedLoss};
use crate::history::Period;
use crate::sides::Sides;
use crate::sums::SideSums;
use std::collections::VecDeque;

/// Loss rates up to this much above the expected one are tolerated: nobody would undo a change for so little,
/// and the noise is not known more precisely. Without an untouched side twice as much is tolerated.
const TOLERATED_LOSS: f64 = 0.005;
/// Number of standard errors of the baseline that are added to the bound in favour of the change. The true
/// rate is higher in about one of twenty cases, but even then by far too little to look like harm.
const BASELINE_ERRORS: f64 = 1.6;
/// Upper limit of the loss rate that is explained without harm; below 1 so that logarithms stay finite.
const MAX_BOUND: f64 = 0.98;
/// Weight of the current period in the exponentially smoothed loss rate of the untouched side. The rate is
/// smoothed so that its noise does not look like a fault of the fleet.
const SMOOTHING: f64 = 0.3;
/// Number of standard errors that are subtracted from the unsmoothed rate of the untouched side; if the
/// result exceeds the smoothed rate, it is used instead.
const SUDDEN_ERRORS: f64 = 2.0;
/// Number of observations over which recovery is evaluated: a single one has too much variance.
const RECOVERY_WINDOW: usize = 5;
/// Number of standard errors by which a window may exceed the bound and still count as recovered.
const RECOVERY_ERRORS: f64 = 2.0;

/// The touched side in one period or in several combined ones. Rates are shares of calls, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    /// Effective calls.
    pub(crate) calls: f64,
    pub(crate) loss_rate: f64,
    /// The highest loss rate that is explained without harm.
    pub(crate) bound: f64,
    /// See [`Baseline::overdispersion`].
    pub(crate) overdispersion: f64,
    expected_rate: f64,
}

/// The calls of one observation in the recovery window.
struct WindowEntry {
    calls: f64,
    lost: f64,
}

/// One part of service since the change.
pub(crate) struct Comparison {
    pub(crate) sides: Sides,
    baseline: Baseline,
    /// Calls of periods that have too few to be evaluated on their own.
    pending: SideSums,
    /// The loss rate of the untouched side, exponentially smoothed.
    smoothed_untouched_rate: f64,
    /// The last observations while the change is suspended, oldest first.
    recovery_window: VecDeque<WindowEntry>,
}

impl Comparison {
    pub(crate) fn new(sides: Sides, baseline: Baseline) -> Self {
        Comparison {
            sides,
            baseline,
            pending: SideSums::default(),
            smoothed_untouched_rate: baseline.untouched_rate,
            recovery_window: VecDeque::new(),
        }
    }

    /// Discards the periods since the change; the baseline is kept.
    pub(crate) fn reset(&mut self) {
        self.pending = SideSums::default();
        self.smoothed_untouched_rate = self.baseline.untouched_rate;
        self.recovery_window.clear();
    }

    /// Whether the loss in the last periods was as before the change. `None` if too few calls were reported
    /// to decide.
    pub(crate) fn has_recovered(&mut self, period: &Period, announced_loss: f64) -> Option<bool> {
        let observation = self.observe(period, announced_loss)?;
        let lost = observation.calls * observation.loss_rate;
        self.recovery_window.push_back(WindowEntry { calls: observation.calls, lost });
        if self.recovery_window.len() > RECOVERY_WINDOW {
            self.recovery_window.pop_front();
        }
        let calls = self.recovery_window.iter().map(|entry| entry.calls).sum::<f64>();
        let lost = self.recovery_window.iter().map(|entry| entry.lost).sum::<f64>();
        let bound = observation.bound;
        let variance = observation.overdispersion * bound * (1.0 - bound);
        let standard_error = (variance / calls.max(1.0)).sqrt();
        (self.recovery_window.len() >= RECOVERY_WINDOW)
            .then_some(lost / calls <= bound + RECOVERY_ERRORS * standard_error)
    }

    /// Adds a period. `announced_loss` is the loss rate that the change's author announced. Returns `None` if
    /// there were too few calls since the last observation; they are combined with the next period.
    pub(crate) fn observe(&mut self, period: &Period, announced_loss: f64) -> Option<Observation> {
        let baseline = &self.baseline;
        self.pending = self.pending.combined(self.sides.split(period));
        if !Sides::are_sufficient(&self.pending, baseline.without_untouched) {
            return None;
        }
        let sums = std::mem::take(&mut self.pending);
        let untouched_rate = sums.untouched.loss_rate();
        self.smoothed_untouched_rate += SMOOTHING * (untouched_rate - self.smoothed_untouched_rate);
        let untouched_variance = untouched_rate * (1.0 - untouched_rate);
        let untouched_error = (untouched_variance / sums.untouched.effective_calls().max(1.0)).sqrt();
        let sudden_rate = untouched_rate - SUDDEN_ERRORS * untouched_error;
        let expected_rate = baseline.expected_touched_rate(self.smoothed_untouched_rate.max(sudden_rate));
        let tolerance = if baseline.without_untouched { 2.0 } else { 1.0 };
        let margin = tolerance * TOLERATED_LOSS + BASELINE_ERRORS * baseline.standard_error + announced_loss;
        Some(Observation {
            calls: sums.touched.effective_calls(),
            loss_rate: sums.touched.loss_rate(),
            bound: (expected_rate + margin).min(MAX_BOUND),
            overdispersion: baseline.overdispersion,
            expected_rate,
        })
    }

    /// The finding for an observation; the caller sets its odds.
    pub(crate) fn finding(&self, observation: &Observation) -> HarmFinding {
        let untouched = UntouchedLoss {
            now_percent: 100.0 * self.smoothed_untouched_rate,
            before_percent: 100.0 * self.baseline.untouched_rate,
        };
        HarmFinding {
            part: self.sides.part(),
            lost_percent: 100.0 * observation.loss_rate,
            expected_percent: 100.0 * observation.expected_rate,
            untouched: (!self.baseline.without_untouched).then_some(untouched),
            calls: observation.calls,
            odds: 0.0,
        }
    }
}
