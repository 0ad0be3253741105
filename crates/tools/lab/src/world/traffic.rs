//! The load: when calls arrive, for which slice and route, and how much work they are.

use crate::scenario::Scenario;
use fastrand::Rng;

/// Weight of the calls before in [`Traffic::recent_calls_per_second`], each time the fleet is sampled.
const RECENT_CALLS_DECAY: f64 = 0.7;
/// Weight of one call there; with the decay above the sum tends to the calls of a second.
const RECENT_CALL_WEIGHT: f64 = 0.3;
/// The sum of so many uniform draws, less half of them, is close to a standard normal draw.
const UNIFORM_DRAWS_PER_NORMAL: usize = 12;
/// Keeps the gap between calls finite, calls a second.
const MIN_CALLS_PER_SECOND: f64 = 1e-9;

/// The load of a scenario, as far as faults and time change it.
pub(super) struct Traffic {
    /// Calls a second without a flood.
    pub(super) calls_per_second: f64,
    /// The rate is multiplied by this.
    pub(super) flood_factor: f64,
    /// By route: work is multiplied by this.
    pub(super) cost_factors: Vec<f64>,
    /// The slices that are hot now; one may be there twice.
    pub(super) hot_slices: Vec<u16>,
    /// By slice: a moving sum of calls.
    pub(super) recent_calls_per_second: Vec<f64>,
    cumulative_slice_shares: Vec<f64>,
    cumulative_route_shares: Vec<f64>,
}

impl Traffic {
    /// The load before the first event. Slices get their ranks of the Zipf law at random.
    pub(super) fn new(scenario: &Scenario, rng: &mut Rng) -> Self {
        let slices = scenario.fleet.slices as usize;
        let routes = &scenario.load.routes;
        let slice_shares = shuffled_ranks(slices, rng)
            .into_iter()
            .map(|rank| (1.0 + rank as f64).powf(-scenario.load.zipf_exponent));
        Traffic {
            calls_per_second: scenario.calls_per_s(),
            flood_factor: 1.0,
            cost_factors: vec![1.0; routes.len()],
            hot_slices: Vec::new(),
            recent_calls_per_second: vec![0.0; slices],
            cumulative_slice_shares: cumulative_shares(slice_shares),
            cumulative_route_shares: cumulative_shares(routes.iter().map(|route| route.share)),
        }
    }

    /// Seconds to the next call, exponentially distributed.
    pub(super) fn draw_gap(&self, rng: &mut Rng) -> f64 {
        let rate = (self.calls_per_second * self.flood_factor).max(MIN_CALLS_PER_SECOND);
        -(1.0 - rng.f64()).ln() / rate
    }

    /// The slice of a call: a hot one with the probability `hot_share`.
    pub(super) fn draw_slice(&self, hot_share: f64, rng: &mut Rng) -> u16 {
        let is_hot = !self.hot_slices.is_empty() && rng.f64() < hot_share;
        if is_hot {
            return self.hot_slices[rng.usize(0..self.hot_slices.len())];
        }
        index_at(&self.cumulative_slice_shares, rng.f64()) as u16
    }

    /// The route of a call.
    pub(super) fn draw_route(&self, rng: &mut Rng) -> u8 {
        index_at(&self.cumulative_route_shares, rng.f64()) as u8
    }

    /// The work of a call in seconds: log-normal with the stated mean; `tail` is the spread of the logarithm.
    pub(super) fn draw_work(&self, route: u8, mean: f64, tail: f64, rng: &mut Rng) -> f64 {
        let uniform_sum = (0..UNIFORM_DRAWS_PER_NORMAL).map(|_| rng.f64()).sum::<f64>();
        let normal = uniform_sum - UNIFORM_DRAWS_PER_NORMAL as f64 / 2.0;
        mean * self.cost_factors[route as usize] * (tail * normal - tail * tail / 2.0).exp()
    }

    /// Counts a call of the slice.
    pub(super) fn record_call(&mut self, slice: u16) {
        self.recent_calls_per_second[slice as usize] += RECENT_CALL_WEIGHT;
    }

    /// Forgets a part of the counted calls; called once a second.
    pub(super) fn decay_recent_calls(&mut self) {
        for calls in &mut self.recent_calls_per_second {
            *calls *= RECENT_CALLS_DECAY;
        }
    }
}

/// The numbers below `count` in random order.
fn shuffled_ranks(count: usize, rng: &mut Rng) -> Vec<usize> {
    let keys: Vec<f64> = (0..count).map(|_| rng.f64()).collect();
    let mut by_key: Vec<usize> = (0..count).collect();
    by_key.sort_by(|a, b| keys[*a].total_cmp(&keys[*b]));
    let mut ranks = vec![0; count];
    for (rank, index) in by_key.into_iter().enumerate() {
        ranks[index] = rank;
    }
    ranks
}

/// Running sums, scaled so that the last is 1.
fn cumulative_shares(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut cumulative = Vec::new();
    for share in shares {
        sum += share;
        cumulative.push(sum);
    }
    for share in &mut cumulative {
        *share /= sum;
    }
    cumulative
}

/// The index to which a uniform draw from 0 to 1 belongs.
fn index_at(cumulative_shares: &[f64], draw: f64) -> usize {
    let index = cumulative_shares.partition_point(|share| *share < draw);
    index.min(cumulative_shares.len() - 1)
}
