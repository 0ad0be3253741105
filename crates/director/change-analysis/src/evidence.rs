//! The sequential test: evidence of harm, as odds that can be evaluated at any time.
//!
//! The odds are a mixture of likelihood ratios (Wald's sequential probability ratio test) over the size of
//! the harm and the period in which it begins. Without harm their expected value is at most 1, so they exceed
//! 1/p with a probability of at most p, however often they are evaluated (Ville's inequality).

use crate::comparison::Observation;

/// Loss rates above the bound that the test looks for. For rates in between the odds are only slightly lower.
const HARM_LOSS_RATES: [f64; 5] = [0.02, 0.05, 0.12, 0.25, 0.5];
/// Upper limit of the loss rate under harm; below 1 so that logarithms stay finite.
const MAX_LOSS_RATE: f64 = 0.99;
/// Limit of what one observation adds to the logarithm of the odds: a single outlier must not reject a
/// change.
const MAX_LOG_ODDS: f64 = 3.0;

/// A part of the prior probability that is distributed uniformly over the first `periods` periods.
struct OnsetPrior {
    periods: usize,
    probability: f64,
}

/// Prior of the period in which harm begins. Half of the probability is assigned to the first ten periods, as
/// most harm shows immediately, and the rest to the 60 periods of a typical trial. Harm that shows after
/// these is found too if it began in one of them.
const ONSET_PRIORS: [OnsetPrior; 2] =
    [OnsetPrior { periods: 10, probability: 0.5 }, OnsetPrior { periods: 60, probability: 0.5 }];

/// The prior probability that harm, if there is any, has begun within this number of observations.
fn onset_probability(observations: usize) -> f64 {
    let share = |prior: &OnsetPrior| {
        prior.probability * observations.min(prior.periods) as f64 / prior.periods as f64
    };
    ONSET_PRIORS.iter().map(share).sum()
}

/// The evidence of one part of service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// For each of [`HARM_LOSS_RATES`], the summed odds over the observations in which it may have begun.
    odds_by_harm: [f64; HARM_LOSS_RATES.len()],
    observations: usize,
}

impl Evidence {
    /// Adds an observation.
    pub(crate) fn add(&mut self, observation: &Observation) {
        let onset = onset_probability(self.observations + 1) - onset_probability(self.observations);
        self.observations += 1;
        let lost = observation.calls * observation.loss_rate;
        let served = observation.calls * (1.0 - observation.loss_rate);
        let bound = observation.bound;
        for (odds, harm) in self.odds_by_harm.iter_mut().zip(HARM_LOSS_RATES) {
            let harmed = (bound + harm).min(MAX_LOSS_RATE);
            let log_ratio = lost * (harmed / bound).ln() + served * ((1.0 - harmed) / (1.0 - bound)).ln();
            // Overdispersed calls carry less information than independent ones.
            let log_odds = (log_ratio / observation.overdispersion).min(MAX_LOG_ODDS);
            *odds = (*odds + onset) * log_odds.exp();
        }
    }

    /// How many times more likely the observations are with harm than without.
    pub(crate) fn odds(&self) -> f64 {
        let later_onset = 1.0 - onset_probability(self.observations);
        self.odds_by_harm.iter().map(|odds| odds + later_onset).sum::<f64>() / HARM_LOSS_RATES.len() as f64
    }
}
