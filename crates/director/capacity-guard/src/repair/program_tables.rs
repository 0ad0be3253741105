//! The tables that a linear program may change, and the hosts that each of them may name.

use crate::bound::LoadBound;
use crate::guard::Guard;
use crate::pool::{HostEvent, PendingEvent};
use crate::reason::Reason;
use coppersail::interface::{HostId, SliceId, ZoneId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// The greatest number of variables, tables times hosts. So many are solved in some milliseconds; `docs/guard.md` has
/// the measured times.
const MAX_VARIABLES: usize = 1500;
/// Hosts that any table may be given, those with most room first: more enlarge the program and hardly improve it.
const MAX_RECEIVERS: usize = 12;

/// Bounds are reduced by this factor, for what is lost by rounding.
pub(crate) const BOUND_MARGIN: f64 = 0.995;

/// The bounds of the hosts that are open at all moments ahead.
pub(crate) type HostBounds<'b> = BTreeMap<HostId, &'b LoadBound>;

/// One table within the program.
pub(crate) struct ProgramTable {
    pub(crate) slice: SliceId,
    /// Calls a second in all routes.
    pub(crate) calls: f64,
    /// Calls a second by route.
    pub(crate) demand: Vec<f64>,
    /// The share of each open host as proposed.
    pub(crate) shares: BTreeMap<HostId, f64>,
    /// The hosts that the table may name.
    pub(crate) allowed: BTreeSet<HostId>,
}

/// The hosts of pending events of a kind.
pub(crate) fn hosts_of(pending: &[PendingEvent], change: HostEvent) -> BTreeSet<HostId> {
    pending.iter().filter(|event| event.event == change).map(|event| event.host).collect()
}

/// The tables that are involved in what is unsafe. `None`: there are none, or they are too many for a program.
pub(crate) fn program_tables(
    guard: &mut Guard,
    touched: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
    bounds: &HostBounds,
) -> Option<Vec<ProgramTable>> {
    let moments = guard.inspect_ahead(touched, pending, now);
    let reasons: Vec<Reason> = moments.into_iter().flat_map(|at| at.reasons).collect();
    let hosts = involved_hosts(guard, &reasons, pending);
    let mut slices: BTreeSet<SliceId> = guard.loads.uncovered().clone();
    let loads = hosts.iter().filter_map(|host| guard.loads.host_load(*host));
    slices.extend(loads.flat_map(|load| load.tables.iter().copied()));
    let receivers = receivers(guard, now, bounds);
    let mut tables: Vec<ProgramTable> = Vec::new();
    let mut variables = 0;
    for slice in slices {
        let table = guard.loads.tables().get(&slice)?;
        let shares: BTreeMap<HostId, f64> = guard.loads.shares(table).into_iter().collect();
        let present = shares.keys().filter(|host| bounds.contains_key(host));
        let allowed: BTreeSet<HostId> = present.chain(&receivers).copied().collect();
        variables += allowed.len();
        if variables > MAX_VARIABLES {
            return None;
        }
        let (calls, demand) = (table.calls(), table.demand.clone());
        tables.push(ProgramTable { slice, calls, demand, shares, allowed });
    }
    limit_cold_hosts(guard, now, bounds, &mut tables);
    (!tables.is_empty()).then_some(tables)
}

/// Hosts that are unsafe, that leave or open, or that are in a zone that is unsafe.
fn involved_hosts(guard: &Guard, reasons: &[Reason], pending: &[PendingEvent]) -> BTreeSet<HostId> {
    let mut hosts: BTreeSet<HostId> = reasons.iter().filter_map(Reason::host).collect();
    hosts.extend(hosts_of(pending, HostEvent::Leaves));
    hosts.extend(hosts_of(pending, HostEvent::Opens));
    let zones: BTreeSet<ZoneId> = reasons.iter().filter_map(Reason::zone).collect();
    let in_zones = guard.pool.hosts.iter().filter(|(_, host)| zones.contains(&host.zone));
    hosts.extend(in_zones.map(|(id, _)| *id));
    hosts
}

/// The hosts that any table may be given: warm ones first, then those with least load for their size.
fn receivers(guard: &Guard, now: f64, bounds: &HostBounds) -> Vec<HostId> {
    let key = |id: &HostId| {
        let host = &guard.pool.hosts[id];
        let calls = guard.loads.host_load(*id).map_or(0.0, |load| load.calls);
        let relative_capacity = host.relative_capacity(now, &guard.pool.capacity_model).max(1e-9);
        (host.is_warm(now, &guard.pool.capacity_model), -calls / relative_capacity)
    };
    let mut receivers: Vec<HostId> = bounds.keys().copied().collect();
    receivers.sort_by(|a, b| key(b).partial_cmp(&key(a)).unwrap_or(Ordering::Equal));
    receivers.truncate(MAX_RECEIVERS);
    receivers
}

/// All calls of a cold host's tables come to it when their other hosts fail, so it may be named only by as many
/// tables as it withstands. Those that name it already come first, then the smallest.
fn limit_cold_hosts(guard: &Guard, now: f64, bounds: &HostBounds, tables: &mut [ProgramTable]) {
    let is_cold = |id: &&HostId| !guard.pool.hosts[*id].is_warm(now, &guard.pool.capacity_model);
    for id in bounds.keys().filter(is_cold) {
        let naming = tables.iter().filter(|table| table.shares.contains_key(id));
        let in_program = naming.map(|table| table.calls).sum::<f64>();
        let worst_case = guard.loads.host_load(*id).map_or(0.0, |load| load.worst_case_calls);
        let others = worst_case - in_program;
        let mut headroom = BOUND_MARGIN * bounds[id].worst_case_calls - others;
        let allowing = |index: &usize| tables[*index].allowed.contains(id);
        let mut order: Vec<usize> = (0..tables.len()).filter(allowing).collect();
        let key = |index: &usize| (!tables[*index].shares.contains_key(id), tables[*index].calls);
        order.sort_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal));
        for index in order {
            if tables[index].calls <= headroom {
                headroom -= tables[index].calls;
            } else {
                tables[index].allowed.remove(id);
            }
        }
    }
}
