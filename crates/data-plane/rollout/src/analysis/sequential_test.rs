//! The sequential test: whether the new version has more than its part of the bad answers.
//!
//! Given `l` bad answers in a stratum and the new version's part `q` of the requests, the number `x` of them that are
//! the new version's is binomial with `q` if it is no worse, whatever the rate is. If its odds are `r` times as high it
//! is binomial with `qr / (1 + q(r-1))`, and the likelihood ratio is `r^x / (1 + q(r-1))^l`: a factor of Wald's
//! sequential probability ratio (Wald 1945), on average 1 at most if the new version is no worse. The plan's bound
//! enters as bad answers that the new version has free.
//!
//! A version may be good for long and then bad, so that the stake of 1 is spread over the plan (as in Shiryaev and
//! Roberts' procedure): at its start, at further steps, and evenly over all intervals. What has been won plus what is
//! yet to be staked is a supermartingale that begins at 1, so that it reaches `tests / error` with a probability of
//! `error / tests` at most, however often one looks (Ville 1939). `docs/rollout.md` has the proof.
use super::stratum::{EvaluatedRow, Fault, StratumKey};
use crate::Ms;
use coppersail_config::rollout::{Bounds, RolloutPlan};
use std::collections::BTreeMap;

/// How often an interval of rows is evaluated (ms).
pub(crate) const ANALYSIS_INTERVAL: Ms = 2000;
/// The alternatives: by how much the new version's odds of a bad answer are higher. A small fault takes long to see by
/// any of them.
const ODDS_RATIOS: [f64; 3] = [1.5, 3.0, 10.0];
/// Of the stake on each alternative over the whole plan: what is staked at its start, ...
const START_STAKE: f64 = 0.2;
/// ... at its further steps together, ...
const STEP_STAKES: f64 = 0.3;
/// ... and evenly in all intervals together.
const INTERVAL_STAKES: f64 = 0.5;
/// Tests that are there in any case: late and lost, of the fleet.
const MIN_TESTS: usize = 2;
/// Hypotheses of one zone or route: late and lost.
const HYPOTHESES_PER_SCOPE: usize = 2;

/// Of what a test looks at the bad answers. The order of variants is that of the tests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    Fleet,
    Zone(String),
    Route(String),
}

/// One test: that the new version is worse by one kind of fault in one scope. The order of fields is that of the tests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Hypothesis {
    pub(crate) scope: Scope,
    pub(crate) fault: Fault,
}

/// A logarithm for each of [`ODDS_RATIOS`].
type Logs = [f64; ODDS_RATIOS.len()];

/// Bad answers and all answers in a stratum.
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

    /// The log of the likelihood ratio, less what the bound gives the new version free; see the module's page.
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

/// What an interval of evidence is weighed with.
pub(crate) struct IntervalWeights {
    /// Overdispersion of late answers, at least 1.
    pub(crate) dispersion: f64,
    /// Late answers are left out.
    pub(crate) skip_late: bool,
}

/// The strongest evidence against the new version.
pub(crate) struct Strongest<'a> {
    pub(crate) hypothesis: &'a Hypothesis,
    /// The log of what its stakes have become.
    pub(crate) log_odds: f64,
}

pub(crate) struct SequentialTest {
    bounds: Bounds,
    /// The most by which a sound release may be paused in error.
    error: f64,
    step_stake: f64,
    interval_stake: f64,
    /// What the further steps that were taken since the last interval stake in the next one.
    pending_stake: f64,
    /// The logs of what the stakes on each hypothesis have become.
    log_wealth: BTreeMap<Hypothesis, Logs>,
}

impl SequentialTest {
    pub(crate) fn new(plan: &RolloutPlan) -> SequentialTest {
        let intervals = (plan.max_duration.as_millis() as f64 / ANALYSIS_INTERVAL as f64).max(1.0);
        SequentialTest {
            bounds: plan.bounds.clone(),
            error: plan.false_alarm_rate,
            step_stake: STEP_STAKES / (plan.steps.len().max(2) - 1) as f64,
            interval_stake: INTERVAL_STAKES / intervals,
            pending_stake: 0.0,
            log_wealth: BTreeMap::new(),
        }
    }

    /// A further step was taken.
    pub(crate) fn begin_step(&mut self) {
        self.pending_stake += self.step_stake;
    }

    /// Evaluates the bets on an interval of rows.
    pub(crate) fn evaluate(&mut self, rows: &[EvaluatedRow], weights: &IntervalWeights) {
        let gains = self.log_gains(rows, weights);
        let is_zone = |hypothesis: &Hypothesis| matches!(hypothesis.scope, Scope::Zone(_));
        let is_route = |hypothesis: &Hypothesis| matches!(hypothesis.scope, Scope::Route(_));
        // Where there is but one zone or route, it is the fleet.
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

    /// What the interval's strata gain on each hypothesis.
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

    /// The test with the strongest evidence; none before the first interval.
    pub(crate) fn strongest(&self) -> Option<Strongest<'_>> {
        let tests = self.log_wealth.iter();
        let odds = tests.map(|(hypothesis, logs)| Strongest { hypothesis, log_odds: log_mean(logs) });
        odds.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds))
    }

    /// The log of the odds at which a test is decided, by Ville's inequality with the error split over all tests.
    pub(crate) fn log_threshold(&self) -> f64 {
        let tests = self.log_wealth.len().max(MIN_TESTS) as f64;
        (tests / self.error).ln()
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
