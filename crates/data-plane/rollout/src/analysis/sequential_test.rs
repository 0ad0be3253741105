//! The sequential test of whether the new version has more than its share of the bad answers.
//!
//! Let a stratum have `l` bad answers, and let `q` be the new version's fraction of the requests. If the new version is
//! no worse, the number `x` of its bad answers is binomial with probability `q`, whatever the rate of bad answers is.
//! If its odds of a bad answer are `r` times as high, `x` is binomial with probability `qr / (1 + q(r-1))`. The
//! likelihood ratio is `r^x / (1 + q(r-1))^l`, a factor of Wald's sequential probability ratio (Wald 1945), whose mean
//! is at most 1 if the new version is no worse. The plan's bound is subtracted as a number of bad answers that the new
//! version is allowed.
//!
//! A version may be good for a long time and then become bad. Therefore the stake of 1 is spread over the plan (as in
//! the Shiryaev-Roberts procedure): at its start, at further steps, and evenly over all intervals. The wealth plus the
//! remaining stakes is a supermartingale that begins at 1, so that it ever reaches `tests / e` with a probability of at
//! most `e / tests` (`e`: the false alarm rate), however often it is evaluated (Ville 1939). `docs/rollout.md` has the
//! proof.
use super::stratum::{EvaluatedRow, Fault, StratumKey};
use crate::Ms;
use coppersail_config::rollout::{Bounds, RolloutPlan};
use std::collections::BTreeMap;

/// The period at which rows are evaluated (ms).
pub(crate) const ANALYSIS_INTERVAL: Ms = 2000;
/// The alternative hypotheses: the ratio of the new version's odds of a bad answer to the control group's. Small ratios
/// take long to detect with any of them.
const ODDS_RATIOS: [f64; 3] = [1.5, 3.0, 10.0];
/// The fraction of the total stake on each alternative that is staked at the start of the plan, ...
const START_STAKE: f64 = 0.2;
/// ... at all further steps together, ...
const STEP_STAKES: f64 = 0.3;
/// ... and evenly in all intervals together.
const INTERVAL_STAKES: f64 = 0.5;
/// Number of tests that always exist: late and lost answers in the whole fleet.
const MIN_TESTS: usize = 2;
/// Number of hypotheses per zone or route: late and lost answers.
const HYPOTHESES_PER_SCOPE: usize = 2;

/// The part of the fleet whose bad answers a test counts. The order of variants is that of the tests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    Fleet,
    Zone(String),
    Route(String),
}

/// One test's hypothesis: the new version has more faults of one kind in one scope. The order of fields is that of the
/// tests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Hypothesis {
    pub(crate) scope: Scope,
    pub(crate) fault: Fault,
}

/// A logarithm for each of [`ODDS_RATIOS`].
type Logs = [f64; ODDS_RATIOS.len()];

/// Counts of bad answers and of all answers in a stratum.
#[derive(Clone, Copy, Default)]
struct Sample {
    new_bad: f64,
    all_bad: f64,
    new_answers: f64,
    control_answers: f64,
}

impl Sample {
    fn add(&mut self, more: Sample) {
        self.new_bad += more.new_bad;
        self.all_bad += more.all_bad;
        self.new_answers += more.new_answers;
        self.control_answers += more.control_answers;
    }

    fn of_late(evaluated: &EvaluatedRow) -> Sample {
        let (new, control) = (&evaluated.row.new, &evaluated.row.control);
        Sample {
            new_bad: evaluated.new_slow,
            all_bad: evaluated.new_slow + control.slow() as f64,
            new_answers: new.timed() as f64,
            control_answers: control.timed() as f64,
        }
    }

    fn of_lost(evaluated: &EvaluatedRow) -> Sample {
        let (new, control) = (&evaluated.row.new, &evaluated.row.control);
        Sample {
            new_bad: evaluated.new_lost,
            all_bad: evaluated.new_lost + evaluated.control_lost,
            new_answers: new.ended() as f64,
            control_answers: control.ended() as f64,
        }
    }

    /// The log of the likelihood ratio, less the term for the bad answers that the bound allows the new version; see
    /// the module documentation.
    fn log_likelihood_ratio(&self, odds_ratio: f64, bound: f64) -> f64 {
        if self.new_answers <= 0.0 || self.control_answers <= 0.0 {
            return 0.0;
        }
        let new_fraction = self.new_answers / (self.new_answers + self.control_answers);
        let scale = 1.0 + new_fraction * (odds_ratio - 1.0);
        self.new_bad * odds_ratio.ln()
            - self.all_bad * scale.ln()
            - self.new_answers * bound * (odds_ratio / scale - 1.0)
    }
}

#[derive(Default)]
struct StratumSamples {
    late: Sample,
    lost: Sample,
}

fn samples_by_stratum(rows: &[EvaluatedRow]) -> BTreeMap<&StratumKey, StratumSamples> {
    let mut strata: BTreeMap<&StratumKey, StratumSamples> = BTreeMap::new();
    for evaluated in rows {
        let samples = strata.entry(&evaluated.stratum).or_default();
        samples.late.add(Sample::of_late(evaluated));
        samples.lost.add(Sample::of_lost(evaluated));
    }
    strata
}

/// `ln(e^a + e^b)` without overflow.
fn log_sum(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    high + (low - high).exp().ln_1p()
}

fn log_mean(logs: &Logs) -> f64 {
    logs.iter().copied().fold(f64::NEG_INFINITY, log_sum) - (logs.len() as f64).ln()
}

/// How the evidence of an interval is weighed.
pub(crate) struct IntervalWeights {
    /// Overdispersion of late answers, at least 1.
    pub(crate) dispersion: f64,
    /// Whether late answers are left out.
    pub(crate) skip_late: bool,
}

/// The strongest evidence against the new version.
pub(crate) struct Strongest<'a> {
    pub(crate) hypothesis: &'a Hypothesis,
    /// The log of the mean wealth of the test over [`ODDS_RATIOS`].
    pub(crate) log_odds: f64,
}

pub(crate) struct SequentialTest {
    bounds: Bounds,
    /// The maximum probability that a release without a fault is paused.
    false_alarm_rate: f64,
    step_stake: f64,
    interval_stake: f64,
    /// The stakes of the steps taken since the last interval, which are staked in the next one.
    pending_stake: f64,
    /// For each hypothesis, the logs of the wealth that its stakes have grown to.
    log_wealth: BTreeMap<Hypothesis, Logs>,
}

impl SequentialTest {
    pub(crate) fn new(plan: &RolloutPlan) -> SequentialTest {
        let intervals = (plan.max_duration.as_millis() as f64 / ANALYSIS_INTERVAL as f64).max(1.0);
        SequentialTest {
            bounds: plan.bounds.clone(),
            false_alarm_rate: plan.false_alarm_rate,
            step_stake: STEP_STAKES / (plan.steps.len().max(2) - 1) as f64,
            interval_stake: INTERVAL_STAKES / intervals,
            pending_stake: 0.0,
            log_wealth: BTreeMap::new(),
        }
    }

    /// Adds the stake of a further step.
    pub(crate) fn begin_step(&mut self) {
        self.pending_stake += self.step_stake;
    }

    /// Updates the wealth of each hypothesis by the evidence of an interval.
    pub(crate) fn evaluate(&mut self, rows: &[EvaluatedRow], weights: &IntervalWeights) {
        let gains = self.log_gains(rows, weights);
        let is_zone = |hypothesis: &Hypothesis| matches!(hypothesis.scope, Scope::Zone(_));
        let is_route = |hypothesis: &Hypothesis| matches!(hypothesis.scope, Scope::Route(_));
        // A single zone or route is the same as the fleet, and is not tested separately.
        let has_zones = gains.keys().filter(|hypothesis| is_zone(hypothesis)).count() > HYPOTHESES_PER_SCOPE;
        let has_routes =
            gains.keys().filter(|hypothesis| is_route(hypothesis)).count() > HYPOTHESES_PER_SCOPE;
        let log_stake = (self.pending_stake + self.interval_stake).ln();
        self.pending_stake = 0.0;
        for (hypothesis, gain) in gains {
            let is_tested = match hypothesis.scope {
                Scope::Fleet => true,
                Scope::Zone(_) => has_zones,
                Scope::Route(_) => has_routes,
            };
            if is_tested || self.log_wealth.contains_key(&hypothesis) {
                let logs = self.log_wealth.entry(hypothesis).or_insert([START_STAKE.ln(); ODDS_RATIOS.len()]);
                logs.iter_mut().zip(gain).for_each(|(log, gain)| *log = log_sum(*log, log_stake) + gain);
            }
        }
    }

    /// The log likelihood ratios of each hypothesis, summed over the strata of an interval.
    fn log_gains(&self, rows: &[EvaluatedRow], weights: &IntervalWeights) -> BTreeMap<Hypothesis, Logs> {
        let mut gains: BTreeMap<Hypothesis, Logs> = BTreeMap::new();
        for (stratum, samples) in samples_by_stratum(rows) {
            if !weights.skip_late {
                let gain = |ratio| samples.late.log_likelihood_ratio(ratio, self.bounds.late);
                add_gain(&mut gains, stratum, Fault::Late, |ratio| gain(ratio) / weights.dispersion);
            }
            let gain = |ratio| samples.lost.log_likelihood_ratio(ratio, self.bounds.lost);
            add_gain(&mut gains, stratum, Fault::Lost, gain);
        }
        gains
    }

    /// The test with the strongest evidence; `None` before the first interval.
    pub(crate) fn strongest(&self) -> Option<Strongest<'_>> {
        let tests = self.log_wealth.iter();
        let odds = tests.map(|(hypothesis, logs)| Strongest { hypothesis, log_odds: log_mean(logs) });
        odds.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds))
    }

    /// The log of the wealth at which a test decides, by Ville's inequality with the error probability split over all
    /// tests.
    pub(crate) fn log_threshold(&self) -> f64 {
        let tests = self.log_wealth.len().max(MIN_TESTS) as f64;
        (tests / self.false_alarm_rate).ln()
    }
}

fn add_gain(
    gains: &mut BTreeMap<Hypothesis, Logs>,
    stratum: &StratumKey,
    fault: Fault,
    gain: impl Fn(f64) -> f64,
) {
    for scope in [Scope::Fleet, Scope::Zone(stratum.zone.clone()), Scope::Route(stratum.route.clone())] {
        let logs = gains.entry(Hypothesis { scope, fault }).or_default();
        logs.iter_mut().zip(ODDS_RATIOS).for_each(|(log, ratio)| *log += gain(ratio));
    }
}
