//! Baselines on the interface of the decision module: what they know of the fleet, and how their tables become orders.

use super::kind::Kind;
use super::table::{Table, PRIMARY_WEIGHT};
use super::{bounded_hashing, true_state};
use crate::truth::Truth;
use coppersail::interface::{
    HostId, HostListEntry, HostState, Input, ListScope, LoadReport, Order, RoundId, SliceId, TimerId,
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
            orders.push(Order::RequestAcknowledgement {
                round: RoundId(self.last_mark),
                include_idle_proxies: false,
            });
        }
        let wake_at = self.next_update_at.max(now + MIN_WAKE_DELAY);
        orders.push(Order::SetTimer { timer: TimerId(1), fires_at: wake_at });
        orders
    }

    fn process(&mut self, input: &Input) {
        match input {
            Input::HostListUpdate { scope, entries, .. } => self.process_hosts(*scope, entries),
            Input::SliceAssigned(slice) => {
                self.tables.entry(*slice).or_default();
            }
            Input::StoredWeight { slice, host, weight } => {
                self.tables.entry(*slice).or_default().insert(*host, *weight);
            }
            Input::AttemptStats { host, load, .. } => self.process_load(*host, load),
            _ => {}
        }
    }

    fn process_hosts(&mut self, scope: ListScope, entries: &[HostListEntry]) {
        match scope {
            ListScope::Failed => return,
            ListScope::Snapshot | ListScope::CachedSnapshot => self.ready.clear(),
            ListScope::Delta => {}
        }
        for entry in entries {
            if entry.state == HostState::Ready {
                self.ready.insert(entry.host);
            } else {
                self.ready.remove(&entry.host);
            }
        }
    }

    fn process_load(&mut self, host: HostId, load: &LoadReport) {
        let queue_by_cores = load.cpu_utilisation.map(|busy| QUEUE_OF_BUSY_HOST * busy);
        let reported = load.queued.or(queue_by_cores).unwrap_or(0.0);
        let queue = self.queues.entry(host).or_default();
        *queue = OLD_QUEUE_WEIGHT * *queue + NEW_QUEUE_WEIGHT * reported;
    }

    /// Withdraws the hosts that are not ready any more, and takes back those that are again. All baselines do, as the
    /// rule on drained hosts is not what they are compared by.
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
            orders.push(Order::SetWithdrawn { host, withdrawn: is_unlisted });
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
                orders.push(Order::SetWeight { slice, host: *host, weight: *weight });
            }
        }
        for host in table.keys() {
            if !wanted.contains_key(host) {
                orders.push(Order::SetWeight { slice, host: *host, weight: 0.0 });
            }
        }
        *table = wanted;
    }

    fn wanted_tables(&self, truth: &Truth) -> BTreeMap<SliceId, Table> {
        match self.kind {
            Kind::LeastLoaded => self.same_table_for_all(|host| self.weight_by_queue(host)),
            Kind::BoundedHashing => bounded_hashing::tables(self.tables.keys(), &self.ready),
            Kind::TrueState => true_state::tables(&self.tables, &self.ready, truth),
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
}
