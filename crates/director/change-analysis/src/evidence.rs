//! What speaks for harm, as odds that may be looked at any time: their mean stays at most 1 as long as there is none,
//! so they pass 1/e with a chance of e at most, however often one looks (Ville's inequality).

use crate::view::Seen;
use crate::Found;

/// Losses above the bound that are looked for. Between them odds fall off little.
const HARMS: [f64; 5] = [0.02, 0.05, 0.12, 0.25, 0.5];
/// Harm may begin with any period: half of the chance is given to the first ones, as most harm shows at once, the rest
/// to those of a usual trial. What comes after these is found as well if it began in one of them.
const BEGINS: [(usize, f64); 2] = [(10, 0.5), (60, 0.5)];
/// The most that one period can say, as a logarithm of odds: an outlier alone must not condemn.
const SAYS_MOST: f64 = 3.0;

#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// For each harm, the summed odds that it began in one of the periods until now.
    begun: [f64; HARMS.len()],
    periods: usize,
    pub last: Option<Found>,
}

/// The chance that harm, if there is any, has begun by then.
fn begin_by(periods: usize) -> f64 {
    BEGINS.iter().map(|(many, chance)| chance * periods.min(*many) as f64 / *many as f64).sum()
}

impl Evidence {
    pub fn add(&mut self, seen: &Seen) {
        let begins = begin_by(self.periods + 1) - begin_by(self.periods);
        self.periods += 1;
        let (lost, kept) = (seen.calls * seen.rate, seen.calls * (1.0 - seen.rate));
        for (begun, harm) in self.begun.iter_mut().zip(HARMS) {
            let with = (seen.bound + harm).min(0.99);
            let says = lost * (with / seen.bound).ln() + kept * ((1.0 - with) / (1.0 - seen.bound)).ln();
            *begun = (*begun + begins) * (says / seen.noise).min(SAYS_MOST).exp();
        }
    }

    pub fn odds(&self) -> f64 {
        let later = 1.0 - begin_by(self.periods);
        self.begun.iter().map(|begun| begun + later).sum::<f64>() / HARMS.len() as f64
    }
}
