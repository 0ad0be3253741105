//! Upper bounds of the load of each host and each zone.

use crate::load_index::{HostLoad, LoadIndex};
use crate::pool::{Host, Pool};
use coppersail::interface::{HostId, RouteId, ZoneId};
use std::collections::BTreeMap;

/// Highest load of a host in a route, as a multiple of its fair share.
const MAX_HOST_CONCENTRATION: f64 = 3.0;
/// Highest load of a zone in a route, as a multiple of its fair share.
const MAX_ZONE_CONCENTRATION: f64 = 2.0;
/// With fewer open hosts, a concentration can hardly be distinguished from chance.
const MIN_CONCENTRATION_HOSTS: usize = 4;
/// With fewer calls per second, a concentration can hardly be distinguished from chance.
const MIN_CONCENTRATION_CALLS_PER_S: f64 = 1.0;
/// A warm host is overloaded if its load exceeds this multiple of its capacity, which is only an estimate,
/// and [`MAX_FAIR_SHARE_MULTIPLE`].
const MAX_CAPACITY_MULTIPLE: f64 = 1.25;
/// The multiple of its fair share of all calls that the load of an overloaded host must exceed too: if the
/// whole fleet is overloaded, some hosts exceed their capacity with any table, and balancing that load is up
/// to the decision module.
const MAX_FAIR_SHARE_MULTIPLE: f64 = 2.0;

/// The relative capacities of all open hosts and zones, from which fair shares are computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetSizes {
    total_relative_capacity: f64,
    open_hosts: usize,
    zone_relative_capacity: BTreeMap<ZoneId, f64>,
    /// By route, the highest demand of one slice. A slice may be on a single host, so bounds allow for one
    /// slice of this size.
    largest_demand: Vec<f64>,
}

impl FleetSizes {
    pub(crate) fn measure(pool: &Pool, loads: &mut LoadIndex, now: f64) -> Self {
        let mut sizes = FleetSizes::default();
        for (id, host) in pool.open_hosts() {
            if loads.is_open(id) {
                let relative_capacity = host.relative_capacity(now, &pool.capacity_model);
                sizes.total_relative_capacity += relative_capacity;
                sizes.open_hosts += 1;
                *sizes.zone_relative_capacity.entry(host.zone).or_default() += relative_capacity;
            }
        }
        sizes.largest_demand = loads.largest_demand();
        sizes
    }

    fn share(&self, units: f64) -> f64 {
        units / self.total_relative_capacity.max(1e-9)
    }

    fn is_too_small(&self, route_total: f64) -> bool {
        self.open_hosts < MIN_CONCENTRATION_HOSTS || route_total < MIN_CONCENTRATION_CALLS_PER_S
    }

    /// Upper bound of the load of a route at a host with this fair share, in calls per second.
    fn host_route_bound(&self, loads: &LoadIndex, route: RouteId, host_share: f64) -> f64 {
        let total = loads.route_total(route);
        if self.is_too_small(total) {
            return f64::INFINITY;
        }
        MAX_HOST_CONCENTRATION * host_share * total + self.largest_demand[usize::from(route.0)]
    }

    /// Upper bound of the load of a route in a zone, in calls per second.
    pub(crate) fn zone_route_bound(&self, loads: &LoadIndex, route: RouteId, zone: ZoneId) -> f64 {
        let total = loads.route_total(route);
        if self.zone_relative_capacity.len() < 2 || self.is_too_small(total) {
            return f64::INFINITY;
        }
        let share = self.share(self.zone_relative_capacity.get(&zone).copied().unwrap_or(0.0));
        MAX_ZONE_CONCENTRATION * share * total + self.largest_demand[usize::from(route.0)]
    }
}

/// Upper bounds of the load of a host, in calls per second; infinite where there is no bound.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadBound {
    /// Load in all routes together.
    pub(crate) calls: f64,
    /// Load if all other hosts of its tables fail.
    pub(crate) worst_case_calls: f64,
    /// By route.
    pub(crate) by_route: Vec<f64>,
    /// By route, load of its whole zone.
    pub(crate) zone_by_route: Vec<f64>,
}

impl LoadBound {
    /// The bounds of a host; 0 for an unknown one.
    pub(crate) fn of(pool: &Pool, loads: &LoadIndex, sizes: &FleetSizes, id: HostId, now: f64) -> LoadBound {
        let Some(host) = pool.hosts.get(&id) else {
            return LoadBound { calls: 0.0, worst_case_calls: 0.0, by_route: vec![], zone_by_route: vec![] };
        };
        let share = sizes.share(host.relative_capacity(now, &pool.capacity_model));
        let by_route = loads.route_ids().map(|route| sizes.host_route_bound(loads, route, share));
        let zone_by_route = loads.route_ids().map(|route| sizes.zone_route_bound(loads, route, host.zone));
        LoadBound {
            calls: call_bound(pool, loads, host, share, now),
            worst_case_calls: host.collapse_limit(now, &pool.capacity_model),
            by_route: by_route.collect(),
            zone_by_route: zone_by_route.collect(),
        }
    }

    /// For each load the bound, or the current load of the host or its zone if that is higher.
    pub(crate) fn or_current_load(&self, loads: &LoadIndex, load: &HostLoad, zone: ZoneId) -> LoadBound {
        let host_calls = |route: usize| load.by_route.get(route).copied().unwrap_or(0.0);
        let zone_calls = |route: usize| loads.zone_calls(RouteId(route as u16), zone);
        let by_route = self.by_route.iter().enumerate();
        let zone_by_route = self.zone_by_route.iter().enumerate();
        LoadBound {
            calls: self.calls.max(load.calls),
            worst_case_calls: self.worst_case_calls.max(load.worst_case_calls),
            by_route: by_route.map(|(route, bound)| bound.max(host_calls(route))).collect(),
            zone_by_route: zone_by_route.map(|(route, bound)| bound.max(zone_calls(route))).collect(),
        }
    }

    /// The lower of the two bounds, for each load.
    pub(crate) fn min(&self, other: &LoadBound) -> LoadBound {
        let minima = |a: &[f64], b: &[f64]| a.iter().zip(b).map(|(a, b)| a.min(*b)).collect();
        LoadBound {
            calls: self.calls.min(other.calls),
            worst_case_calls: self.worst_case_calls.min(other.worst_case_calls),
            by_route: minima(&self.by_route, &other.by_route),
            zone_by_route: minima(&self.zone_by_route, &other.zone_by_route),
        }
    }
}

fn call_bound(pool: &Pool, loads: &LoadIndex, host: &Host, share: f64, now: f64) -> f64 {
    let limit = host.call_limit(now, &pool.capacity_model);
    if !host.is_warm(now, &pool.capacity_model) {
        return limit;
    }
    let all_calls: f64 = loads.route_ids().map(|route| loads.route_total(route)).sum();
    (MAX_CAPACITY_MULTIPLE * limit).max(MAX_FAIR_SHARE_MULTIPLE * all_calls * share)
}
