//! Estimates the demand of each slice from call counts that are reported at irregular times.

use coppersail::interface::{RouteId, SliceId};
use std::collections::BTreeMap;

/// Half-life of a report, in seconds: about the time for which the demand of a slice stays the same.
const HALF_LIFE_S: f64 = 8.0;

/// Exponentially decayed sums of the reports of one slice in one route.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedRate {
    calls: f64,
    seconds: f64,
    updated_at: f64,
}

impl DecayedRate {
    fn add(&mut self, now: f64, calls: f64, seconds: f64) {
        let decay = 0.5_f64.powf((now - self.updated_at).max(0.0) / HALF_LIFE_S);
        self.calls = self.calls * decay + calls;
        self.seconds = self.seconds * decay + seconds;
        self.updated_at = now;
    }

    fn calls_per_s(&self) -> f64 {
        if self.seconds > 0.0 {
            self.calls / self.seconds
        } else {
            0.0
        }
    }
}

/// Estimates the demand by slice and route, in calls per second.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    routes: usize,
    rates: BTreeMap<SliceId, Vec<DecayedRate>>,
}

fn has_demand(rates: &[f64]) -> bool {
    rates.iter().sum::<f64>() > 0.0
}

impl DemandEstimator {
    /// An estimator for this number of routes, without reports.
    pub fn new(routes: usize) -> Self {
        DemandEstimator { routes, rates: BTreeMap::new() }
    }

    /// Adds a report of `calls` in `window` seconds. A report for an unknown route is ignored.
    pub fn report(&mut self, now: f64, slice: SliceId, route: RouteId, calls: f64, window: f64) {
        let rates = self.rates.entry(slice).or_insert(vec![DecayedRate::default(); self.routes]);
        if let Some(rate) = rates.get_mut(usize::from(route.0)) {
            rate.add(now, calls, window);
        }
    }

    /// Forgets the reports of a slice.
    pub fn forget(&mut self, slice: SliceId) {
        self.rates.remove(&slice);
    }

    /// The demand of the slices by route, in calls per second. A slice without reports gets the average
    /// demand. If there are no reports at all, each slice gets one call per second, so that at least the
    /// shares of routes can be checked.
    pub fn demand(&self, slices: impl Iterator<Item = SliceId>) -> BTreeMap<SliceId, Vec<f64>> {
        let rates_of = |slice: &SliceId| match self.rates.get(slice) {
            Some(rates) => rates.iter().map(DecayedRate::calls_per_s).collect(),
            None => vec![],
        };
        let reported: BTreeMap<SliceId, Vec<f64>> = slices.map(|slice| (slice, rates_of(&slice))).collect();
        let average = self.average(&reported);
        let or_average = |rates: Vec<f64>| if has_demand(&rates) { rates } else { average.clone() };
        reported.into_iter().map(|(slice, rates)| (slice, or_average(rates))).collect()
    }

    /// The mean by route over the slices with any demand.
    fn average(&self, reported: &BTreeMap<SliceId, Vec<f64>>) -> Vec<f64> {
        let with_demand = || reported.values().filter(|rates| has_demand(rates));
        let count = with_demand().count();
        let mut average = vec![0.0; self.routes];
        for rates in with_demand() {
            average.iter_mut().zip(rates).for_each(|(sum, rate)| *sum += rate / count as f64);
        }
        if count == 0 {
            average.first_mut().into_iter().for_each(|rate| *rate = 1.0);
        }
        average
    }

    /// Whether calls have been reported for any slice.
    pub fn has_reports(&self) -> bool {
        self.rates.values().flatten().any(|rate| rate.calls > 0.0)
    }
}
