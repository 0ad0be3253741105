//! Index of the load that the tables bring to each host and zone. It is updated incrementally, so the cost of
//! a change depends on the size of the changed table and not on that of the fleet.

use crate::pool::{Host, Pool};
use coppersail::interface::{HostId, RouteId, SliceId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of changes after which all sums are recomputed. Each addition and subtraction adds a rounding
/// error; after this many changes it is at most a millionth of a call per second.
const MAX_CHANGES_UNTIL_RECOMPUTE: usize = 1 << 18;

/// The table of one slice: its demand, and the hosts that share it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Calls per second, by route.
    pub demand: Vec<f64>,
    /// The weight of each host; open hosts get calls in proportion to their weights.
    pub weights: BTreeMap<HostId, f64>,
}

impl Table {
    /// Calls per second in all routes together.
    pub fn calls(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// The load of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Calls per second in all routes together.
    pub calls: f64,
    /// Calls per second by route.
    pub by_route: Vec<f64>,
    /// All calls of all tables that contain the host: its load if all other hosts in them fail.
    pub worst_case_calls: f64,
    /// The slices whose tables contain it.
    pub tables: BTreeSet<SliceId>,
}

/// The properties of a host that determine where calls go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Placement {
    open: bool,
    zone: ZoneId,
}

/// Whether a table's load is added to or subtracted from the sums.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sign {
    Plus,
    Minus,
}

impl Sign {
    fn factor(self) -> f64 {
        match self {
            Sign::Plus => 1.0,
            Sign::Minus => -1.0,
        }
    }
}

/// The tables, and the load that results from them.
#[derive(Clone, Debug)]
pub struct LoadIndex {
    routes: usize,
    tables: BTreeMap<SliceId, Table>,
    hosts: BTreeMap<HostId, Placement>,
    host_loads: BTreeMap<HostId, HostLoad>,
    /// Calls per second by route and zone.
    zone_calls: BTreeMap<(RouteId, ZoneId), f64>,
    /// Calls per second by route.
    route_totals: Vec<f64>,
    /// By route, the highest demand of one slice; `None`: must be recomputed.
    largest_demand: Vec<Option<f64>>,
    /// Incremented whenever a host opens, closes or moves to another zone.
    placement_version: u64,
    /// Slices whose table names no open host.
    uncovered: BTreeSet<SliceId>,
    /// Changes since all sums were last recomputed.
    changes: usize,
}

impl LoadIndex {
    /// An index without tables, for this number of routes.
    pub fn new(routes: usize) -> Self {
        LoadIndex {
            routes,
            tables: BTreeMap::new(),
            hosts: BTreeMap::new(),
            host_loads: BTreeMap::new(),
            zone_calls: BTreeMap::new(),
            route_totals: vec![0.0; routes],
            largest_demand: vec![Some(0.0); routes],
            placement_version: 0,
            uncovered: BTreeSet::new(),
            changes: 0,
        }
    }

    /// The index of these hosts and tables.
    pub fn from_tables(pool: &Pool, tables: &BTreeMap<SliceId, Table>, routes: usize) -> Self {
        let mut index = LoadIndex::new(routes);
        pool.hosts.iter().for_each(|(id, host)| index.set_host(*id, host));
        for (slice, table) in tables {
            index.set_demand(*slice, &table.demand);
            table.weights.iter().for_each(|(host, weight)| index.set_weight(*slice, *host, *weight));
        }
        index
    }

    /// The tables.
    pub fn tables(&self) -> &BTreeMap<SliceId, Table> {
        &self.tables
    }

    /// The load of a host; `None` if no table has ever contained it.
    pub fn host_load(&self, host: HostId) -> Option<&HostLoad> {
        self.host_loads.get(&host)
    }

    /// Slices whose table names no open host.
    pub fn uncovered(&self) -> &BTreeSet<SliceId> {
        &self.uncovered
    }

    /// Calls per second of a route; 0 for an unknown one.
    pub fn route_total(&self, route: RouteId) -> f64 {
        self.route_totals.get(usize::from(route.0)).copied().unwrap_or(0.0)
    }

    /// The number of routes.
    pub fn routes(&self) -> usize {
        self.routes
    }

    /// The ids of all routes.
    pub(crate) fn route_ids(&self) -> impl Iterator<Item = RouteId> {
        (0..self.routes).map(|route| RouteId(route as u16))
    }

    /// Calls per second of a route that go to a zone.
    pub fn zone_calls(&self, route: RouteId, zone: ZoneId) -> f64 {
        self.zone_calls.get(&(route, zone)).copied().unwrap_or(0.0)
    }

    /// By route, the highest demand of one slice. A slice may be on a single host, so this is the granularity
    /// of the load.
    pub fn largest_demand(&mut self) -> Vec<f64> {
        for (route, largest) in self.largest_demand.iter_mut().enumerate() {
            if largest.is_none() {
                *largest = Some(self.tables.values().map(|table| table.demand[route]).fold(0.0, f64::max));
            }
        }
        self.largest_demand.iter().map(|largest| largest.unwrap_or(0.0)).collect()
    }

    /// A version that increases whenever a host opens, closes or moves to another zone.
    pub fn placement_version(&self) -> u64 {
        self.placement_version
    }

    /// Whether calls may be sent to a host.
    pub fn is_open(&self, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|placement| placement.open)
    }

    /// The share of a table's calls that each of its open hosts gets.
    pub(crate) fn shares(&self, table: &Table) -> Vec<(HostId, f64)> {
        let open = || table.weights.iter().filter(|(host, weight)| **weight > 0.0 && self.is_open(**host));
        let sum: f64 = open().map(|(_, weight)| weight).sum();
        open().map(|(host, weight)| (*host, weight / sum)).collect()
    }

    /// Sets the demand of a slice by route, in calls per second; routes that are missing at the end have no
    /// demand.
    pub fn set_demand(&mut self, slice: SliceId, demand: &[f64]) {
        let mut demand = demand.to_vec();
        demand.resize(self.routes, 0.0);
        let no_demand = vec![0.0; self.routes];
        let old = self.tables.get(&slice).map_or(no_demand, |table| table.demand.clone());
        for (route, total) in self.route_totals.iter_mut().enumerate() {
            let old = old.get(route).copied().unwrap_or(0.0);
            *total += demand[route] - old;
            self.largest_demand[route] = match self.largest_demand[route] {
                Some(largest) if demand[route] >= largest => Some(demand[route]),
                // The highest demand has decreased; the new highest one is looked up when it is needed.
                Some(largest) if old >= largest => None,
                largest => largest,
            };
        }
        self.change_table(slice, |table| table.demand = demand);
    }

    /// Sets the weight of a host in the table of a slice; 0 removes it.
    pub fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        if !self.tables.contains_key(&slice) {
            self.set_demand(slice, &[]);
        }
        self.change_table(slice, |table| {
            if weight > 0.0 {
                table.weights.insert(host, weight);
            } else {
                table.weights.remove(&host);
            }
        });
        let tables = &mut self.host_loads.entry(host).or_default().tables;
        if weight > 0.0 {
            tables.insert(slice);
        } else {
            tables.remove(&slice);
        }
    }

    /// Removes all hosts from the table of a slice.
    pub fn clear_table(&mut self, slice: SliceId) {
        let hosts: Vec<HostId> =
            self.tables.get(&slice).map_or(vec![], |table| table.weights.keys().copied().collect());
        hosts.into_iter().for_each(|host| self.set_weight(slice, host, 0.0));
    }

    /// Removes a slice with its table and demand.
    pub fn remove_slice(&mut self, slice: SliceId) {
        self.clear_table(slice);
        self.set_demand(slice, &[]);
        self.tables.remove(&slice);
        self.uncovered.remove(&slice);
    }

    /// Adds or updates a host. If it opens, closes or moves to another zone, the cost grows with the number
    /// of tables that contain it.
    pub fn set_host(&mut self, id: HostId, host: &Host) {
        let placement = Placement { open: host.is_open(), zone: host.zone };
        if self.hosts.get(&id) == Some(&placement) {
            return;
        }
        self.placement_version += 1;
        let tables: Vec<SliceId> =
            self.host_loads.get(&id).map_or(vec![], |load| load.tables.iter().copied().collect());
        tables.iter().for_each(|slice| self.add_table(*slice, Sign::Minus));
        self.hosts.insert(id, placement);
        tables.iter().for_each(|slice| self.add_table(*slice, Sign::Plus));
    }

    /// Removes a host, unless a table still contains it.
    pub fn remove_host(&mut self, id: HostId) {
        let is_in_table = self.host_loads.get(&id).is_some_and(|load| !load.tables.is_empty());
        if !is_in_table {
            self.hosts.remove(&id);
            self.host_loads.remove(&id);
        }
    }

    fn change_table(&mut self, slice: SliceId, change: impl FnOnce(&mut Table)) {
        self.add_table(slice, Sign::Minus);
        change(self.tables.entry(slice).or_default());
        self.add_table(slice, Sign::Plus);
        self.changes += 1;
        if self.changes > MAX_CHANGES_UNTIL_RECOMPUTE {
            self.recompute();
        }
    }

    /// Adds the load of a table to all sums, or subtracts it.
    fn add_table(&mut self, slice: SliceId, sign: Sign) {
        let Some(table) = self.tables.get(&slice) else { return };
        let (shares, demand, calls) = (self.shares(table), table.demand.clone(), table.calls());
        if sign == Sign::Plus && shares.is_empty() {
            self.uncovered.insert(slice);
        } else {
            self.uncovered.remove(&slice);
        }
        let factor = sign.factor();
        for (host, share) in shares {
            let zone = self.hosts[&host].zone;
            let load = self.host_loads.entry(host).or_default();
            load.by_route.resize(self.routes, 0.0);
            load.calls += factor * share * calls;
            load.worst_case_calls += factor * calls;
            for (route, calls) in demand.iter().enumerate() {
                load.by_route[route] += factor * share * calls;
                let zone_calls = self.zone_calls.entry((RouteId(route as u16), zone)).or_default();
                *zone_calls += factor * share * calls;
            }
        }
    }

    /// Recomputes all sums from the tables.
    fn recompute(&mut self) {
        self.changes = 0;
        for load in self.host_loads.values_mut() {
            load.calls = 0.0;
            load.worst_case_calls = 0.0;
            load.by_route.fill(0.0);
        }
        self.zone_calls.clear();
        self.route_totals.fill(0.0);
        let slices: Vec<SliceId> = self.tables.keys().copied().collect();
        for slice in slices {
            let demand = &self.tables[&slice].demand;
            self.route_totals.iter_mut().zip(demand).for_each(|(total, calls)| *total += calls);
            self.add_table(slice, Sign::Plus);
        }
    }
}
