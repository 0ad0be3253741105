//! Repair by linear programming, for cases in which moving single weights is not enough. The variables are
//! the shares of the involved tables, the constraints are the bounds of all hosts and zones now and at all
//! pending events, and the objective is to move as few calls as possible. The solver (`microlp`) uses the
//! simplex method. The result is used only if the guard, which inspects it like any proposal, finds it less
//! severe.
//!
//! It takes milliseconds where the greedy search takes microseconds, so it runs only if the greedy search
//! found no complete repair.

use crate::bound::LoadBound;
use crate::guard::Guard;
use crate::pool::{HostEvent, PendingEvent};
use crate::repair::moves::{net_moves, weights_of, Repair, Weights};
use crate::repair::program_tables::{hosts_of, program_tables, HostBounds, ProgramTable, BOUND_MARGIN};
use coppersail::interface::{HostId, SliceId, ZoneId};
use good_lp::{
    constraint, microlp, variable, Constraint, Expression, ProblemVariables, Solution, SolverModel, Variable,
};
use std::collections::{BTreeMap, BTreeSet};

/// Shares below this are dropped: they would cost a message to every proxy for about one call per minute.
const MIN_SHARE: f64 = 0.005;
/// Weights that differ by less than this share are left unchanged.
const SAME_SHARE: f64 = 1e-6;
/// Cost of moving a call to a cold host, relative to a warm one: the caches of a cold host are empty.
const COLD_COST: f64 = 3.0;
/// Cost of moving a call to a host that is new in the table, relative to one that is in it: the new weight is
/// a message to each proxy.
const NEW_HOST_COST: f64 = 1.2;
/// Lower limit of the calls per second of a table in the objective; a table without demand could otherwise be
/// moved at no cost.
const MIN_CALLS_PER_S: f64 = 0.01;

/// Identifies a variable: the share of a host in the table with this index.
type CellId = (usize, HostId);

/// Load from tables outside the program, in calls per second.
struct FixedLoad {
    calls: f64,
    by_route: Vec<f64>,
}

/// Repairs the guard's current tables, within the bounds of the hosts. The guard is unchanged when this
/// returns.
pub(crate) fn repair<'b>(
    guard: &mut Guard,
    touched: &BTreeSet<HostId>,
    pending: &[PendingEvent],
    now: f64,
    bound: &dyn Fn(HostId) -> &'b LoadBound,
) -> Option<Repair> {
    let leaving = hosts_of(pending, HostEvent::Leaves);
    // Only hosts that are open now and stay open get a share: not those that leave, nor those that open
    // later.
    let open = guard.pool.open_hosts().map(|(id, _)| id).filter(|id| !leaving.contains(id));
    let bounds: HostBounds = open.map(|id| (id, bound(id))).collect();
    let tables = program_tables(guard, touched, pending, now, &bounds)?;
    let program = Program { guard, tables: &tables, bounds: &bounds, now };
    let shares = program.solve()?;
    let after = changed_weights(guard, &tables, &shares);
    if after.is_empty() {
        return None;
    }
    let before = weights_of(guard, after.keys());
    let all_hosts = guard.all_hosts();
    let proposed = guard.severity(&all_hosts, pending, now);
    set_tables(guard, &after);
    let left = guard.severity(&all_hosts, pending, now);
    set_tables(guard, &before);
    let moves = net_moves(&before, &after);
    left.is_less(&proposed).then_some(Repair { moves, left, cut_off: false })
}

fn set_tables(guard: &mut Guard, tables: &BTreeMap<SliceId, Weights>) {
    for (slice, weights) in tables {
        guard.loads.clear_table(*slice);
        weights.iter().for_each(|(host, weight)| guard.loads.set_weight(*slice, *host, *weight));
    }
}

struct Program<'a> {
    guard: &'a Guard,
    tables: &'a [ProgramTable],
    bounds: &'a HostBounds<'a>,
    now: f64,
}

impl Program<'_> {
    /// The shares that move the fewest calls within all bounds. `None`: the program has no solution.
    fn solve(&self) -> Option<BTreeMap<CellId, f64>> {
        let mut variables = ProblemVariables::new();
        let mut cells: BTreeMap<CellId, Variable> = BTreeMap::new();
        let mut constraints: Vec<Constraint> = Vec::new();
        let cost = self.add_variables(&mut variables, &mut cells, &mut constraints);
        for (index, table) in self.tables.iter().enumerate() {
            let sum: Expression = table.allowed.iter().map(|host| cells[&(index, *host)]).sum();
            constraints.push(constraint!(sum == 1.0));
        }
        let fixed = self.fixed_loads();
        self.bound_hosts(&cells, &fixed, &mut constraints);
        self.bound_zones(&cells, &fixed, &mut constraints);
        let model = variables.minimise(cost).using(microlp);
        let model = constraints.into_iter().fold(model, |model, constraint| model.with(constraint));
        let solution = model.solve().ok()?;
        Some(cells.into_iter().map(|(cell, share)| (cell, solution.value(share))).collect())
    }

    /// Adds a variable for each share, and one for its increase if the table already contains the host.
    /// Returns the objective.
    fn add_variables(
        &self,
        variables: &mut ProblemVariables,
        cells: &mut BTreeMap<CellId, Variable>,
        constraints: &mut Vec<Constraint>,
    ) -> Expression {
        let mut cost = Expression::from(0.0);
        for (index, table) in self.tables.iter().enumerate() {
            for host in &table.allowed {
                let share = variables.add(variable().min(0.0).max(1.0));
                cells.insert((index, *host), share);
                let is_warm = self.guard.pool.hosts[host].is_warm(self.now, &self.guard.pool.capacity_model);
                let call_cost = table.calls.max(MIN_CALLS_PER_S) * if is_warm { 1.0 } else { COLD_COST };
                match table.shares.get(host).copied().unwrap_or(0.0) {
                    proposed if proposed > 0.0 => {
                        let increase = variables.add(variable().min(0.0));
                        constraints.push(constraint!(increase >= share - proposed));
                        cost += call_cost * increase;
                    }
                    _ => cost += call_cost * NEW_HOST_COST * share,
                }
            }
        }
        cost
    }

    /// The load of each host from tables outside the program.
    fn fixed_loads(&self) -> BTreeMap<HostId, FixedLoad> {
        let mut fixed: BTreeMap<HostId, FixedLoad> = BTreeMap::new();
        for id in self.bounds.keys() {
            let load = self.guard.loads.host_load(*id).cloned().unwrap_or_default();
            let mut by_route = load.by_route;
            by_route.resize(self.guard.loads.routes(), 0.0);
            fixed.insert(*id, FixedLoad { calls: load.calls, by_route });
        }
        for table in self.tables {
            for (host, share) in &table.shares {
                let Some(load) = fixed.get_mut(host) else { continue };
                load.calls -= share * table.calls;
                load.by_route.iter_mut().zip(&table.demand).for_each(|(sum, calls)| *sum -= share * calls);
            }
        }
        fixed
    }

    /// The load that the program assigns to a host; `calls` gives the calls of a table that count.
    fn host_load(
        &self,
        cells: &BTreeMap<CellId, Variable>,
        host: HostId,
        calls: &dyn Fn(&ProgramTable) -> f64,
    ) -> Expression {
        let tables = self.tables.iter().enumerate();
        let terms = tables.filter_map(|(index, table)| Some((cells.get(&(index, host))?, calls(table))));
        terms.map(|(share, calls)| calls * *share).sum()
    }

    fn bound_hosts(
        &self,
        cells: &BTreeMap<CellId, Variable>,
        fixed: &BTreeMap<HostId, FixedLoad>,
        constraints: &mut Vec<Constraint>,
    ) {
        for (host, bound) in self.bounds {
            let fixed = &fixed[host];
            if bound.calls.is_finite() {
                let headroom = (BOUND_MARGIN * bound.calls - fixed.calls).max(0.0);
                constraints.push(constraint!(self.host_load(cells, *host, &|table| table.calls) <= headroom));
            }
            for (route, (bound, fixed)) in bound.by_route.iter().zip(&fixed.by_route).enumerate() {
                if bound.is_finite() {
                    let headroom = (BOUND_MARGIN * bound - fixed).max(0.0);
                    let load = self.host_load(cells, *host, &|table| table.demand[route]);
                    constraints.push(constraint!(load <= headroom));
                }
            }
        }
    }

    fn bound_zones(
        &self,
        cells: &BTreeMap<CellId, Variable>,
        fixed: &BTreeMap<HostId, FixedLoad>,
        constraints: &mut Vec<Constraint>,
    ) {
        let zone_of = |host: &HostId| self.guard.pool.hosts[host].zone;
        let zones: BTreeSet<ZoneId> = self.bounds.keys().map(zone_of).collect();
        for zone in zones {
            let hosts = || self.bounds.iter().filter(|(host, _)| zone_of(host) == zone);
            for route in 0..self.guard.loads.routes() {
                let bounds = hosts().map(|(_, bound)| bound.zone_by_route[route]);
                let bound = bounds.fold(f64::INFINITY, f64::min);
                if bound.is_finite() {
                    let fixed: f64 = hosts().map(|(host, _)| fixed[host].by_route[route]).sum();
                    let load = |host| self.host_load(cells, host, &|table| table.demand[route]);
                    let load: Expression = hosts().map(|(host, _)| load(*host)).sum();
                    constraints.push(constraint!(load <= (BOUND_MARGIN * bound - fixed).max(0.0)));
                }
            }
        }
    }
}

/// The new weights of the tables that the program changes.
fn changed_weights(
    guard: &Guard,
    tables: &[ProgramTable],
    shares: &BTreeMap<CellId, f64>,
) -> BTreeMap<SliceId, Weights> {
    let mut changed = BTreeMap::new();
    for (index, table) in tables.iter().enumerate() {
        let share = |host: &HostId| shares.get(&(index, *host)).copied().filter(|share| *share >= MIN_SHARE);
        let proposed = |host: &HostId| table.shares.get(host).copied().unwrap_or(0.0);
        let is_same = |host: &HostId| (share(host).unwrap_or(0.0) - proposed(host)).abs() < MIN_SHARE;
        if table.shares.keys().chain(&table.allowed).all(is_same) {
            continue;
        }
        // Shares are scaled to the weights of the table, so that unchanged weights need not be sent again.
        let old = &guard.loads.tables()[&table.slice].weights;
        let scale: f64 = old.iter().filter(|(host, _)| proposed(host) > 0.0).map(|(_, weight)| weight).sum();
        let scale = if scale > 0.0 { scale } else { 1.0 };
        let weights = table.allowed.iter().filter_map(|host| Some((*host, share(host)? * scale)));
        let keep_same = |(host, weight): (HostId, f64)| match old.get(&host) {
            Some(old) if (old / scale - weight / scale).abs() < SAME_SHARE => (host, *old),
            _ => (host, weight),
        };
        changed.insert(table.slice, weights.map(keep_same).collect());
    }
    changed
}
