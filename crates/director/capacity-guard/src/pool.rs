//! The hosts, their capacity, and pending events.

use coppersail::interface::{HostId, ZoneId};
use std::collections::BTreeMap;

/// Time for which the limit of a newly warm host is still the low estimate of its capacity, in seconds:
/// longer than its caches need to fill.
const PROVING_TIME_S: f64 = 30.0;
/// Share of the collapse multiple up to which a cold host may be loaded: reports are delayed, so its load may
/// be higher than the latest report shows.
const MAX_COLD_LOAD_SHARE: f64 = 0.6;
/// Lower limit of the share of its full capacity that a cold host is assumed to have.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts calls.
    Ready,
    /// It finishes its calls in flight and gets no new ones.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// What is known of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Host {
    /// Its state in the endpoint list.
    pub state: ListedState,
    /// Its failure domain.
    pub zone: ZoneId,
    /// Its weight relative to other hosts, from the endpoint list and from operators.
    pub weight: f64,
    /// When its process started, in seconds; `None`: so long ago that it is warm.
    pub started_at: Option<f64>,
    /// It has answered a call or a probe since it was listed, or was listed when the director started.
    pub proven: bool,
    /// Proxies have been ordered to send it no calls.
    pub withdrawn: bool,
    /// Its throughput relative to a typical host of its weight.
    pub speed: f64,
}

impl Default for Host {
    fn default() -> Self {
        Host {
            state: ListedState::Ready,
            zone: ZoneId(0),
            weight: 1.0,
            started_at: None,
            proven: true,
            withdrawn: false,
            speed: 1.0,
        }
    }
}

/// An estimate of a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The 20th percentile: four in five hosts have at least this capacity.
    pub low: f64,
    /// The median.
    pub middle: f64,
}

/// The capacity parameters that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityModel {
    /// The share of its full capacity that a host has when it starts, 0 to 1.
    pub cold_capacity_share: f64,
    /// Time in which a host warms up after its start, in seconds; its capacity increases linearly meanwhile
    /// (slow start).
    pub slow_start_duration: f64,
    /// A cold host collapses when its load reaches this multiple of its current capacity.
    pub collapse_multiple: f64,
    /// Capacity of a warm host of weight 1, in calls per second; `None`: not known yet.
    pub capacity: Option<Estimate>,
}

impl Host {
    /// Whether calls may be sent to it: it is listed as ready, has answered, and is not withdrawn.
    pub fn is_open(&self) -> bool {
        self.state == ListedState::Ready && self.proven && !self.withdrawn
    }

    /// The share of its full capacity that it has at its current age, 0.01 to 1.
    pub fn capacity_share(&self, now: f64, model: &CapacityModel) -> f64 {
        let age = self.started_at.map_or(f64::INFINITY, |started_at| (now - started_at).max(0.0));
        let share = model.cold_capacity_share
            + (1.0 - model.cold_capacity_share) * age / model.slow_start_duration.max(1e-9);
        share.clamp(MIN_CAPACITY_SHARE, 1.0)
    }

    /// Whether it has its full capacity.
    pub fn is_warm(&self, now: f64, model: &CapacityModel) -> bool {
        self.capacity_share(now, model) >= 1.0
    }

    /// Its current capacity relative to a warm host of weight 1 and speed 1.
    pub fn relative_capacity(&self, now: f64, model: &CapacityModel) -> f64 {
        self.weight * self.speed * self.capacity_share(now, model)
    }

    /// Upper limit of its load in calls per second; infinite while capacities are unknown. For a host that
    /// has been warm for a while this is the middle estimate of its capacity, for others the low one. A cold
    /// host may get more calls than it can serve, but not so many that it collapses.
    pub fn call_limit(&self, now: f64, model: &CapacityModel) -> f64 {
        let Some(capacity) = model.capacity else { return f64::INFINITY };
        let relative_capacity = self.relative_capacity(now, model);
        let is_proven_warm = self
            .started_at
            .is_none_or(|started_at| now - started_at >= model.slow_start_duration + PROVING_TIME_S);
        match (self.is_warm(now, model), is_proven_warm) {
            (true, true) => relative_capacity * capacity.middle,
            (true, false) => relative_capacity * capacity.low,
            (false, _) => {
                relative_capacity * capacity.low * (MAX_COLD_LOAD_SHARE * model.collapse_multiple).max(1.0)
            }
        }
    }

    /// Load at which a cold host collapses, in calls per second; infinite for a warm host and while
    /// capacities are unknown.
    pub fn collapse_limit(&self, now: f64, model: &CapacityModel) -> f64 {
        match model.capacity {
            Some(capacity) if !self.is_warm(now, model) => {
                self.relative_capacity(now, model) * capacity.low * model.collapse_multiple
            }
            _ => f64::INFINITY,
        }
    }
}

/// All hosts with their capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The listed hosts.
    pub hosts: BTreeMap<HostId, Host>,
    /// The capacity parameters that they share.
    pub capacity_model: CapacityModel,
}

impl Pool {
    /// The hosts to which calls may be sent.
    pub fn open_hosts(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().filter(|(_, host)| host.is_open()).map(|(id, host)| (*id, host))
    }
}

/// A future event of a host, such as a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingEvent {
    /// When it completes, in seconds.
    pub at: f64,
    /// The host that it affects.
    pub host: HostId,
    /// The effect on the host.
    pub event: HostEvent,
}

/// The effect of a pending event on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    /// It drains or is removed: no calls may be sent to it from then on.
    Leaves,
    /// Calls may be sent to it from then on.
    Opens,
}
