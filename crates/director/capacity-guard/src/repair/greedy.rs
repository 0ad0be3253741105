//! Greedy repair: each step moves one weight to relieve the most severe remaining reason. Reasons that cannot
//! be repaired are skipped. Cold hosts get calls only if no warm host has headroom.

use crate::guard::Guard;
use crate::load_index::Table;
use crate::pool::{Host, HostEvent, PendingEvent};
use crate::reason::{Reason, Subject};
use crate::repair::moves::{net_moves, weights_of, Move, Repair};
use coppersail::interface::{HostId, RouteId, SliceId, ZoneId};
use std::cmp::{Ordering, Reverse};
use std::collections::BTreeSet;

/// Limit of steps: tables that need more should be recomputed instead of repaired.
pub const MAX_STEPS: usize = 2000;

/// The kind of load of a host that a step reduces.
#[derive(Clone, Copy)]
enum LoadKind {
    AllCalls,
    /// The load if all other hosts of its tables fail.
    WorstCase,
    Route(RouteId),
}

/// An excess load: `calls` per second more than the host is allowed.
struct Excess {
    host: HostId,
    kind: LoadKind,
    calls: f64,
    /// A zone to which nothing may be moved.
    excluded_zone: Option<ZoneId>,
}

/// A table that brings load to a host.
struct Contribution {
    slice: SliceId,
    /// The load of the excess kind, in calls per second.
    relief: f64,
    /// The load in all routes, in calls per second.
    calls: f64,
}

/// Repairs the guard's current tables. The guard is unchanged when this returns.
pub(crate) fn repair(
    guard: &mut Guard,
    touched: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
) -> Option<Repair> {
    let leaving = pending.iter().filter(|event| event.event == HostEvent::Leaves).map(|event| event.host);
    let leaving: BTreeSet<HostId> = leaving.collect();
    let mut hosts = touched.clone();
    let mut skipped = BTreeSet::new();
    let mut moves: Vec<Move> = Vec::new();
    let mut steps = 0;
    while steps < MAX_STEPS {
        steps += 1;
        let Some(reason) = most_severe(guard, &hosts, pending, now, &skipped) else { break };
        let Some(step) = (Step { guard, leaving: &leaving, now }).find_move(&reason) else {
            skipped.insert(reason.subject());
            continue;
        };
        apply_move(guard, &step);
        hosts.insert(step.to);
        moves.push(step);
    }
    // The severity of all hosts, as a weight may have been moved to a host that was unsafe already.
    let all_hosts = guard.all_hosts();
    let after = weights_of(guard, moves.iter().map(|step| &step.slice));
    let left = guard.severity(&all_hosts, pending, now);
    moves.iter().rev().for_each(|step| revert_move(guard, step));
    let before = weights_of(guard, moves.iter().map(|step| &step.slice));
    let proposed = guard.severity(&all_hosts, pending, now);
    left.is_less(&proposed).then(|| Repair {
        moves: net_moves(&before, &after),
        left,
        cut_off: steps == MAX_STEPS,
    })
}

fn apply_move(guard: &mut Guard, step: &Move) {
    guard.loads.set_weight(step.slice, step.to, step.weight);
    step.from.into_iter().for_each(|from| guard.loads.set_weight(step.slice, from, 0.0));
}

fn revert_move(guard: &mut Guard, step: &Move) {
    step.from.into_iter().for_each(|from| guard.loads.set_weight(step.slice, from, step.weight));
    guard.loads.set_weight(step.slice, step.to, 0.0);
}

/// The most severe reason at any time, except those that were skipped.
fn most_severe(
    guard: &mut Guard,
    hosts: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
    skipped: &BTreeSet<Subject>,
) -> Option<Reason> {
    let reasons = guard.inspect_ahead(hosts, pending, now).into_iter().flat_map(|at| at.reasons);
    let left = reasons.filter(|reason| !skipped.contains(&reason.subject()));
    let key = |reason: &Reason| (Reverse(reason.subject().kind), reason.excess());
    left.max_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal))
}

/// One step of the search.
struct Step<'a> {
    guard: &'a Guard,
    /// Hosts with a pending departure; no weight is moved to them.
    leaving: &'a BTreeSet<HostId>,
    now: f64,
}

impl Step<'_> {
    /// The move that best relieves a reason. `None`: no host has headroom for a move.
    fn find_move(&self, reason: &Reason) -> Option<Move> {
        let loads = &self.guard.loads;
        let excess = |host, kind, calls| Excess { host, kind, calls, excluded_zone: None };
        match reason {
            Reason::Uncovered { slice } => self.cover(*slice),
            Reason::ColdOverload { host, calls, limit } => {
                let exceeds = loads.host_load(*host)?.calls > *limit;
                let kind = if exceeds { LoadKind::AllCalls } else { LoadKind::WorstCase };
                self.relieve(&excess(*host, kind, calls - limit))
            }
            Reason::WarmOverload { host, calls, limit } => {
                self.relieve(&excess(*host, LoadKind::AllCalls, calls - limit))
            }
            Reason::HostConcentration { route, host, share, bound } => {
                let calls = (share - bound) * loads.route_total(*route);
                self.relieve(&excess(*host, LoadKind::Route(*route), calls))
            }
            Reason::ZoneConcentration { route, zone, share, bound } => {
                let calls = (share - bound) * loads.route_total(*route);
                let host = self.most_loaded_in(*zone, *route)?;
                self.relieve(&Excess {
                    excluded_zone: Some(*zone),
                    ..excess(host, LoadKind::Route(*route), calls)
                })
            }
        }
    }

    /// Assigns an open host to a slice that has none; if no host has headroom, the one with the lowest
    /// relative load.
    fn cover(&self, slice: SliceId) -> Option<Move> {
        let table = self.guard.loads.tables().get(&slice)?;
        let to = self.host_with_headroom(table, table.calls(), None).or_else(|| self.least_loaded(table))?;
        Some(Move { slice, from: None, to, weight: 1.0 })
    }

    fn most_loaded_in(&self, zone: ZoneId, route: RouteId) -> Option<HostId> {
        let in_zone = self.guard.pool.open_hosts().filter(|(_, host)| host.zone == zone);
        let load = |id: &HostId| {
            self.guard.loads.host_load(*id).map_or(0.0, |load| load.by_route[usize::from(route.0)])
        };
        in_zone.map(|(id, _)| id).max_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// Moves a weight from a host: the smallest one that removes the excess, otherwise the largest one for
    /// which another host has headroom.
    fn relieve(&self, excess: &Excess) -> Option<Move> {
        let mut contributions = self.contributions(excess)?;
        let suffices = |relief: f64| relief >= excess.calls;
        let key = |relief: f64| if suffices(relief) { (0, relief) } else { (1, -relief) };
        contributions.sort_by(|a, b| key(a.relief).partial_cmp(&key(b.relief)).unwrap_or(Ordering::Equal));
        contributions.into_iter().find_map(|contribution| {
            let slice = contribution.slice;
            let table = &self.guard.loads.tables()[&slice];
            let to = self.host_with_headroom(table, contribution.calls, excess.excluded_zone)?;
            Some(Move { slice, from: Some(excess.host), to, weight: table.weights[&excess.host] })
        })
    }

    /// The tables that contribute to the excess load.
    fn contributions(&self, excess: &Excess) -> Option<Vec<Contribution>> {
        let loads = &self.guard.loads;
        let mut contributions = Vec::new();
        for slice in &loads.host_load(excess.host)?.tables {
            let table = loads.tables().get(slice)?;
            let weight = table.weights.get(&excess.host).copied().unwrap_or(0.0);
            let open = table.weights.iter().filter(|(id, _)| loads.is_open(**id));
            let open_weight: f64 = open.map(|(_, weight)| weight).sum();
            let share = weight / open_weight.max(1e-9);
            let calls = share * table.calls();
            let relief = match excess.kind {
                LoadKind::AllCalls => calls,
                LoadKind::WorstCase => table.calls(),
                LoadKind::Route(route) => {
                    share * table.demand.get(usize::from(route.0)).copied().unwrap_or(0.0)
                }
            };
            if relief > 0.0 {
                contributions.push(Contribution { slice: *slice, relief, calls });
            }
        }
        Some(contributions)
    }

    /// The host outside a table that has the most headroom for `calls` more of its calls; a cold host only if
    /// no warm host has headroom.
    fn host_with_headroom(&self, table: &Table, calls: f64, excluded_zone: Option<ZoneId>) -> Option<HostId> {
        let model = &self.guard.pool.capacity_model;
        let allowed = self.guard.pool.open_hosts().filter(|(id, host)| {
            !table.weights.contains_key(id) && !self.leaving.contains(id) && Some(host.zone) != excluded_zone
        });
        let keyed = allowed.filter_map(|(id, host)| {
            Some(((host.is_warm(self.now, model), self.headroom(id, host, table, calls)?), id))
        });
        keyed.max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal)).map(|(_, id)| id)
    }

    /// The headroom of a host after adding `calls` calls of a table; while capacities are unknown, the
    /// negated current load, for comparison only. `None`: the calls do not fit.
    fn headroom(&self, id: HostId, host: &Host, table: &Table, calls: f64) -> Option<f64> {
        let model = &self.guard.pool.capacity_model;
        let load = self.guard.loads.host_load(id);
        let present = load.map_or(0.0, |load| load.calls);
        let worst_case = load.map_or(0.0, |load| load.worst_case_calls);
        let headroom = host.call_limit(self.now, model) - present - calls;
        let worst_case_headroom = host.collapse_limit(self.now, model) - worst_case - table.calls();
        let fits = headroom >= 0.0 && worst_case_headroom >= 0.0;
        fits.then_some(if headroom.is_finite() { headroom } else { -present })
    }

    /// The host outside a table with the lowest load relative to its capacity. Hosts without a pending
    /// departure come first, then warm hosts.
    fn least_loaded(&self, table: &Table) -> Option<HostId> {
        let model = &self.guard.pool.capacity_model;
        let key = |id: HostId, host: &Host| {
            let present = self.guard.loads.host_load(id).map_or(0.0, |load| load.calls);
            let relative_capacity = host.relative_capacity(self.now, model);
            let load = (present + table.calls()) / relative_capacity.max(1e-9);
            (self.leaving.contains(&id), (!host.is_warm(self.now, model), load))
        };
        // A host that leaves soon is better than none, but is no use if the table already has an open host.
        let is_uncovered = !table.weights.keys().any(|host| self.guard.loads.is_open(*host));
        let is_allowed =
            |id: &HostId| !table.weights.contains_key(id) && (is_uncovered || !self.leaving.contains(id));
        let allowed = self.guard.pool.open_hosts().filter(|(id, _)| is_allowed(id));
        let keyed = allowed.map(|(id, host)| (key(id, host), id));
        keyed.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal)).map(|(_, id)| id)
    }
}
