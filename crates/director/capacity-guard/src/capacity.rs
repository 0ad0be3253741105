//! Estimates the capacity of hosts from the calls that they have answered.

use crate::pool::Estimate;
use coppersail::interface::HostId;
use std::collections::BTreeMap;

/// A host with a higher share of failed attempts counts as loaded beyond its capacity.
const MAX_FAILED_SHARE: f64 = 0.05;
/// Half-life of the highest answer rate of a host, in seconds.
const HALF_LIFE_S: f64 = 120.0;
/// Minimum number of observed hosts for an estimate.
const MIN_HOSTS: usize = 3;
/// Minimum utilisation from which the capacity is extrapolated; below it the error is too large.
const MIN_UTILISATION: f64 = 0.2;
/// Number of queued calls from which a host counts as saturated.
const MIN_WAITING: f64 = 2.0;
/// Weight of the current measurement in the exponentially smoothed capacity derived from the utilisation.
const SMOOTHING: f64 = 0.2;

/// What one host did in one reporting interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostObservation {
    /// Answered calls per second.
    pub answered: f64,
    /// Failed calls per second.
    pub failed: f64,
    /// CPU utilisation, 0 to 1, if it is reported.
    pub utilisation: Option<f64>,
    /// Number of queued calls, if it is reported.
    pub waiting: Option<f64>,
    /// Relative capacity of the host at that time, see [`crate::Host::relative_capacity`].
    pub relative_capacity: f64,
}

/// Capacity estimate of one host, divided by its relative capacity, in calls per second.
#[derive(Clone, Copy, Debug, Default)]
struct HostCapacity {
    /// The highest recent answer rate without too many failures: a lower bound of its capacity.
    best: f64,
    /// Its capacity, if it was observed saturated or its utilisation is known.
    saturated: Option<f64>,
    updated_at: f64,
}

impl HostCapacity {
    fn observe(&mut self, now: f64, observation: &HostObservation) {
        let HostObservation { answered, failed, utilisation, waiting, relative_capacity } = *observation;
        let decay = 0.5_f64.powf((now - self.updated_at).max(0.0) / HALF_LIFE_S);
        let rate = answered / relative_capacity;
        let saturated = match (utilisation, waiting) {
            (Some(utilisation), _) if utilisation > MIN_UTILISATION => Some(rate / utilisation.min(1.0)),
            (None, Some(waiting)) if waiting >= MIN_WAITING => Some(rate),
            _ => None,
        };
        self.saturated = match (self.saturated, saturated) {
            (Some(old), Some(new)) if utilisation.is_some() => {
                Some((1.0 - SMOOTHING) * old + SMOOTHING * new)
            }
            // Calls may queue by chance long before a host is saturated, so the highest rate counts.
            (Some(old), Some(new)) => Some((old * decay).max(new)),
            (old, new) => old.or(new),
        };
        if failed <= MAX_FAILED_SHARE * (answered + failed) {
            self.best = (self.best * decay).max(rate);
        }
        self.updated_at = now;
    }
}

/// Estimates the capacity of a host of weight 1, in calls per second.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    hosts: BTreeMap<HostId, HostCapacity>,
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

impl CapacityEstimator {
    /// Adds an observation. An observation without answers, or of a host with relative capacity 0, is
    /// ignored.
    pub fn observe(&mut self, host: HostId, now: f64, observation: HostObservation) {
        if observation.answered <= 0.0 || observation.relative_capacity <= 0.0 {
            return;
        }
        self.hosts.entry(host).or_default().observe(now, &observation);
    }

    /// Forgets a host.
    pub fn forget(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    /// The estimate from all observations. `low` is the 20th percentile of the lower bounds of all hosts;
    /// `middle` is the median of the hosts that were observed saturated, infinite while these are too few.
    /// `None`: too few hosts were observed.
    pub fn estimate(&self) -> Option<Estimate> {
        if self.hosts.len() < MIN_HOSTS {
            return None;
        }
        let lower_bound =
            |host: &HostCapacity| host.saturated.map_or(host.best, |capacity| capacity.max(host.best));
        let lower_bounds = sorted(self.hosts.values().map(lower_bound));
        let saturated = |host: &HostCapacity| Some(host.saturated?.max(host.best));
        let saturated = sorted(self.hosts.values().filter_map(saturated));
        let middle =
            if saturated.len() >= MIN_HOSTS { saturated[saturated.len() / 2] } else { f64::INFINITY };
        let low = lower_bounds[lower_bounds.len() / 5];
        (low > 0.0).then_some(Estimate { low: low.min(middle), middle })
    }
}
