//! The capacity of hosts, estimated from what they have answered.

use crate::pool::Estimate;
use coppersail::interface::HostId;
use std::collections::BTreeMap;

/// With a greater share of failed attempts a host is past its capacity.
const MAX_FAILED_SHARE: f64 = 0.05;
/// Half-life of what a host has answered at most, in seconds.
const HALF_LIFE: f64 = 120.0;
/// Hosts that must have been observed before anything is estimated.
const MIN_HOSTS: usize = 3;
/// The least utilisation from which the capacity is extrapolated: below it the error is too large.
const MIN_UTILISATION: f64 = 0.2;
/// Waiting calls from which a host is taken to be saturated.
const MIN_WAITING: f64 = 2.0;
/// Weight of the current measurement in the smoothed capacity that follows from the utilisation.
const SMOOTHING: f64 = 0.2;

/// What one host did in one reporting interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostObservation {
    /// Answered calls a second.
    pub answered: f64,
    /// Failed calls a second.
    pub failed: f64,
    /// Utilisation of its cores, 0 to 1, where it is reported.
    pub utilisation: Option<f64>,
    /// Calls that wait, where it is reported.
    pub waiting: Option<f64>,
    /// Size of the host at that time, see [`crate::Host::relative_capacity`].
    pub relative_capacity: f64,
}

/// Of one host, relative to its size, in calls a second.
#[derive(Clone, Copy, Debug, Default)]
struct HostCapacity {
    /// The most that it has answered well lately: a lower bound of its capacity.
    best: f64,
    /// Its capacity, where it was seen saturated or its utilisation is known.
    saturated: Option<f64>,
    updated_at: f64,
}

impl HostCapacity {
    fn observe(&mut self, now: f64, observation: &HostObservation) {
        let HostObservation { answered, failed, utilisation, waiting, relative_capacity } = *observation;
        let decay = 0.5_f64.powf((now - self.updated_at).max(0.0) / HALF_LIFE);
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
            // Calls wait by chance as well, long before a host is saturated: the greatest rate counts.
            (Some(old), Some(new)) => Some((old * decay).max(new)),
            (old, new) => old.or(new),
        };
        if failed <= MAX_FAILED_SHARE * (answered + failed) {
            self.best = (self.best * decay).max(rate);
        }
        self.updated_at = now;
    }
}

/// Estimates the capacity of a host of weight 1 in calls a second.
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
    /// Adds an observation. One without answers or of a host without size is ignored.
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

    /// Four in five hosts have at least the low end as their capacity, as far as was observed. The middle is the median
    /// of the hosts that were seen saturated, infinite while these are too few. `None`: too few hosts were observed.
    pub fn estimate(&self) -> Option<Estimate> {
        if self.hosts.len() < MIN_HOSTS {
            return None;
        }
        let least = |host: &HostCapacity| host.saturated.map_or(host.best, |most| most.max(host.best));
        let least = sorted(self.hosts.values().map(least));
        let saturated = |host: &HostCapacity| Some(host.saturated?.max(host.best));
        let saturated = sorted(self.hosts.values().filter_map(saturated));
        let middle =
            if saturated.len() >= MIN_HOSTS { saturated[saturated.len() / 2] } else { f64::INFINITY };
        let low = least[least.len() / 5];
        (low > 0.0).then_some(Estimate { low: low.min(middle), middle })
    }
}
