//! Selects the tables that the linear program may change, and the hosts that each of them may contain.

use crate::bound::LoadBound;
use crate::guard::Guard;
use crate::pool::{HostEvent, PendingEvent};
use crate::reason::Reason;
use coppersail::interface::{HostId, SliceId, ZoneId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Limit of the number of variables (tables times hosts). A program of this size is solved in a few
/// milliseconds; `docs/guard.md` has the measured times.
const MAX_VARIABLES: usize = 1500;
/// Limit of the hosts that may be added to any table, starting with the least loaded: more hosts enlarge the
/// program but hardly improve the result.
const MAX_RECEIVERS: usize = 12;

/// Factor by which bounds are reduced, as a margin for rounding errors.
pub(crate) const BOUND_MARGIN: f64 = 0.995;

/// The bounds of the hosts that are open now and stay open.
pub(crate) type HostBounds<'b> = BTreeMap<HostId, &'b LoadBound>;

/// One table within the program.
pub(crate) struct ProgramTable {
    pub(crate) slice: SliceId,
    /// Calls per second in all routes together.
    pub(crate) calls: f64,
    /// Calls per second by route.
    pub(crate) demand: Vec<f64>,
    /// The share of each open host in the proposal.
    pub(crate) shares: BTreeMap<HostId, f64>,
    /// The hosts that the table may contain.
    pub(crate) allowed: BTreeSet<HostId>,
}

/// The hosts with a pending event of this kind.
pub(crate) fn hosts_of(pending: &[PendingEvent], change: HostEvent) -> BTreeSet<HostId> {
    pending.iter().filter(|event| event.event == change).map(|event| event.host).collect()
}

/// The tables that are involved in a reason. `None`: there are none, or they are too many for the program.
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

/// Hosts that a reason is about, that have a pending event, or that are in a zone that a reason is about.
fn involved_hosts(guard: &Guard, reasons: &[Reason], pending: &[PendingEvent]) -> BTreeSet<HostId> {
    let mut hosts: BTreeSet<HostId> = reasons.iter().filter_map(Reason::host).collect();
    hosts.extend(hosts_of(pending, HostEvent::Leaves));
    hosts.extend(hosts_of(pending, HostEvent::Opens));
    let zones: BTreeSet<ZoneId> = reasons.iter().filter_map(Reason::zone).collect();
    let in_zones = guard.pool.hosts.iter().filter(|(_, host)| zones.contains(&host.zone));
    hosts.extend(in_zones.map(|(id, _)| *id));
    hosts
}

/// The hosts that may be added to any table: warm ones first, then those with the lowest load relative to
/// their capacity.
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

/// If the other hosts of its tables fail, a cold host gets all their calls. So it may be in only as many
/// tables as it can handle in this case. Tables that already contain it come first, then the smallest.
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
