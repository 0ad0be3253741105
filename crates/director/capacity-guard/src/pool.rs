//! The hosts, their capacity, and the events that are known to come.

use coppersail::interface::{HostId, ZoneId};
use std::collections::BTreeMap;

/// A warm host that has been warm for less than this is bounded by the low estimate of its capacity, in seconds: longer
/// than a cache stays cold.
const PROVING_TIME: f64 = 30.0;
/// The share of the fall multiple up to which a cold host is loaded: reports are late, and the load in between is not
/// seen.
const COLD_LOAD_SHARE: f64 = 0.6;
/// The least share of its capacity that a cold host is taken to have.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It serves.
    Ready,
    /// It finishes the calls that it has, and gets no others.
    Draining,
    /// It has left.
    Removed,
}

/// One host as it is known now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Host {
    /// Its state in the list.
    pub state: ListedState,
    /// Its failure domain.
    pub zone: ZoneId,
    /// Its size relative to the others, as listed and as set by operators.
    pub weight: f64,
    /// When it started, in seconds; `None`: long ago.
    pub started_at: Option<f64>,
    /// It has answered a call or a probe since it was listed, or was there from the start.
    pub proven: bool,
    /// Proxies have been ordered to send it nothing.
    pub withdrawn: bool,
    /// Its throughput relative to a usual host of its weight.
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
    /// The low end: four in five hosts have at least this.
    pub low: f64,
    /// The median.
    pub middle: f64,
}

/// What holds for all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityModel {
    /// The share of its capacity that a host has when it starts, 0 to 1.
    pub cold_capacity_share: f64,
    /// Seconds after its start in which a host warms up; its capacity rises linearly (slow start).
    pub slow_start_duration: f64,
    /// A cold host collapses at this multiple of the calls that it can serve.
    pub collapse_multiple: f64,
    /// Capacity of a host of weight 1 in calls a second; `None`: not known yet.
    pub capacity: Option<Estimate>,
}

impl Host {
    /// Whether calls may be sent to it: listed ready, has answered, and not withdrawn.
    pub fn is_open(&self) -> bool {
        self.state == ListedState::Ready && self.proven && !self.withdrawn
    }

    /// The share of its full capacity that it has at its age, 0.01 to 1.
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

    /// Its present size, where a warm host of weight 1 and speed 1 has size 1.
    pub fn relative_capacity(&self, now: f64, model: &CapacityModel) -> f64 {
        self.weight * self.speed * self.capacity_share(now, model)
    }

    /// Calls a second that it may be sent; infinite while capacities are unknown. For a host that has been warm for a
    /// while this is the middle estimate of its capacity, for others the low one. A cold host may be sent more than it
    /// can serve, but not so much that it collapses.
    pub fn call_limit(&self, now: f64, model: &CapacityModel) -> f64 {
        let Some(capacity) = model.capacity else { return f64::INFINITY };
        let relative_capacity = self.relative_capacity(now, model);
        let proved = self
            .started_at
            .is_none_or(|started_at| now - started_at >= model.slow_start_duration + PROVING_TIME);
        match (self.is_warm(now, model), proved) {
            (true, true) => relative_capacity * capacity.middle,
            (true, false) => relative_capacity * capacity.low,
            (false, _) => {
                relative_capacity * capacity.low * (COLD_LOAD_SHARE * model.collapse_multiple).max(1.0)
            }
        }
    }

    /// Calls a second at which a cold host collapses; infinite for a warm one and while capacities are unknown.
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
    /// What holds for all of them.
    pub capacity_model: CapacityModel,
}

impl Pool {
    /// The hosts to which calls may be sent.
    pub fn open_hosts(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.hosts.iter().filter(|(_, host)| host.is_open()).map(|(id, host)| (*id, host))
    }
}

/// An event that is known to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingEvent {
    /// When it is complete, in seconds.
    pub at: f64,
    /// The host that it happens to.
    pub host: HostId,
    /// What happens.
    pub event: HostEvent,
}

/// What a pending event does to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    /// It drains or leaves: nothing may be sent to it from then on.
    Leaves,
    /// Calls may be sent to it from then on.
    Opens,
}
