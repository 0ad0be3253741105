//! The load that each host and each zone may have.

use crate::load_index::{HostLoad, LoadIndex};
use crate::pool::{Host, Pool};
use coppersail::interface::{HostId, RouteId, ZoneId};
use std::collections::BTreeMap;

/// A host may have so many times its fair share of a route, and a zone so many times its own.
const MAX_HOST_CONCENTRATION: f64 = 3.0;
const MAX_ZONE_CONCENTRATION: f64 = 2.0;
/// With fewer open hosts, or fewer calls a second, a concentration can hardly be told from chance.
const MIN_CONCENTRATION_HOSTS: usize = 4;
const MIN_CONCENTRATION_CALLS: f64 = 1.0;
/// Capacities are estimates: a warm host is overloaded when it gets so many times its capacity...
const MAX_CAPACITY_MULTIPLE: f64 = 1.25;
/// ... and so many times its fair share of all calls: where a whole fleet is overloaded some host must have too much,
/// and levelling that is the decision module's business.
const MAX_FAIR_SHARE_MULTIPLE: f64 = 2.0;

/// The sizes of all open hosts and zones, by which fair shares are measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetSizes {
    total_relative_capacity: f64,
    open_hosts: usize,
    zone_relative_capacity: BTreeMap<ZoneId, f64>,
    /// By route, the greatest demand of one slice: load cannot be divided finer than that.
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
        self.open_hosts < MIN_CONCENTRATION_HOSTS || route_total < MIN_CONCENTRATION_CALLS
    }

    /// The load of a route that a host with this fair share may have, in calls a second.
    fn host_route_bound(&self, loads: &LoadIndex, route: RouteId, host_share: f64) -> f64 {
        let total = loads.route_total(route);
        if self.is_too_small(total) {
            return f64::INFINITY;
        }
        MAX_HOST_CONCENTRATION * host_share * total + self.largest_demand[usize::from(route.0)]
    }

    /// The load of a route that a zone may have, in calls a second.
    pub(crate) fn zone_route_bound(&self, loads: &LoadIndex, route: RouteId, zone: ZoneId) -> f64 {
        let total = loads.route_total(route);
        if self.zone_relative_capacity.len() < 2 || self.is_too_small(total) {
            return f64::INFINITY;
        }
        let share = self.share(self.zone_relative_capacity.get(&zone).copied().unwrap_or(0.0));
        MAX_ZONE_CONCENTRATION * share * total + self.largest_demand[usize::from(route.0)]
    }
}

/// The load that a host may have, in calls a second; infinite where nothing bounds it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LoadBound {
    /// In all routes.
    pub(crate) calls: f64,
    /// If all other hosts of its tables fail.
    pub(crate) worst_case_calls: f64,
    /// By route.
    pub(crate) by_route: Vec<f64>,
    /// By route, for its whole zone.
    pub(crate) zone_by_route: Vec<f64>,
}

impl LoadBound {
    /// The bound of a host; 0 for an unknown one.
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

    /// This bound, or the present load of the host and its zone where that is more.
    pub(crate) fn or_present_load(&self, loads: &LoadIndex, load: &HostLoad, zone: ZoneId) -> LoadBound {
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
        let each = |a: &[f64], b: &[f64]| a.iter().zip(b).map(|(a, b)| a.min(*b)).collect();
        LoadBound {
            calls: self.calls.min(other.calls),
            worst_case_calls: self.worst_case_calls.min(other.worst_case_calls),
            by_route: each(&self.by_route, &other.by_route),
            zone_by_route: each(&self.zone_by_route, &other.zone_by_route),
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
