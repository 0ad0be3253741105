//! The state that proposals are evaluated against: the hosts and tables in force. Proposals and pending
//! events are applied speculatively and then rolled back.

use crate::bound::FleetSizes;
use crate::inspection::Inspection;
use crate::load_index::{LoadIndex, Table};
use crate::pool::{CapacityModel, Host, HostEvent, ListedState, PendingEvent, Pool};
use crate::reason::{Moment, Reason, Severity};
use crate::violation::{worst_severity, MomentReasons};
use coppersail::interface::{HostId, Order, SliceId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How far ahead pending events are considered, in seconds. New tables reach the proxies within a few seconds
/// even over a slow channel, so there is time to react to later events with another proposal.
const LOOK_AHEAD_S: f64 = 15.0;
/// Maximum age of the cached fleet sizes, in seconds. Hosts warm up slowly, so sizes change little in this
/// time.
const MAX_SIZES_AGE_S: f64 = 0.5;

/// An undo log entry: the value that a speculative change replaced.
enum Undo {
    Weight { slice: SliceId, host: HostId, weight: f64 },
    Host { id: HostId, host: Host },
}

/// The undo log of the speculative changes, in the order in which they were made.
#[derive(Default)]
pub(crate) struct Trial(Vec<Undo>);

/// Cached fleet sizes: the cost of measuring them grows with the number of hosts.
#[derive(Clone)]
struct CachedSizes {
    measured_at: f64,
    version: u64,
    sizes: Rc<FleetSizes>,
}

/// Evaluates proposed tables against the hosts and the tables in force.
pub struct Guard {
    pub(crate) pool: Pool,
    pub(crate) loads: LoadIndex,
    sizes: Option<CachedSizes>,
    /// Incremented with each change of a host.
    host_version: u64,
}

impl Guard {
    /// Creates a guard for these hosts and tables, with `routes` routes.
    pub fn new(pool: Pool, tables: &BTreeMap<SliceId, Table>, routes: usize) -> Self {
        let loads = LoadIndex::from_tables(&pool, tables, routes);
        Guard { pool, loads, sizes: None, host_version: 0 }
    }

    /// The hosts.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The tables in force and their load.
    pub fn loads(&self) -> &LoadIndex {
        &self.loads
    }

    /// The capacity parameters that all hosts share, for updates.
    pub fn capacity_model_mut(&mut self) -> &mut CapacityModel {
        &mut self.pool.capacity_model
    }

    /// Adds or updates a host.
    pub fn set_host(&mut self, id: HostId, host: Host) {
        self.loads.set_host(id, &host);
        if self.pool.hosts.insert(id, host) != Some(host) {
            self.host_version += 1;
        }
    }

    /// Removes a host.
    pub fn remove_host(&mut self, id: HostId) {
        if let Some(host) = self.pool.hosts.get(&id).copied() {
            self.loads.set_host(id, &Host { state: ListedState::Removed, ..host });
        }
        self.host_version += 1;
        self.pool.hosts.remove(&id);
        self.loads.remove_host(id);
    }

    /// Sets the demand of a slice by route, in calls per second.
    pub fn set_demand(&mut self, slice: SliceId, demand: &[f64]) {
        self.loads.set_demand(slice, demand);
    }

    /// Sets a weight that is already in force. Orders that [`Guard::judge`] has evaluated are applied with
    /// [`Guard::commit`].
    pub fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.loads.set_weight(slice, host, weight);
    }

    /// Removes a slice with its table.
    pub fn remove_slice(&mut self, slice: SliceId) {
        self.loads.remove_slice(slice);
    }

    /// Applies orders that are being sent to the proxies: from now on they are in force.
    pub fn commit(&mut self, orders: &[Order]) {
        let mut trial = Trial::default();
        orders.iter().for_each(|order| self.apply(order, &mut trial));
    }

    /// Applies an order speculatively, and records in `trial` how to undo it.
    pub(crate) fn apply(&mut self, order: &Order, trial: &mut Trial) {
        match order {
            Order::SetWeight { slice, host, weight } => {
                let table = self.loads.tables().get(slice);
                let old = table.and_then(|table| table.weights.get(host)).copied().unwrap_or(0.0);
                self.loads.set_weight(*slice, *host, *weight);
                trial.0.push(Undo::Weight { slice: *slice, host: *host, weight: old });
            }
            Order::ClearTable(slice) => {
                let table = self.loads.tables().get(slice);
                let old = table.map(|table| table.weights.clone()).unwrap_or_default();
                self.loads.clear_table(*slice);
                let undo = |(host, weight)| Undo::Weight { slice: *slice, host, weight };
                trial.0.extend(old.into_iter().map(undo));
            }
            Order::SetWithdrawn { host: id, withdrawn } => {
                let Some(host) = self.pool.hosts.get(id).copied() else { return };
                self.set_host(*id, Host { withdrawn: *withdrawn, ..host });
                trial.0.push(Undo::Host { id: *id, host });
            }
            _ => {}
        }
    }

    /// Applies a pending event speculatively, and records in `trial` how to undo it.
    fn apply_event(&mut self, event: &PendingEvent, trial: &mut Trial) {
        let Some(host) = self.pool.hosts.get(&event.host).copied() else { return };
        let (state, withdrawn) = match event.event {
            HostEvent::Leaves => (ListedState::Draining, host.withdrawn),
            HostEvent::Opens => (ListedState::Ready, false),
        };
        self.set_host(event.host, Host { state, proven: true, withdrawn, ..host });
        trial.0.push(Undo::Host { id: event.host, host });
    }

    /// Rolls back the speculative changes.
    pub(crate) fn revert(&mut self, trial: Trial) {
        for undo in trial.0.into_iter().rev() {
            match undo {
                Undo::Weight { slice, host, weight } => self.loads.set_weight(slice, host, weight),
                Undo::Host { id, host } => self.set_host(id, host),
            }
        }
    }

    fn version(&self) -> u64 {
        self.loads.placement_version() + self.host_version
    }

    /// The sizes of the fleet, from the cache if it is recent.
    pub(crate) fn fleet_sizes(&mut self, now: f64) -> Rc<FleetSizes> {
        let version = self.version();
        if let Some(cached) = &self.sizes {
            if cached.version == version && (now - cached.measured_at).abs() < MAX_SIZES_AGE_S {
                return cached.sizes.clone();
            }
        }
        let sizes = Rc::new(FleetSizes::measure(&self.pool, &mut self.loads, now));
        self.sizes = Some(CachedSizes { measured_at: now, version, sizes: sizes.clone() });
        sizes
    }

    /// The reasons for which the current state is unsafe, limited to these hosts and their zones.
    pub(crate) fn inspect(&mut self, hosts: &BTreeSet<HostId>, now: f64) -> Vec<Reason> {
        let sizes = self.fleet_sizes(now);
        Inspection { pool: &self.pool, loads: &self.loads, sizes: &sizes, now }.reasons(hosts)
    }

    /// Calls `evaluate` for the current state, and for the state after each time at which pending events
    /// complete. The guard is unchanged when this returns.
    pub(crate) fn at_each_moment<T>(
        &mut self,
        pending: &[PendingEvent],
        now: f64,
        evaluate: &mut dyn FnMut(&mut Guard, Moment, f64) -> T,
    ) -> Vec<T> {
        let mut results = vec![evaluate(self, Moment::AfterProposal, now)];
        let (cached, version) = (self.sizes.clone(), self.version());
        let mut trial = Trial::default();
        for (index, event) in pending.iter().enumerate() {
            self.apply_event(event, &mut trial);
            // Events that complete at the same time are evaluated together.
            if pending.get(index + 1).is_none_or(|next| next.at > event.at) {
                results.push(evaluate(self, Moment::At(event.at), event.at));
            }
        }
        if !trial.0.is_empty() {
            self.revert(trial);
            // The rollback restored the state but incremented the version, so the cache entry is valid for
            // the new version.
            let restored = self.version();
            self.sizes = cached.map(|cached| CachedSizes {
                version: if cached.version == version { restored } else { cached.version },
                ..cached
            });
        }
        results
    }

    /// The reasons for which the current state is unsafe, limited to these hosts, and those of all hosts at
    /// the time of each pending event.
    pub(crate) fn inspect_ahead(
        &mut self,
        hosts: &BTreeSet<HostId>,
        pending: &[PendingEvent],
        now: f64,
    ) -> Vec<MomentReasons> {
        self.at_each_moment(pending, now, &mut |guard, moment, at| {
            // A host that comes or goes changes the fair share of every host.
            let hosts = if moment == Moment::AfterProposal { hosts.clone() } else { guard.all_hosts() };
            MomentReasons { moment, reasons: guard.inspect(&hosts, at) }
        })
    }

    /// The highest severity among the current state and the states at the pending events.
    pub(crate) fn severity(
        &mut self,
        hosts: &BTreeSet<HostId>,
        pending: &[PendingEvent],
        now: f64,
    ) -> Severity {
        worst_severity(&self.inspect_ahead(hosts, pending, now))
    }

    pub(crate) fn all_hosts(&self) -> BTreeSet<HostId> {
        self.pool.hosts.keys().copied().collect()
    }

    /// Hosts whose load the orders may change.
    pub(crate) fn touched_hosts<'a>(&self, orders: impl Iterator<Item = &'a Order>) -> BTreeSet<HostId> {
        let mut slices = BTreeSet::new();
        let mut hosts = BTreeSet::new();
        for order in orders {
            match order {
                Order::SetWeight { slice, host, .. } => {
                    slices.insert(*slice);
                    hosts.insert(*host);
                }
                Order::ClearTable(slice) => _ = slices.insert(*slice),
                // A host that comes or goes changes the fair share of every host.
                Order::SetWithdrawn { .. } => hosts.extend(self.pool.hosts.keys().copied()),
                _ => {}
            }
        }
        let tables = slices.iter().filter_map(|slice| self.loads.tables().get(slice));
        hosts.extend(tables.flat_map(|table| table.weights.keys().copied()));
        hosts
    }
}

/// The pending events within [`LOOK_AHEAD_S`], sorted by time. Overdue events count as completing now.
pub(crate) fn near_events(pending: &[PendingEvent], now: f64) -> Vec<PendingEvent> {
    let is_near = |event: &&PendingEvent| event.at <= now + LOOK_AHEAD_S;
    let clamped = |event: &PendingEvent| PendingEvent { at: event.at.max(now), ..*event };
    let mut near: Vec<PendingEvent> = pending.iter().filter(is_near).map(clamped).collect();
    near.sort_by(|a, b| a.at.total_cmp(&b.at));
    near
}
