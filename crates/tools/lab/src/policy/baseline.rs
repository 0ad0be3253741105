//! Baselines on the interface of the decision module. They are there to be compared with; one sees the true state, which no
//! director can.

use super::kind::Kind;
use crate::truth::{TrueHost, Truth};
use coppersail::interface::{
    HostId, HostState, Input, ListScope, Listing, Load, MarkId, Order, SliceId, WakeId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between updates of the tables.
const UPDATE_INTERVAL: f64 = 1.0;
/// Seconds until the next wake-up at least.
const MIN_WAKE_DELAY: f64 = 0.1;
/// A weight is written again only if it has changed by a factor out of this range.
const UNCHANGED_WEIGHT_RATIO: std::ops::RangeInclusive<f64> = 0.8..=1.25;
/// A host whose cores are all busy counts as one with so many calls in its queue.
const QUEUE_OF_BUSY_HOST: f64 = 10.0;
/// Weight of the queue as known so far, where a host reports a new one.
const OLD_QUEUE_WEIGHT: f64 = 0.5;
/// Weight of the queue that a host reports.
const NEW_QUEUE_WEIGHT: f64 = 0.5;
/// Bounded hashing: a host gets so many times the mean number of slices at most.
const LOAD_BOUND: f64 = 1.25;
/// The weight of a slice's first host.
const PRIMARY_WEIGHT: f64 = 1.0;
/// The weight of a slice's second host.
const STANDBY_WEIGHT: f64 = 0.1;
/// True state: a slice stays at its host unless the host is so many times as full as the least loaded.
const MOVE_THRESHOLD: f64 = 1.2;
/// True state: the jobs at a host count as load over so many seconds.
const BACKLOG_SECONDS: f64 = 2.0;
/// True state: each slice has at least this load, seconds of work a second.
const MIN_SLICE_LOAD: f64 = 1e-3;
/// True state: keeps the utilization of a host finite, seconds of work a second.
const MIN_HOST_SPEED: f64 = 1e-6;

/// The hosts of a slice, with their weights.
type Table = BTreeMap<HostId, f64>;

/// A baseline: what it knows, and the tables as it has ordered them.
#[derive(Default)]
pub struct Baseline {
    kind: Kind,
    tables: BTreeMap<SliceId, Table>,
    ready: BTreeSet<HostId>,
    withdrawn: BTreeSet<HostId>,
    /// Moving mean of the queue that each host reports.
    queues: BTreeMap<HostId, f64>,
    /// Simulated seconds.
    next_update_at: f64,
    last_mark: u16,
}

impl Baseline {
    /// A baseline that knows nothing yet; a kind that is no baseline gives equal weights.
    pub(super) fn new(kind: Kind) -> Self {
        Baseline { kind, ..Baseline::default() }
    }

    /// Processes inputs at a time in simulated seconds, and returns the orders.
    pub fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        for input in inputs {
            self.process(input);
        }
        let mut orders = self.withdraw_unlisted();
        if now >= self.next_update_at && !self.tables.is_empty() && !self.ready.is_empty() {
            self.next_update_at = now + UPDATE_INTERVAL;
            for (slice, table) in self.wanted_tables(truth) {
                self.replace_table(slice, table, &mut orders);
            }
        }
        if !orders.is_empty() {
            self.last_mark = self.last_mark.wrapping_add(1);
            orders.push(Order::Mark { mark: MarkId(self.last_mark), all: false });
        }
        let wake_at = self.next_update_at.max(now + MIN_WAKE_DELAY);
        orders.push(Order::WakeAt { wake: WakeId(1), at: wake_at });
        orders
    }

    fn process(&mut self, input: &Input) {
        match input {
            Input::Hosts { scope, entries, .. } => self.process_hosts(*scope, entries),
            Input::Given(slice) => {
                self.tables.entry(*slice).or_default();
            }
            Input::StoredLine { slice, host, weight } => {
                self.tables.entry(*slice).or_default().insert(*host, *weight);
            }
            Input::Tries { host, load, .. } => self.process_load(*host, load),
            _ => {}
        }
    }

    fn process_hosts(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => return,
            ListScope::Whole | ListScope::Remembered => self.ready.clear(),
            ListScope::Changes => {}
        }
        for entry in entries {
            if entry.state == HostState::Ready {
                self.ready.insert(entry.host);
            } else {
                self.ready.remove(&entry.host);
            }
        }
    }

    fn process_load(&mut self, host: HostId, load: &Load) {
        let queue_by_cores = load.busy.map(|busy| QUEUE_OF_BUSY_HOST * busy);
        let reported = load.waiting.or(queue_by_cores).unwrap_or(0.0);
        let queue = self.queues.entry(host).or_default();
        *queue = OLD_QUEUE_WEIGHT * *queue + NEW_QUEUE_WEIGHT * reported;
    }

    /// Withdraws the hosts that are not ready any more, and takes back those that are again. All baselines do, as the rule
    /// on drained hosts is not what they are compared by.
    fn withdraw_unlisted(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        let in_tables: BTreeSet<HostId> =
            self.tables.values().flat_map(|table| table.keys().copied()).collect();
        for host in in_tables {
            let is_unlisted = !self.ready.contains(&host);
            if is_unlisted == self.withdrawn.contains(&host) {
                continue;
            }
            if is_unlisted {
                self.withdrawn.insert(host);
            } else {
                self.withdrawn.remove(&host);
            }
            orders.push(Order::Withdraw { host, out: is_unlisted });
        }
        orders
    }

    /// Orders what differs between a table and the wanted one. Weights that have hardly changed are not written again.
    fn replace_table(&mut self, slice: SliceId, wanted: Table, orders: &mut Vec<Order>) {
        let table = self.tables.entry(slice).or_default();
        for (host, weight) in &wanted {
            let is_unchanged =
                table.get(host).is_some_and(|old| UNCHANGED_WEIGHT_RATIO.contains(&(old / weight)));
            if !is_unchanged {
                orders.push(Order::Line { slice, host: *host, weight: *weight });
            }
        }
        for host in table.keys() {
            if !wanted.contains_key(host) {
                orders.push(Order::Line { slice, host: *host, weight: 0.0 });
            }
        }
        *table = wanted;
    }

    fn wanted_tables(&self, truth: &Truth) -> BTreeMap<SliceId, Table> {
        match self.kind {
            Kind::LeastLoaded => self.same_table_for_all(|host| self.weight_by_queue(host)),
            Kind::BoundedHashing => self.hashed_tables(),
            Kind::TrueState => self.tables_by_true_state(truth),
            _ => self.same_table_for_all(|_| PRIMARY_WEIGHT),
        }
    }

    fn same_table_for_all(&self, weight: impl Fn(HostId) -> f64) -> BTreeMap<SliceId, Table> {
        let table: Table = self.ready.iter().map(|host| (*host, weight(*host))).collect();
        self.tables.keys().map(|slice| (*slice, table.clone())).collect()
    }

    fn weight_by_queue(&self, host: HostId) -> f64 {
        1.0 / (1.0 + self.queues.get(&host).copied().unwrap_or(0.0))
    }

    /// Consistent hashing with bounded loads: each slice goes to the first host in the order of its hash that has not its
    /// share of slices; the next one is the standby.
    fn hashed_tables(&self) -> BTreeMap<SliceId, Table> {
        let ready: Vec<HostId> = self.ready.iter().copied().collect();
        let max_slices = (LOAD_BOUND * self.tables.len() as f64 / ready.len() as f64).ceil() as usize;
        let mut slice_counts: BTreeMap<HostId, usize> = BTreeMap::new();
        let mut tables = BTreeMap::new();
        for slice in self.tables.keys() {
            let mut ranked = ready.clone();
            ranked.sort_by_key(|host| rendezvous_hash(slice.0.into(), host.0.into()));
            let has_room = |host: &&HostId| slice_counts.get(host).copied().unwrap_or(0) < max_slices;
            let primary = *ranked.iter().find(has_room).unwrap_or(&ranked[0]);
            *slice_counts.entry(primary).or_default() += 1;
            tables.insert(*slice, table_of(primary, &ranked));
        }
        tables
    }

    /// Assigns slices by the true state, the most loaded first: each to the host that is least utilized, or to where it
    /// is if that costs little.
    fn tables_by_true_state(&self, truth: &Truth) -> BTreeMap<SliceId, Table> {
        let mut fleet = TrueFleet::new(truth, &self.ready);
        let mut tables = BTreeMap::new();
        if fleet.load.is_empty() {
            return tables;
        }
        let slice_load = |slice: &SliceId| {
            let load = truth.work_per_second_by_slice.get(slice.0 as usize).copied().unwrap_or(0.0);
            load + MIN_SLICE_LOAD
        };
        let mut slices: Vec<SliceId> = self.tables.keys().copied().collect();
        slices.sort_by(|a, b| slice_load(b).total_cmp(&slice_load(a)));
        for slice in slices {
            let load = slice_load(&slice);
            let ranked = fleet.ranked_by_utilization(load);
            let current = self.current_primary(slice);
            let best = ranked[0];
            let stays = current.filter(|host| fleet.is_nearly_as_good(*host, best, load));
            let primary = stays.unwrap_or(best);
            *fleet.load.entry(primary).or_default() += load;
            tables.insert(slice, table_of(primary, &ranked));
        }
        tables
    }

    /// The host with the greatest weight in the slice's table.
    fn current_primary(&self, slice: SliceId) -> Option<HostId> {
        let heaviest = self.tables[&slice].iter().max_by(|a, b| a.1.total_cmp(b.1));
        heaviest.map(|(host, _)| *host)
    }
}

/// The hosts that serve in truth, while slices are assigned to them.
struct TrueFleet<'a> {
    hosts: &'a [TrueHost],
    /// What is assigned so far, seconds of work a second.
    load: BTreeMap<HostId, f64>,
}

impl<'a> TrueFleet<'a> {
    /// Hosts that are listed and serve, with the jobs that they have.
    fn new(truth: &'a Truth, ready: &BTreeSet<HostId>) -> Self {
        let mut load = BTreeMap::new();
        for host in ready {
            let Some(state) = truth.hosts.get(host.0 as usize) else { continue };
            if state.is_serving && state.work_per_second > 0.0 {
                load.insert(*host, state.jobs / BACKLOG_SECONDS);
            }
        }
        TrueFleet { hosts: &truth.hosts, load }
    }

    /// The utilization of a host with so much more load.
    fn utilization(&self, host: HostId, more_load: f64) -> f64 {
        let speed = self.hosts[host.0 as usize].work_per_second.max(MIN_HOST_SPEED);
        (self.load[&host] + more_load) / speed
    }

    /// The hosts, the least utilized first.
    fn ranked_by_utilization(&self, more_load: f64) -> Vec<HostId> {
        let mut ranked: Vec<HostId> = self.load.keys().copied().collect();
        ranked.sort_by(|a, b| self.utilization(*a, more_load).total_cmp(&self.utilization(*b, more_load)));
        ranked
    }

    fn is_nearly_as_good(&self, host: HostId, best: HostId, more_load: f64) -> bool {
        let limit = MOVE_THRESHOLD * self.utilization(best, more_load);
        self.load.contains_key(&host) && self.utilization(host, more_load) <= limit
    }
}

/// A table with a primary, and the first other host as standby.
fn table_of(primary: HostId, ranked: &[HostId]) -> Table {
    let mut table = Table::from([(primary, PRIMARY_WEIGHT)]);
    if let Some(standby) = ranked.iter().find(|host| **host != primary) {
        table.insert(*standby, STANDBY_WEIGHT);
    }
    table
}

/// A hash of a slice and a host, by which each slice ranks the hosts (highest random weight, SplitMix64's finalizer).
fn rendezvous_hash(slice: u64, host: u64) -> u64 {
    let mut hash = slice.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ host.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
