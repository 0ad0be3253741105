//! A repair by weights, where moving whole lines does not suffice: a linear program over the shares of the tables that
//! matter. It asks least of what the proposal had changed, keeps every bound of `danger` at every moment ahead, and is
//! offered only when the guard, looking at the result as at any proposal, finds it better.
//!
//! When it may hurt: it costs milliseconds where the greedy repair costs microseconds, so it runs only when that one
//! left something, and never past `CELLS_MOST`; then the greedy one stands.

use crate::danger::Bound;
use crate::pool::{Change, Pending};
use crate::repair::{net, tables_of, Lines, Repair};
use crate::verdict::Guard;
use coppersail::interface::{HostId, SliceId, ZoneId};
use good_lp::{constraint, microlp, variable, Expression, ProblemVariables, Solution, SolverModel, Variable};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Tables times hosts of one program. So many are solved in some milliseconds (`docs/guard.md` has the figures).
const CELLS_MOST: usize = 1500;
/// Hosts that may be given new lines, those with most room first; more make the program larger and hardly better.
const TAKERS_MOST: usize = 12;
/// A share below this is no line: it would be told to every proxy and bring a call a minute.
const SHARE_LEAST: f64 = 0.005;
/// Bounds are kept a little short, for what is rounded away.
const SHORT: f64 = 0.995;
/// What a call to a cold host costs against one to a warm host, where both are moved: caches there are empty.
const COLD_COSTS: f64 = 3.0;
/// A moved call costs this much more where the table had no line to that host before: a line is a message to each proxy.
const NEW_COSTS: f64 = 1.2;

/// One table within the program.
struct Row {
    slice: SliceId,
    calls: f64,
    demand: Vec<f64>,
    /// Shares as proposed, of open lines.
    shares: BTreeMap<HostId, f64>,
    /// Hosts that it may name.
    allowed: BTreeSet<HostId>,
}

/// Finds shares that keep all bounds. The guard is as before when it returns.
pub(crate) fn plan<'b>(
    guard: &mut Guard,
    touched: &BTreeSet<HostId>,
    pending: &[Pending],
    now: f64,
    bound: &dyn Fn(HostId) -> &'b Bound,
) -> Option<Repair> {
    let within = |change: Change| -> BTreeSet<HostId> {
        pending.iter().filter(|event| event.what == change).map(|event| event.host).collect()
    };
    let (leaving, opening) = (within(Change::Leaves), within(Change::Opens));
    // Who is open at every moment ahead: who leaves is none, nor who opens only later.
    let stays: BTreeSet<HostId> =
        guard.pool.open().map(|(id, _)| id).filter(|id| !leaving.contains(id)).collect();
    let bounds: BTreeMap<HostId, &Bound> = stays.iter().map(|id| (*id, bound(*id))).collect();
    let rows = rows(guard, touched, pending, now, (&bounds, &leaving, &opening))?;
    // What other tables bring: it stays as it is.
    let mut fixed: BTreeMap<HostId, (f64, Vec<f64>)> = BTreeMap::new();
    for id in &stays {
        let brought = guard.loads.brought(*id).cloned().unwrap_or_default();
        let mut by_route = brought.by_route;
        by_route.resize(guard.loads.routes(), 0.0);
        fixed.insert(*id, (brought.calls, by_route));
    }
    for row in &rows {
        for (host, share) in &row.shares {
            if let Some((calls, by_route)) = fixed.get_mut(host) {
                *calls -= share * row.calls;
                by_route.iter_mut().zip(&row.demand).for_each(|(sum, calls)| *sum -= share * calls);
            }
        }
    }
    let shares = solve(guard, &rows, &bounds, &fixed, now)?;
    let tables = rewritten(guard, &rows, &shares);
    if tables.is_empty() {
        return None;
    }
    let before = tables_of(guard, tables.keys());
    let all: BTreeSet<HostId> = guard.pool.hosts.keys().copied().collect();
    let proposed = guard.danger(&all, pending, now);
    write(guard, &tables);
    let left = guard.danger(&all, pending, now);
    write(guard, &before);
    let moves = before.iter().flat_map(|(slice, lines)| net(*slice, lines, &tables[slice])).collect();
    (left.compare(&proposed) == Ordering::Less).then_some(Repair { moves, left, cut_off: false })
}

fn write(guard: &mut Guard, tables: &BTreeMap<SliceId, Lines>) {
    for (slice, lines) in tables {
        guard.loads.clear(*slice);
        lines.iter().for_each(|(host, weight)| guard.loads.line(*slice, *host, *weight));
    }
}

/// The tables that have to do with what is unsafe, and whom each may name.
fn rows(
    guard: &mut Guard,
    touched: &BTreeSet<HostId>,
    pending: &[Pending],
    now: f64,
    (bounds_of, leaving, opening): (&BTreeMap<HostId, &Bound>, &BTreeSet<HostId>, &BTreeSet<HostId>),
) -> Option<Vec<Row>> {
    let found: Vec<_> = guard.ahead(touched, pending, now).into_iter().flat_map(|(_, found)| found).collect();
    let mut hosts: BTreeSet<HostId> = found.iter().filter_map(|reason| reason.host()).collect();
    hosts.extend(leaving.iter().chain(opening));
    let zones: BTreeSet<ZoneId> = found.iter().filter_map(|reason| reason.zone()).collect();
    let in_zone = guard.pool.hosts.iter().filter(|(_, host)| zones.contains(&host.zone));
    hosts.extend(in_zone.map(|(id, _)| *id));
    let mut slices: BTreeSet<SliceId> = guard.loads.bare().clone();
    let named = hosts.iter().filter_map(|host| guard.loads.brought(*host));
    slices.extend(named.flat_map(|brought| brought.tables.iter().copied()));
    let bounds = &guard.pool.bounds;
    let room = |id: &HostId| {
        let host = &guard.pool.hosts[id];
        let carried = guard.loads.brought(*id).map_or(0.0, |brought| brought.calls);
        let unit = host.unit(now, bounds).max(1e-9);
        (host.warm(now, bounds), -carried / unit)
    };
    let mut takers: Vec<HostId> = bounds_of.keys().copied().collect();
    takers.sort_by(|a, b| room(b).partial_cmp(&room(a)).unwrap_or(Ordering::Equal));
    takers.truncate(TAKERS_MOST);
    let mut rows: Vec<Row> = Vec::new();
    let mut cells = 0;
    for slice in slices {
        let table = guard.loads.tables().get(&slice)?;
        let shares: BTreeMap<HostId, f64> = guard.loads.shares(table).into_iter().collect();
        let own = shares.keys().filter(|host| bounds_of.contains_key(host));
        let allowed: BTreeSet<HostId> = own.chain(&takers).copied().collect();
        cells += allowed.len();
        if cells > CELLS_MOST {
            return None;
        }
        rows.push(Row { slice, calls: table.calls(), demand: table.demand.clone(), shares, allowed });
    }
    // All calls of a cold host's tables may come to it when the others fail, so it is named by as many as it stands.
    for id in bounds_of.keys().filter(|id| !guard.pool.hosts[id].warm(now, bounds)) {
        let stands = bounds_of[id].at_worst;
        let ours = rows.iter().filter(|row| row.shares.contains_key(id)).map(|row| row.calls).sum::<f64>();
        let others = guard.loads.brought(*id).map_or(0.0, |brought| brought.at_worst) - ours;
        let mut left = SHORT * stands - others;
        let mut order: Vec<usize> = (0..rows.len()).filter(|k| rows[*k].allowed.contains(id)).collect();
        let key = |k: &usize| (!rows[*k].shares.contains_key(id), rows[*k].calls);
        order.sort_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal));
        for k in order {
            if rows[k].calls <= left {
                left -= rows[k].calls;
            } else {
                rows[k].allowed.remove(id);
            }
        }
    }
    (!rows.is_empty()).then_some(rows)
}

type Shares = BTreeMap<(usize, HostId), f64>;

/// The program: least calls moved, with every bound kept. None: there is no such table of these hosts.
fn solve(
    guard: &mut Guard,
    rows: &[Row],
    bounds: &BTreeMap<HostId, &Bound>,
    fixed: &BTreeMap<HostId, (f64, Vec<f64>)>,
    now: f64,
) -> Option<Shares> {
    let routes = guard.loads.routes();
    let mut variables = ProblemVariables::new();
    let mut cells: BTreeMap<(usize, HostId), Variable> = BTreeMap::new();
    let (mut cost, mut moved) = (Expression::from(0.0), Vec::new());
    for (k, row) in rows.iter().enumerate() {
        for host in &row.allowed {
            let share = variables.add(variable().min(0.0).max(1.0));
            cells.insert((k, *host), share);
            let warm = guard.pool.hosts[host].warm(now, &guard.pool.bounds);
            // A table that nobody asks for is moved at a price all the same, or it would wander for nothing.
            let each = row.calls.max(0.01) * if warm { 1.0 } else { COLD_COSTS };
            match row.shares.get(host).copied().unwrap_or(0.0) {
                was if was > 0.0 => {
                    let more = variables.add(variable().min(0.0));
                    moved.push(constraint!(more >= share - was));
                    cost += each * more;
                }
                _ => cost += each * NEW_COSTS * share,
            }
        }
    }
    let mut model = variables.minimise(cost).using(microlp);
    for held in moved {
        model = model.with(held);
    }
    for (k, row) in rows.iter().enumerate() {
        let sum: Expression = row.allowed.iter().map(|host| cells[&(k, *host)]).sum();
        model = model.with(constraint!(sum == 1.0));
    }
    let column = |host: &HostId, each: &dyn Fn(&Row) -> f64| -> Expression {
        let own = rows.iter().enumerate().filter_map(|(k, row)| Some((cells.get(&(k, *host))?, each(row))));
        own.map(|(cell, calls)| calls * *cell).sum()
    };
    for (host, bound) in bounds {
        let (calls, by_route) = &fixed[host];
        if bound.calls.is_finite() {
            model = model
                .with(constraint!(column(host, &|row| row.calls) <= (SHORT * bound.calls - calls).max(0.0)));
        }
        for (route, (most, brought)) in bound.routes.iter().zip(by_route).enumerate() {
            if most.is_finite() {
                let room = (SHORT * most - brought).max(0.0);
                model = model.with(constraint!(column(host, &|row| row.demand[route]) <= room));
            }
        }
    }
    let zones: BTreeSet<ZoneId> = bounds.keys().map(|host| guard.pool.hosts[host].zone).collect();
    for zone in zones {
        let within = || bounds.iter().filter(|(host, _)| guard.pool.hosts[host].zone == zone);
        for route in 0..routes {
            let most = within().map(|(_, bound)| bound.zone[route]).fold(f64::INFINITY, f64::min);
            if most.is_finite() {
                let other: f64 = within().map(|(host, _)| fixed[host].1[route]).sum();
                let sum: Expression = within().map(|(host, _)| column(host, &|row| row.demand[route])).sum();
                model = model.with(constraint!(sum <= (SHORT * most - other).max(0.0)));
            }
        }
    }
    let solution = model.solve().ok()?;
    Some(cells.into_iter().map(|(cell, share)| (cell, solution.value(share))).collect())
}

/// The tables that the program has changed, as they would be told.
fn rewritten(guard: &Guard, rows: &[Row], shares: &Shares) -> BTreeMap<SliceId, Lines> {
    let mut tables = BTreeMap::new();
    for (k, row) in rows.iter().enumerate() {
        let share = |host: &HostId| shares.get(&(k, *host)).copied().filter(|share| *share >= SHARE_LEAST);
        let hosts: BTreeSet<HostId> = row.shares.keys().chain(&row.allowed).copied().collect();
        let was = |host: &HostId| row.shares.get(host).copied().unwrap_or(0.0);
        if hosts.iter().all(|host| (share(host).unwrap_or(0.0) - was(host)).abs() < SHARE_LEAST) {
            continue;
        }
        // In the table's own measure, so that lines that stay are told no anew.
        let old = &guard.loads.tables()[&row.slice].lines;
        let measure: f64 = old.iter().filter(|(host, _)| was(host) > 0.0).map(|(_, weight)| weight).sum();
        let measure = if measure > 0.0 { measure } else { 1.0 };
        let lines = row.allowed.iter().filter_map(|host| Some((*host, share(host)? * measure)));
        // A line that is all but what it was stays to the bit.
        let same = |(host, weight): (HostId, f64)| match old.get(&host) {
            Some(old) if (old / measure - weight / measure).abs() < 1e-6 => (host, *old),
            _ => (host, weight),
        };
        tables.insert(row.slice, lines.map(same).collect());
    }
    tables
}

/// What a host may be brought at all moments ahead.
pub(crate) struct Ahead {
    /// By the definitions of `danger`.
    pub strict: Bound,
    /// The same, or what it is brought as tables stand, where that is more.
    pub no_worse: Bound,
}

impl Guard {
    /// The bounds of all hosts at all moments ahead, with the tables as they stand.
    pub(crate) fn bounds_ahead(&mut self, pending: &[Pending], now: f64) -> BTreeMap<HostId, Ahead> {
        let seen = self.each_moment(pending, now, &mut |guard, _, at| {
            let parts = guard.parts(at);
            let hosts = guard.pool.hosts.iter();
            let bound = |(id, host): (&HostId, &crate::pool::Host)| {
                let strict = Bound::of(&guard.pool, &guard.loads, &parts, *id, at);
                let no_worse = match guard.loads.brought(*id).filter(|_| guard.loads.is_open(*id)) {
                    Some(brought) => strict.or_as_it_is(&guard.loads, brought, host.zone),
                    None => strict.clone(),
                };
                (*id, Ahead { strict, no_worse })
            };
            hosts.map(bound).collect::<BTreeMap<HostId, Ahead>>()
        });
        let least = |mut all: BTreeMap<HostId, Ahead>, one: BTreeMap<HostId, Ahead>| {
            for (id, ahead) in one {
                match all.get_mut(&id) {
                    Some(old) => {
                        old.strict = old.strict.least(&ahead.strict);
                        old.no_worse = old.no_worse.least(&ahead.no_worse);
                    }
                    None => _ = all.insert(id, ahead),
                }
            }
            all
        };
        seen.into_iter().fold(BTreeMap::new(), least)
    }
}
