//! Tables by the true state of the fleet, which no director can see: what is best could only be as good as this.

use super::table::{with_standby, Table};
use crate::truth::{TrueHost, Truth};
use coppersail::interface::{HostId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// A slice stays at its host unless the host is so many times as utilized as the least utilized one.
const MOVE_THRESHOLD: f64 = 1.2;
/// The jobs at a host count as load over so many seconds.
const BACKLOG_SECONDS: f64 = 2.0;
/// Each slice has at least this load, seconds of work a second.
const MIN_SLICE_LOAD: f64 = 1e-3;
/// Keeps the utilization of a host finite, seconds of work a second.
const MIN_HOST_SPEED: f64 = 1e-6;

/// Assigns slices, the most loaded first: each to the host that is least utilized, or to where it is if that costs
/// little. No tables if no host serves.
pub(super) fn tables(
    current: &BTreeMap<SliceId, Table>,
    ready: &BTreeSet<HostId>,
    truth: &Truth,
) -> BTreeMap<SliceId, Table> {
    let mut fleet = ServingFleet::new(truth, ready);
    let mut tables = BTreeMap::new();
    if fleet.load.is_empty() {
        return tables;
    }
    let mut slices: Vec<SliceId> = current.keys().copied().collect();
    slices.sort_by(|a, b| slice_load(truth, *b).total_cmp(&slice_load(truth, *a)));
    for slice in slices {
        let load = slice_load(truth, slice);
        let ranked = fleet.ranked_by_utilization(load);
        let best = ranked[0];
        let current_primary = heaviest(&current[&slice]);
        let kept = current_primary.filter(|host| fleet.is_nearly_as_good(*host, best, load));
        let primary = kept.unwrap_or(best);
        *fleet.load.entry(primary).or_default() += load;
        tables.insert(slice, with_standby(primary, &ranked));
    }
    tables
}

/// The recent load of a slice, seconds of work a second.
fn slice_load(truth: &Truth, slice: SliceId) -> f64 {
    let load = truth.work_per_second_by_slice.get(slice.0 as usize);
    load.copied().unwrap_or(0.0) + MIN_SLICE_LOAD
}

/// The host with the greatest weight.
fn heaviest(table: &Table) -> Option<HostId> {
    let heaviest = table.iter().max_by(|a, b| a.1.total_cmp(b.1));
    heaviest.map(|(host, _)| *host)
}

/// The hosts that serve in truth, while slices are assigned to them.
struct ServingFleet<'a> {
    hosts: &'a [TrueHost],
    /// What is assigned so far, seconds of work a second.
    load: BTreeMap<HostId, f64>,
}

impl<'a> ServingFleet<'a> {
    /// Hosts that are listed and serve, with the jobs that they have.
    fn new(truth: &'a Truth, ready: &BTreeSet<HostId>) -> Self {
        let mut load = BTreeMap::new();
        for host in ready {
            let Some(state) = truth.hosts.get(host.0 as usize) else { continue };
            if state.is_serving && state.work_per_second > 0.0 {
                load.insert(*host, state.jobs / BACKLOG_SECONDS);
            }
        }
        ServingFleet { hosts: &truth.hosts, load }
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
