//! What is asked of each slice, from sums that come now and then.

use coppersail::interface::{RouteId, SliceId};
use std::collections::BTreeMap;

/// A sum counts by half after so many seconds: as long as a slice stays in demand.
const HALF: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    calls: f64,
    seconds: f64,
    at: f64,
}

/// Calls a second by slice and route.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    routes: usize,
    rates: BTreeMap<SliceId, Vec<Rate>>,
}

impl Asked {
    pub fn new(routes: usize) -> Self {
        Asked { routes, rates: BTreeMap::new() }
    }

    pub fn heard(&mut self, now: f64, slice: SliceId, route: RouteId, calls: f64, span: f64) {
        let Some(rate) =
            self.rates.entry(slice).or_insert(vec![Rate::default(); self.routes]).get_mut(route.0 as usize)
        else {
            return;
        };
        let faded = 0.5_f64.powf((now - rate.at).max(0.0) / HALF);
        *rate = Rate { calls: rate.calls * faded + calls, seconds: rate.seconds * faded + span, at: now };
    }

    pub fn forget(&mut self, slice: SliceId) {
        self.rates.remove(&slice);
    }

    /// What is asked of the slices; one of which nothing was heard counts as the average one, as the design has it. With
    /// nothing heard at all each counts alike, so that shares can be judged, if not sums.
    pub fn demand(&self, slices: impl Iterator<Item = SliceId>) -> BTreeMap<SliceId, Vec<f64>> {
        let rate = |rate: &Rate| if rate.seconds > 0.0 { rate.calls / rate.seconds } else { 0.0 };
        let known: BTreeMap<SliceId, Vec<f64>> = slices
            .map(|slice| {
                (slice, self.rates.get(&slice).map_or(vec![], |rates| rates.iter().map(rate).collect()))
            })
            .collect();
        let heard = || known.values().filter(|rates: &&Vec<f64>| rates.iter().sum::<f64>() > 0.0);
        let many = heard().count();
        let mut average = vec![0.0; self.routes];
        heard().for_each(|rates| {
            average.iter_mut().zip(rates).for_each(|(sum, rate)| *sum += rate / many as f64)
        });
        if many == 0 {
            average.first_mut().into_iter().for_each(|rate| *rate = 1.0);
        }
        let or_average =
            |rates: Vec<f64>| if rates.iter().sum::<f64>() > 0.0 { rates } else { average.clone() };
        known.into_iter().map(|(slice, rates)| (slice, or_average(rates))).collect()
    }

    /// Something was heard of any slice.
    pub fn known(&self) -> bool {
        self.rates.values().flatten().any(|rate| rate.calls > 0.0)
    }
}
