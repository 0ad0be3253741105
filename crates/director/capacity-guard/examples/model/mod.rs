//! Random pools, tables and proposals, and an oracle that evaluates them by the definitions of
//! `docs/guard.md` without sharing code with the guard. For small pools it also finds the best table, by
//! exhaustive search.

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{
    CapacityModel, Estimate, Guard, Host, HostEvent, ListedState, PendingEvent, Pool, Table,
};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const ROUTES: usize = 2;

#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) pool: Pool,
    pub(crate) tables: BTreeMap<SliceId, Table>,
    pub(crate) calls: Vec<Vec<Order>>,
    pub(crate) pending: Vec<PendingEvent>,
    pub(crate) now: f64,
}

fn pick<T: Copy>(rng: &mut Rng, of: &[T]) -> T {
    of[rng.usize(0..of.len())]
}

impl Case {
    pub(crate) fn random(seed: u64, hosts: usize, slices: usize) -> Case {
        let mut rng = Rng::with_seed(seed);
        let c = &mut rng;
        let now = 100.0;
        let capacity = (c.u8(0..5) > 0).then_some(Estimate { low: 8.0, middle: 10.0 });
        let capacity_model = CapacityModel {
            cold_capacity_share: 0.2,
            slow_start_duration: 10.0,
            collapse_multiple: pick(c, &[1.5, 2.5, 4.0]),
            capacity,
        };
        let host = |k: usize, c: &mut Rng| {
            let state = pick(
                c,
                &[
                    ListedState::Ready,
                    ListedState::Ready,
                    ListedState::Ready,
                    ListedState::Ready,
                    ListedState::Draining,
                    ListedState::Removed,
                ],
            );
            let started_at = pick(c, &[None, None, Some(99.0), Some(94.0), Some(80.0)]);
            let (weight, proven, out) = (pick(c, &[1.0, 1.0, 0.5, 2.0]), c.u8(0..12) > 0, c.u8(0..12) == 0);
            let zone = ZoneId((k % 2) as u16);
            (HostId(k as u32), Host { state, zone, weight, started_at, proven, withdrawn: out, speed: 1.0 })
        };
        let pool = Pool { hosts: (0..hosts).map(|k| host(k, c)).collect(), capacity_model };
        let any = |c: &mut Rng| HostId(c.u32(0..hosts as u32));
        let table = |c: &mut Rng| {
            let full = pick(c, &[1.0, 3.0, 6.0, 14.0]);
            let demand = (0..ROUTES).map(|_| full * c.f64()).collect();
            let lines =
                (0..pick(c, &[0, 1, 2, 2, 2, 3])).map(|_| (any(c), pick(c, &[1.0, 1.0, 0.1, 0.001, 50.0])));
            Table { demand, weights: lines.collect() }
        };
        let tables: BTreeMap<SliceId, Table> = (0..slices).map(|k| (SliceId(k as u16), table(c))).collect();
        let order = |c: &mut Rng| {
            let slice = SliceId(c.u16(0..slices as u16));
            match c.u8(0..10) {
                0 => Order::ClearTable(slice),
                1 => Order::SetWithdrawn { host: any(c), withdrawn: c.bool() },
                2..=4 => Order::SetWeight { slice, host: any(c), weight: 0.0 },
                _ => Order::SetWeight { slice, host: any(c), weight: pick(c, &[1.0, 1.0, 0.1, 20.0]) },
            }
        };
        let calls =
            (0..pick(c, &[1, 1, 2, 3])).map(|_| (0..c.usize(1..4)).map(|_| order(c)).collect()).collect();
        let event = |c: &mut Rng| PendingEvent {
            at: now + pick(c, &[2.0, 5.0, 5.0, 40.0]),
            host: any(c),
            event: if c.u8(0..3) > 0 { HostEvent::Leaves } else { HostEvent::Opens },
        };
        let pending = (0..pick(c, &[0, 0, 1, 2])).map(|_| event(c)).collect();
        Case { pool, tables, calls, pending, now }
    }

    pub(crate) fn guard(&self) -> Guard {
        Guard::new(self.pool.clone(), &self.tables, ROUTES)
    }
}

/// What is unsafe: the excess by kind, subject and route.
pub(crate) type Excesses = BTreeMap<(u8, u32, u16), f64>;

/// The sums of the excesses: slices without an open host, overloaded cold hosts, overloaded warm hosts, and
/// concentrations.
pub(crate) type OracleSeverity = [f64; 4];

#[derive(Clone)]
pub(crate) struct World {
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) lines: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
}

/// The load of one host: in all routes, if all other hosts of its tables fail, and by route.
#[derive(Default)]
struct OracleHostLoad {
    calls: f64,
    worst_case: f64,
    by_route: [f64; ROUTES],
}

#[derive(Default)]
struct OracleLoad {
    hosts: BTreeMap<HostId, OracleHostLoad>,
    totals: [f64; ROUTES],
    /// By route, the highest demand of one slice.
    largest: [f64; ROUTES],
    uncovered: BTreeSet<SliceId>,
}

fn age(host: &Host, at: f64) -> f64 {
    host.started_at.map_or(1e9, |started_at| (at - started_at).max(0.0))
}

fn capacity_share(model: &CapacityModel, host: &Host, at: f64) -> f64 {
    (model.cold_capacity_share
        + (1.0 - model.cold_capacity_share) * age(host, at) / model.slow_start_duration)
        .clamp(0.01, 1.0)
}

impl World {
    pub(crate) fn of(case: &Case) -> World {
        let lines = case.tables.iter().map(|(slice, table)| (*slice, table.weights.clone())).collect();
        World { hosts: case.pool.hosts.clone(), lines }
    }

    pub(crate) fn apply(&mut self, order: &Order) {
        match order {
            Order::SetWeight { slice, host, weight } if *weight > 0.0 => {
                self.lines.entry(*slice).or_default().insert(*host, *weight);
            }
            Order::SetWeight { slice, host, .. } => _ = self.lines.entry(*slice).or_default().remove(host),
            Order::ClearTable(slice) => drop(self.lines.insert(*slice, BTreeMap::new())),
            Order::SetWithdrawn { host, withdrawn: out } => {
                self.hosts.entry(*host).and_modify(|host| host.withdrawn = *out);
            }
            _ => {}
        }
    }

    fn open(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|h| h.state == ListedState::Ready && h.proven && !h.withdrawn)
    }

    /// The load of each host and route, computed directly from the tables.
    fn load(&self, case: &Case) -> OracleLoad {
        let mut load = OracleLoad::default();
        for (slice, lines) in &self.lines {
            let demand = &case.tables[slice].demand;
            for (route, calls) in demand.iter().enumerate() {
                load.totals[route] += calls;
                load.largest[route] = load.largest[route].max(*calls);
            }
            let open: Vec<(&HostId, &f64)> = lines.iter().filter(|(host, _)| self.open(host)).collect();
            let sum: f64 = open.iter().map(|(_, weight)| **weight).sum();
            if open.is_empty() {
                load.uncovered.insert(*slice);
            }
            for (host, weight) in open {
                let entry = load.hosts.entry(*host).or_default();
                entry.calls += weight / sum * demand.iter().sum::<f64>();
                entry.worst_case += demand.iter().sum::<f64>();
                (0..ROUTES).for_each(|route| entry.by_route[route] += weight / sum * demand[route]);
            }
        }
        load
    }

    /// Everything that is unsafe at a time, computed from the definitions.
    pub(crate) fn excesses(&self, case: &Case, at: f64) -> Excesses {
        let load = self.load(case);
        let mut excesses: Excesses =
            load.uncovered.iter().map(|slice| ((0, u32::from(slice.0), 0), 1.0)).collect();
        self.host_excesses(case, at, &load, &mut excesses);
        self.zone_excesses(case, at, &load, &mut excesses);
        excesses
    }

    fn open_hosts(&self) -> impl Iterator<Item = (&HostId, &Host)> {
        self.hosts.iter().filter(|(id, _)| self.open(id))
    }

    fn host_excesses(&self, case: &Case, at: f64, load: &OracleLoad, excesses: &mut Excesses) {
        let (model, totals) = (&case.pool.capacity_model, &load.totals);
        let relative_capacity = |h: &Host| h.weight * capacity_share(model, h, at);
        let all: f64 = self.open_hosts().map(|(_, h)| relative_capacity(h)).sum();
        for (id, h) in self.open_hosts() {
            let Some(host) = load.hosts.get(id).filter(|host| host.calls > 0.0) else { continue };
            if let Some(capacity) = model.capacity {
                let cold = capacity_share(model, h, at) < 1.0;
                let unproven = cold || age(h, at) < model.slow_start_duration + 30.0;
                let capacity_at_weight_1 = if unproven { capacity.low } else { capacity.middle };
                let multiple = if cold { (0.6 * model.collapse_multiple).max(1.0) } else { 1.25 };
                let fair =
                    if cold { 0.0 } else { 2.0 * totals.iter().sum::<f64>() * relative_capacity(h) / all };
                let limit = f64::max(relative_capacity(h) * capacity_at_weight_1 * multiple, fair);
                let collapse_limit = relative_capacity(h) * capacity.low * model.collapse_multiple;
                if host.calls > limit * 1.001 {
                    excesses.insert((if cold { 1 } else { 2 }, id.0, 0), host.calls / limit - 1.0);
                } else if cold && host.worst_case > collapse_limit * 1.001 {
                    excesses.insert((1, id.0, 0), host.worst_case / collapse_limit - 1.0);
                }
            }
            let is_judged = |route: &usize| self.open_hosts().count() >= 4 && totals[*route] >= 1.0;
            for route in (0..ROUTES).filter(is_judged) {
                let bound = 3.0 * relative_capacity(h) / all + load.largest[route] / totals[route];
                if host.by_route[route] / totals[route] > bound * 1.001 {
                    excesses.insert((3, id.0, route as u16), host.by_route[route] / totals[route] - bound);
                }
            }
        }
    }

    fn zone_excesses(&self, case: &Case, at: f64, load: &OracleLoad, excesses: &mut Excesses) {
        let (model, totals) = (&case.pool.capacity_model, &load.totals);
        let relative_capacity = |h: &Host| h.weight * capacity_share(model, h, at);
        let all: f64 = self.open_hosts().map(|(_, h)| relative_capacity(h)).sum();
        let zones: BTreeSet<ZoneId> = self.open_hosts().map(|(_, h)| h.zone).collect();
        for zone in zones.iter().filter(|_| zones.len() > 1 && self.open_hosts().count() >= 4) {
            let within = || self.open_hosts().filter(|(_, h)| h.zone == *zone);
            for route in (0..ROUTES).filter(|route| totals[*route] >= 1.0) {
                let part = |id| Some(load.hosts.get(id)?.by_route[route] / totals[route]);
                let share: f64 = within().filter_map(|(id, _)| part(id)).sum();
                let zone_capacity = within().map(|(_, h)| relative_capacity(h)).sum::<f64>();
                let bound = 2.0 * zone_capacity / all + load.largest[route] / totals[route];
                if share > bound * 1.001 {
                    excesses.insert((4, zone.0.into(), route as u16), share - bound);
                }
            }
        }
    }

    /// What is unsafe now, and at the time of each pending event.
    pub(crate) fn ahead(&self, case: &Case) -> Vec<Excesses> {
        let mut world = self.clone();
        let mut pending: Vec<&PendingEvent> =
            case.pending.iter().filter(|event| event.at <= case.now + 15.0).collect();
        pending.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut found = vec![self.excesses(case, case.now)];
        for (k, event) in pending.iter().enumerate() {
            world.hosts.entry(event.host).and_modify(|host| match event.event {
                HostEvent::Leaves => (host.state, host.proven) = (ListedState::Draining, true),
                HostEvent::Opens => {
                    (host.state, host.proven, host.withdrawn) = (ListedState::Ready, true, false)
                }
            });
            if pending.get(k + 1).is_none_or(|next| next.at > event.at) {
                found.push(world.excesses(case, event.at));
            }
        }
        found
    }
}

pub(crate) fn severity(moments: &[Excesses]) -> OracleSeverity {
    let of = |excesses: &Excesses| {
        let mut sums = [0.0; 4];
        excesses.iter().for_each(|((kind, ..), excess)| sums[(*kind as usize).min(3)] += excess);
        sums
    };
    moments.iter().map(of).fold([0.0; 4], |a, b| if less(&a, &b) { b } else { a })
}

pub(crate) fn less(a: &OracleSeverity, b: &OracleSeverity) -> bool {
    let first = a.iter().zip(b).find(|(a, b)| (*a - *b).abs() > 1e-6);
    first.is_some_and(|(a, b)| a < b)
}

fn known(old: &Excesses, subject: &(u8, u32, u16), excess: f64) -> bool {
    old.get(subject).is_some_and(|old| excess <= old * 1.01 + 0.01 + 1e-9)
}

/// Whether at any time something is unsafe that is not, or is less so, in `before` at the same time.
pub(crate) fn worsens(before: &[Excesses], after: &[Excesses]) -> bool {
    let worse = |(new, old): (&Excesses, &Excesses)| {
        new.iter().any(|(subject, excess)| !known(old, subject, *excess))
    };
    after.iter().zip(before).any(worse)
}

/// Whether the proposal makes anything unsafe that would be safe without it.
pub(crate) fn is_unsafe(case: &Case) -> bool {
    let mut world = World::of(case);
    let before = world.ahead(case);
    let mut between = Vec::new();
    for (k, call) in case.calls.iter().enumerate() {
        call.iter().for_each(|order| world.apply(order));
        if k + 1 < case.calls.len() {
            between.push(world.excesses(case, case.now));
        }
    }
    let after = world.ahead(case);
    let passing = between.iter().any(|new| {
        new.iter().any(|(subject, excess)| {
            !known(&before[0], subject, *excess) && !known(&after[0], subject, *excess)
        })
    });
    worsens(&before, &after) || passing
}

/// The world with all calls of the proposal applied.
pub(crate) fn after_proposal(case: &Case) -> World {
    let mut world = World::of(case);
    case.calls.iter().flatten().for_each(|order| world.apply(order));
    world
}

/// The best results among all tables with one or two equal weights and the proposed tables.
#[allow(dead_code)] // The tests do not search for the best table, which would take too long.
pub(crate) struct Best {
    /// The lowest severity.
    pub(crate) least: OracleSeverity,
    /// The fewest changed tables with which nothing is unsafe.
    pub(crate) fewest: Option<usize>,
    /// The fewest changed tables with which nothing is worse than without the proposal, and the severity is lower.
    pub(crate) safe: Option<usize>,
}

#[allow(dead_code)]
pub(crate) fn best(case: &Case) -> Best {
    let (proposed, before) = (after_proposal(case), World::of(case).ahead(case));
    let hosts: Vec<HostId> = case.pool.hosts.keys().copied().collect();
    let mut choices: Vec<BTreeMap<HostId, f64>> =
        hosts.iter().map(|host| BTreeMap::from([(*host, 1.0)])).collect();
    for (k, a) in hosts.iter().enumerate() {
        choices.extend(hosts[k + 1..].iter().map(|b| BTreeMap::from([(*a, 1.0), (*b, 1.0)])));
    }
    let slices: Vec<SliceId> = proposed.lines.keys().copied().collect();
    let mut best = Best { least: severity(&proposed.ahead(case)), fewest: None, safe: None };
    let mut at = vec![0; slices.len()];
    loop {
        let mut world = proposed.clone();
        for (slice, choice) in slices.iter().zip(&at) {
            if *choice > 0 {
                world.lines.insert(*slice, choices[choice - 1].clone());
            }
        }
        let ahead = world.ahead(case);
        let current = severity(&ahead);
        if less(&current, &best.least) {
            best.least = current;
        }
        let changed = at.iter().filter(|choice| **choice > 0).count();
        let fewer = |of: Option<usize>| Some(of.map_or(changed, |fewest| fewest.min(changed)));
        if current == [0.0; 4] {
            best.fewest = fewer(best.fewest);
        }
        if !worsens(&before, &ahead) && less(&current, &severity(&before)) {
            best.safe = fewer(best.safe);
        }
        let Some(turn) = at.iter().position(|choice| *choice < choices.len()) else { break };
        at[turn] += 1;
        at[..turn].iter_mut().for_each(|choice| *choice = 0);
    }
    best
}
