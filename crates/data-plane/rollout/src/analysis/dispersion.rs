//! Overdispersion of the control group's late answers between the rows of a stratum: late answers come in clusters. It
//! is estimated by Pearson's chi-squared statistic per degree of freedom, as in quasi-binomial models (Wedderburn
//! 1974).
use super::stratum::{EvaluatedRow, StratumKey};
use std::collections::BTreeMap;

/// The factor before there is an estimate: it assumes that late answers come in pairs.
const INITIAL_FACTOR: f64 = 2.0;
/// Upper limit of the factor; a higher estimate is not explained by clusters of late answers.
const MAX_FACTOR: f64 = 20.0;
/// The weight of a new interval in the exponential moving averages.
const NEW_INTERVAL_WEIGHT: f64 = 0.1;
/// Intervals with fewer degrees of freedom don't update the estimate.
const MIN_DEGREES_OF_FREEDOM: f64 = 3.0;
/// With a higher fraction of late answers in the control group, the fleet has a fault that is not the new version's.
const CONTROL_LATE_LIMIT: f64 = 0.2;

/// Answers of the control group, in one row or summed over several.
#[derive(Clone, Copy, Default)]
struct ControlAnswers {
    slow: f64,
    timed: f64,
}

impl ControlAnswers {
    fn plus(self, more: ControlAnswers) -> ControlAnswers {
        ControlAnswers { slow: self.slow + more.slow, timed: self.timed + more.timed }
    }

    fn scaled(self, factor: f64) -> ControlAnswers {
        ControlAnswers { slow: self.slow * factor, timed: self.timed * factor }
    }
}

pub(crate) struct Dispersion {
    factor: f64,
    /// Decaying sums over the recent intervals.
    recent: ControlAnswers,
}

impl Default for Dispersion {
    fn default() -> Dispersion {
        Dispersion { factor: INITIAL_FACTOR, recent: ControlAnswers::default() }
    }
}

fn rows_by_stratum(rows: &[EvaluatedRow]) -> BTreeMap<&StratumKey, Vec<ControlAnswers>> {
    let mut strata: BTreeMap<&StratumKey, Vec<ControlAnswers>> = BTreeMap::new();
    for evaluated in rows.iter().filter(|evaluated| evaluated.row.control.timed() > 0) {
        let control = &evaluated.row.control;
        let answers = ControlAnswers { slow: control.slow() as f64, timed: control.timed() as f64 };
        strata.entry(&evaluated.stratum).or_default().push(answers);
    }
    strata
}

/// Pearson's statistic of the rows against the stratum's rate of late answers.
fn chi_squared(rows: &[ControlAnswers], rate: f64) -> f64 {
    let term =
        |row: &ControlAnswers| (row.slow - row.timed * rate).powi(2) / (row.timed * rate * (1.0 - rate));
    rows.iter().map(term).sum::<f64>()
}

impl Dispersion {
    /// The ratio of the variance of late answers to that of independent late answers; at least 1.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Whether the control group itself has too many late answers.
    pub(crate) fn control_is_late(&self) -> bool {
        self.recent.slow > CONTROL_LATE_LIMIT * self.recent.timed.max(1.0)
    }

    pub(crate) fn observe(&mut self, rows: &[EvaluatedRow]) {
        let keep = 1.0 - NEW_INTERVAL_WEIGHT;
        self.recent = self.recent.scaled(keep);
        let (mut statistic, mut degrees_of_freedom) = (0.0, 0.0);
        for rows in rows_by_stratum(rows).values() {
            let sum = rows.iter().copied().fold(ControlAnswers::default(), ControlAnswers::plus);
            self.recent = self.recent.plus(sum);
            let rate = sum.slow / sum.timed;
            if rows.len() > 1 && sum.slow > 0.0 && rate < 1.0 {
                statistic += chi_squared(rows, rate);
                degrees_of_freedom += (rows.len() - 1) as f64;
            }
        }
        if degrees_of_freedom >= MIN_DEGREES_OF_FREEDOM {
            let new = keep * self.factor + NEW_INTERVAL_WEIGHT * statistic / degrees_of_freedom;
            self.factor = new.clamp(1.0, MAX_FACTOR);
        }
    }
}
