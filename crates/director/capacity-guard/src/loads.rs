//! What tables bring to each host, kept up to date line by line: a changed line costs by its own table, not by the
//! fleet.

use crate::pool::{Host, Pool};
use coppersail::interface::{HostId, RouteId, SliceId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// One slice: what comes for it and where it goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Calls a second, by route.
    pub demand: Vec<f64>,
    pub lines: BTreeMap<HostId, f64>,
}

impl Table {
    pub fn calls(&self) -> f64 {
        self.demand.iter().sum()
    }
}

/// What one host is brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Brought {
    /// Calls a second, and by route.
    pub calls: f64,
    pub by_route: Vec<f64>,
    /// All calls of all tables that name it: what it gets if everybody else in them fails.
    pub at_worst: f64,
    /// Tables that name it.
    pub tables: BTreeSet<SliceId>,
}

#[derive(Clone, Debug)]
pub struct Loads {
    routes: usize,
    tables: BTreeMap<SliceId, Table>,
    hosts: BTreeMap<HostId, (bool, ZoneId)>,
    brought: BTreeMap<HostId, Brought>,
    /// By route and zone, and by route alone.
    zones: BTreeMap<(RouteId, ZoneId), f64>,
    totals: Vec<f64>,
    /// Of each route, the most that one slice is asked; none: to be looked up again.
    greatest: Vec<Option<f64>>,
    /// Counts changes of who is open, and where.
    generation: u64,
    /// Slices without an open line.
    bare: BTreeSet<SliceId>,
    /// Tables counted since all was last reckoned anew.
    counted: usize,
}

/// Adding and taking off leaves a rounding each time; after so many, a millionth of a call at most, all is reckoned anew.
const COUNTED_MOST: usize = 1 << 18;

impl Loads {
    pub fn new(routes: usize) -> Self {
        Loads {
            routes,
            tables: BTreeMap::new(),
            hosts: BTreeMap::new(),
            brought: BTreeMap::new(),
            zones: BTreeMap::new(),
            totals: vec![0.0; routes],
            greatest: vec![Some(0.0); routes],
            generation: 0,
            bare: BTreeSet::new(),
            counted: 0,
        }
    }

    /// All sums anew from the tables.
    fn renew(&mut self) {
        self.counted = 0;
        for brought in self.brought.values_mut() {
            (brought.calls, brought.at_worst) = (0.0, 0.0);
            brought.by_route.fill(0.0);
        }
        self.zones.clear();
        self.totals.fill(0.0);
        let slices: Vec<SliceId> = self.tables.keys().copied().collect();
        for slice in slices {
            let demand = &self.tables[&slice].demand;
            self.totals.iter_mut().zip(demand).for_each(|(total, calls)| *total += calls);
            self.count(slice, 1.0);
        }
    }

    /// All at once, as it stands.
    pub fn of(pool: &Pool, tables: &BTreeMap<SliceId, Table>, routes: usize) -> Self {
        let mut loads = Loads::new(routes);
        pool.hosts.iter().for_each(|(id, host)| loads.host(*id, host));
        for (slice, table) in tables {
            loads.demand(*slice, &table.demand);
            table.lines.iter().for_each(|(host, weight)| loads.line(*slice, *host, *weight));
        }
        loads
    }

    pub fn tables(&self) -> &BTreeMap<SliceId, Table> {
        &self.tables
    }
    pub fn brought(&self, host: HostId) -> Option<&Brought> {
        self.brought.get(&host)
    }
    pub fn bare(&self) -> &BTreeSet<SliceId> {
        &self.bare
    }
    pub fn total(&self, route: RouteId) -> f64 {
        self.totals.get(route.0 as usize).copied().unwrap_or(0.0)
    }
    pub fn routes(&self) -> usize {
        self.routes
    }
    /// A route's calls that go to a zone.
    pub fn in_zone(&self, route: RouteId, zone: ZoneId) -> f64 {
        self.zones.get(&(route, zone)).copied().unwrap_or(0.0)
    }
    /// The most that one slice is asked in each route: nothing can be spread finer.
    pub fn greatest(&mut self) -> Vec<f64> {
        for route in 0..self.routes {
            if self.greatest[route].is_none() {
                let most = self.tables.values().map(|table| table.demand[route]).fold(0.0, f64::max);
                self.greatest[route] = Some(most);
            }
        }
        self.greatest.iter().map(|most| most.unwrap_or(0.0)).collect()
    }
    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn is_open(&self, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|(open, _)| *open)
    }

    /// What each open line of a table brings its host, as a share of the table's calls.
    pub(crate) fn shares(&self, table: &Table) -> Vec<(HostId, f64)> {
        let open = || table.lines.iter().filter(|(host, weight)| **weight > 0.0 && self.is_open(**host));
        let sum: f64 = open().map(|(_, weight)| weight).sum();
        open().map(|(host, weight)| (*host, weight / sum)).collect()
    }

    /// Takes a table's part off all sums, or puts it on.
    fn count(&mut self, slice: SliceId, sign: f64) {
        let Some(table) = self.tables.get(&slice) else { return };
        let (shares, demand, calls) = (self.shares(table), table.demand.clone(), table.calls());
        if sign > 0.0 && shares.is_empty() {
            self.bare.insert(slice);
        } else {
            self.bare.remove(&slice);
        }
        for (host, share) in shares {
            let zone = self.hosts[&host].1;
            let brought = self.brought.entry(host).or_default();
            brought.by_route.resize(self.routes, 0.0);
            brought.calls += sign * share * calls;
            brought.at_worst += sign * calls;
            for (route, calls) in demand.iter().enumerate() {
                brought.by_route[route] += sign * share * calls;
                *self.zones.entry((RouteId(route as u16), zone)).or_default() += sign * share * calls;
            }
        }
    }

    fn changed(&mut self, slice: SliceId, change: impl FnOnce(&mut Table)) {
        self.count(slice, -1.0);
        change(self.tables.entry(slice).or_default());
        self.count(slice, 1.0);
        self.counted += 1;
        if self.counted > COUNTED_MOST {
            self.renew();
        }
    }

    pub fn demand(&mut self, slice: SliceId, demand: &[f64]) {
        let mut demand = demand.to_vec();
        demand.resize(self.routes, 0.0);
        let old = self.tables.get(&slice).map(|table| table.demand.clone()).unwrap_or(vec![0.0; self.routes]);
        for (route, total) in self.totals.iter_mut().enumerate() {
            let old = old.get(route).copied().unwrap_or(0.0);
            *total += demand[route] - old;
            self.greatest[route] = match self.greatest[route] {
                Some(most) if demand[route] >= most => Some(demand[route]),
                // The greatest one has become less: which is so now is looked up when it is asked for.
                Some(most) if old >= most => None,
                most => most,
            };
        }
        self.changed(slice, |table| table.demand = demand);
    }

    pub fn line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        if !self.tables.contains_key(&slice) {
            self.demand(slice, &[]);
        }
        self.changed(slice, |table| {
            _ = if weight > 0.0 { table.lines.insert(host, weight) } else { table.lines.remove(&host) };
        });
        let tables = &mut self.brought.entry(host).or_default().tables;
        _ = if weight > 0.0 { tables.insert(slice) } else { tables.remove(&slice) };
    }

    pub fn clear(&mut self, slice: SliceId) {
        let hosts: Vec<HostId> =
            self.tables.get(&slice).map_or(vec![], |table| table.lines.keys().copied().collect());
        hosts.into_iter().for_each(|host| self.line(slice, host, 0.0));
    }

    pub fn drop_slice(&mut self, slice: SliceId) {
        self.clear(slice);
        self.demand(slice, &[]);
        self.tables.remove(&slice);
        self.bare.remove(&slice);
    }

    /// A host as it is now. One whose openness or zone has changed costs by its tables.
    pub fn host(&mut self, id: HostId, host: &Host) {
        let now = (host.open(), host.zone);
        if self.hosts.get(&id) == Some(&now) {
            return;
        }
        self.generation += 1;
        let tables: Vec<SliceId> =
            self.brought.get(&id).map_or(vec![], |brought| brought.tables.iter().copied().collect());
        tables.iter().for_each(|slice| self.count(*slice, -1.0));
        self.hosts.insert(id, now);
        tables.iter().for_each(|slice| self.count(*slice, 1.0));
    }

    pub fn drop_host(&mut self, id: HostId) {
        let named = self.brought.get(&id).is_some_and(|brought| !brought.tables.is_empty());
        if !named {
            _ = (self.hosts.remove(&id), self.brought.remove(&id));
        }
    }
}
