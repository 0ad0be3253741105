//! The sequential test: evidence of harm as odds that may be evaluated at any time.
//!
//! The odds are a mixture of likelihood ratios (Wald's sequential probability ratio test), over how great the harm is
//! and over the period in which it begins. Without harm their mean stays at most 1, so they exceed 1/p with a
//! probability of at most p, however often they are evaluated (Ville's inequality).

use crate::comparison::Observation;

/// Loss rates above the bound that the test looks for. Between them the odds fall off little.
const HARMS: [f64; 5] = [0.02, 0.05, 0.12, 0.25, 0.5];
/// The greatest loss rate under harm, below 1 so that logarithms stay finite.
const MAX_LOSS_RATE: f64 = 0.99;
/// The most that one observation adds to the logarithm of the odds: an outlier alone must not reject a change.
const MAX_LOG_ODDS: f64 = 3.0;

/// A share of the prior probability that is spread evenly over the first periods.
struct OnsetPrior {
    periods: usize,
    probability: f64,
}

/// Harm may begin in any period. Half of the probability is given to the first ones, as most harm shows at once, and
/// the rest to those of a usual trial. Harm that shows later is found as well if it began in one of them.
const ONSET_PRIORS: [OnsetPrior; 2] =
    [OnsetPrior { periods: 10, probability: 0.5 }, OnsetPrior { periods: 60, probability: 0.5 }];

/// The prior probability that harm, if there is any, has begun after so many observations.
fn onset_probability(observations: usize) -> f64 {
    let share = |prior: &OnsetPrior| {
        prior.probability * observations.min(prior.periods) as f64 / prior.periods as f64
    };
    ONSET_PRIORS.iter().map(share).sum()
}

/// The evidence of one part of service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// For each of [`HARMS`], the summed odds that it began in one of the observations until now.
    odds_by_harm: [f64; HARMS.len()],
    observations: usize,
}

impl Evidence {
    /// Takes in an observation.
    pub(crate) fn add(&mut self, observation: &Observation) {
        let onset = onset_probability(self.observations + 1) - onset_probability(self.observations);
        self.observations += 1;
        let lost = observation.calls * observation.loss_rate;
        let served = observation.calls * (1.0 - observation.loss_rate);
        let bound = observation.bound;
        for (odds, harm) in self.odds_by_harm.iter_mut().zip(HARMS) {
            let harmed = (bound + harm).min(MAX_LOSS_RATE);
            let log_ratio = lost * (harmed / bound).ln() + served * ((1.0 - harmed) / (1.0 - bound)).ln();
            // Overdispersed calls carry less information than independent ones.
            let log_odds = (log_ratio / observation.overdispersion).min(MAX_LOG_ODDS);
            *odds = (*odds + onset) * log_odds.exp();
        }
    }

    /// How many times likelier the observations are with harm than without.
    pub(crate) fn odds(&self) -> f64 {
        let later_onset = 1.0 - onset_probability(self.observations);
        self.odds_by_harm.iter().map(|odds| odds + later_onset).sum::<f64>() / HARMS.len() as f64
    }
}
