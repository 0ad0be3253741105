//! Pools, tables and proposals by chance, and an oracle that reckons everything anew by the definitions of
//! `docs/guard.md`, sharing no code with the guard; on small pools also the best table there is, by trying all.

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::{Bounds, Change, Estimate, Guard, Host, Pending, Pool, State, Table};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const ROUTES: usize = 2;

#[derive(Clone, Debug)]
pub struct Case {
    pub pool: Pool,
    pub tables: BTreeMap<SliceId, Table>,
    pub calls: Vec<Vec<Order>>,
    pub pending: Vec<Pending>,
    pub now: f64,
}

fn pick<T: Copy>(chance: &mut Rng, of: &[T]) -> T {
    of[chance.usize(0..of.len())]
}

impl Case {
    pub fn drawn(seed: u64, hosts: usize, slices: usize) -> Case {
        let mut chance = Rng::with_seed(seed);
        let c = &mut chance;
        let now = 100.0;
        let carries = (c.u8(0..5) > 0).then_some(Estimate { low: 8.0, middle: 10.0 });
        let bounds =
            Bounds { cold_from: 0.2, ramp_time: 10.0, fall_multiple: pick(c, &[1.5, 2.5, 4.0]), carries };
        let host = |k: usize, c: &mut Rng| {
            let state = pick(
                c,
                &[State::Ready, State::Ready, State::Ready, State::Ready, State::Draining, State::Gone],
            );
            let born = pick(c, &[None, None, Some(99.0), Some(94.0), Some(80.0)]);
            let (weight, proven, out) = (pick(c, &[1.0, 1.0, 0.5, 2.0]), c.u8(0..12) > 0, c.u8(0..12) == 0);
            let zone = ZoneId((k % 2) as u16);
            (HostId(k as u32), Host { state, zone, weight, born, proven, out, speed: 1.0 })
        };
        let pool = Pool { hosts: (0..hosts).map(|k| host(k, c)).collect(), bounds };
        let any = |c: &mut Rng| HostId(c.u32(0..hosts as u32));
        let table = |c: &mut Rng| {
            let full = pick(c, &[1.0, 3.0, 6.0, 14.0]);
            let demand = (0..ROUTES).map(|_| full * c.f64()).collect();
            let lines =
                (0..pick(c, &[0, 1, 2, 2, 2, 3])).map(|_| (any(c), pick(c, &[1.0, 1.0, 0.1, 0.001, 50.0])));
            Table { demand, lines: lines.collect() }
        };
        let tables: BTreeMap<SliceId, Table> = (0..slices).map(|k| (SliceId(k as u16), table(c))).collect();
        let order = |c: &mut Rng| {
            let slice = SliceId(c.u16(0..slices as u16));
            match c.u8(0..10) {
                0 => Order::Clear(slice),
                1 => Order::Withdraw { host: any(c), out: c.bool() },
                2..=4 => Order::Line { slice, host: any(c), weight: 0.0 },
                _ => Order::Line { slice, host: any(c), weight: pick(c, &[1.0, 1.0, 0.1, 20.0]) },
            }
        };
        let calls =
            (0..pick(c, &[1, 1, 2, 3])).map(|_| (0..c.usize(1..4)).map(|_| order(c)).collect()).collect();
        let event = |c: &mut Rng| Pending {
            at: now + pick(c, &[2.0, 5.0, 5.0, 40.0]),
            host: any(c),
            what: if c.u8(0..3) > 0 { Change::Leaves } else { Change::Opens },
        };
        let pending = (0..pick(c, &[0, 0, 1, 2])).map(|_| event(c)).collect();
        Case { pool, tables, calls, pending, now }
    }

    pub fn guard(&self) -> Guard {
        Guard::new(self.pool.clone(), &self.tables, ROUTES)
    }
}

/// What is wrong, by kind and about whom, and by how much.
pub type Wrongs = BTreeMap<(u8, u32, u16), f64>;

/// Bare slices, cold hosts pushed, warm ones overloaded, piles: each summed.
pub type Badness = [f64; 4];

#[derive(Clone)]
pub struct World {
    pub hosts: BTreeMap<HostId, Host>,
    pub lines: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
}

impl World {
    pub fn of(case: &Case) -> World {
        let lines = case.tables.iter().map(|(slice, table)| (*slice, table.lines.clone())).collect();
        World { hosts: case.pool.hosts.clone(), lines }
    }

    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::Line { slice, host, weight } if *weight > 0.0 => {
                self.lines.entry(*slice).or_default().insert(*host, *weight);
            }
            Order::Line { slice, host, .. } => _ = self.lines.entry(*slice).or_default().remove(host),
            Order::Clear(slice) => drop(self.lines.insert(*slice, BTreeMap::new())),
            Order::Withdraw { host, out } => {
                self.hosts.entry(*host).and_modify(|host| host.out = *out);
            }
            _ => {}
        }
    }

    fn open(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|h| h.state == State::Ready && h.proven && !h.out)
    }

    /// All that is wrong at a time, reckoned from nothing.
    pub fn wrongs(&self, case: &Case, at: f64) -> Wrongs {
        let b = &case.pool.bounds;
        let mut wrongs = Wrongs::new();
        let mut calls: BTreeMap<HostId, (f64, f64, [f64; ROUTES])> = BTreeMap::new();
        let (mut totals, mut most) = ([0.0; ROUTES], [0.0_f64; ROUTES]);
        for (slice, lines) in &self.lines {
            let demand = &case.tables[slice].demand;
            for route in 0..ROUTES {
                totals[route] += demand[route];
                most[route] = most[route].max(demand[route]);
            }
            let open: Vec<(&HostId, &f64)> = lines.iter().filter(|(host, _)| self.open(host)).collect();
            let sum: f64 = open.iter().map(|(_, weight)| **weight).sum();
            if open.is_empty() {
                wrongs.insert((0, slice.0.into(), 0), 1.0);
            }
            for (host, weight) in open {
                let entry = calls.entry(*host).or_default();
                entry.0 += weight / sum * demand.iter().sum::<f64>();
                entry.1 += demand.iter().sum::<f64>();
                (0..ROUTES).for_each(|route| entry.2[route] += weight / sum * demand[route]);
            }
        }
        let age = |h: &Host| h.born.map_or(1e9, |born| (at - born).max(0.0));
        let ramp = |h: &Host| (b.cold_from + (1.0 - b.cold_from) * age(h) / b.ramp_time).clamp(0.01, 1.0);
        let unit = |h: &Host| h.weight * ramp(h);
        let open = || self.hosts.iter().filter(|(id, _)| self.open(id));
        let all: f64 = open().map(|(_, h)| unit(h)).sum();
        for (id, h) in open() {
            let Some((now, worst, by_route)) = calls.get(id).filter(|c| c.0 > 0.0) else { continue };
            if let Some(carries) = b.carries {
                let cold = ramp(h) < 1.0;
                let per_unit = if cold || age(h) < b.ramp_time + 30.0 { carries.low } else { carries.middle };
                let multiple = if cold { (0.6 * b.fall_multiple).max(1.0) } else { 1.25 };
                let fair = if cold { 0.0 } else { 2.0 * totals.iter().sum::<f64>() * unit(h) / all };
                let limit = f64::max(unit(h) * per_unit * multiple, fair);
                let falls = unit(h) * carries.low * b.fall_multiple;
                if *now > limit * 1.001 {
                    wrongs.insert((if cold { 1 } else { 2 }, id.0, 0), now / limit - 1.0);
                } else if cold && *worst > falls * 1.001 {
                    wrongs.insert((1, id.0, 0), worst / falls - 1.0);
                }
            }
            for route in (0..ROUTES).filter(|route| open().count() >= 4 && totals[*route] >= 1.0) {
                let bound = 3.0 * unit(h) / all + most[route] / totals[route];
                if by_route[route] / totals[route] > bound * 1.001 {
                    wrongs.insert((3, id.0, route as u16), by_route[route] / totals[route] - bound);
                }
            }
        }
        let zones: BTreeSet<ZoneId> = open().map(|(_, h)| h.zone).collect();
        for zone in zones.iter().filter(|_| zones.len() > 1 && open().count() >= 4) {
            let within = || open().filter(|(_, h)| h.zone == *zone);
            for route in (0..ROUTES).filter(|route| totals[*route] >= 1.0) {
                let share: f64 =
                    within().filter_map(|(id, _)| Some(calls.get(id)?.2[route] / totals[route])).sum();
                let bound =
                    2.0 * within().map(|(_, h)| unit(h)).sum::<f64>() / all + most[route] / totals[route];
                if share > bound * 1.001 {
                    wrongs.insert((4, zone.0.into(), route as u16), share - bound);
                }
            }
        }
        wrongs
    }

    /// The same at each moment ahead, beginning with now.
    pub fn ahead(&self, case: &Case) -> Vec<Wrongs> {
        let mut world = self.clone();
        let mut pending: Vec<&Pending> =
            case.pending.iter().filter(|event| event.at <= case.now + 15.0).collect();
        pending.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut found = vec![self.wrongs(case, case.now)];
        for (k, event) in pending.iter().enumerate() {
            world.hosts.entry(event.host).and_modify(|host| match event.what {
                Change::Leaves => (host.state, host.proven) = (State::Draining, true),
                Change::Opens => (host.state, host.proven, host.out) = (State::Ready, true, false),
            });
            if pending.get(k + 1).is_none_or(|next| next.at > event.at) {
                found.push(world.wrongs(case, event.at));
            }
        }
        found
    }
}

pub fn badness(moments: &[Wrongs]) -> Badness {
    let of = |wrongs: &Wrongs| {
        let mut sums = [0.0; 4];
        wrongs.iter().for_each(|((kind, ..), much)| sums[(*kind as usize).min(3)] += much);
        sums
    };
    moments.iter().map(of).fold([0.0; 4], |a, b| if less(&a, &b) { b } else { a })
}

pub fn less(a: &Badness, b: &Badness) -> bool {
    let first = a.iter().zip(b).find(|(a, b)| (*a - *b).abs() > 1e-6);
    first.is_some_and(|(a, b)| a < b)
}

fn known(old: &Wrongs, about: &(u8, u32, u16), much: f64) -> bool {
    old.get(about).is_some_and(|old| much <= old * 1.01 + 0.01 + 1e-9)
}

/// Whether anything is unsafe at any moment that is not so, or not as much, at the same moment before.
pub fn worsens(before: &[Wrongs], after: &[Wrongs]) -> bool {
    let worse = |(new, old): (&Wrongs, &Wrongs)| new.iter().any(|(about, much)| !known(old, about, *much));
    after.iter().zip(before).any(worse)
}

/// Whether the proposal makes anything unsafe that would not be so without it.
pub fn is_unsafe(case: &Case) -> bool {
    let mut world = World::of(case);
    let before = world.ahead(case);
    let mut between = Vec::new();
    for (k, call) in case.calls.iter().enumerate() {
        call.iter().for_each(|order| world.apply(order));
        if k + 1 < case.calls.len() {
            between.push(world.wrongs(case, case.now));
        }
    }
    let after = world.ahead(case);
    let passing = between.iter().any(|new| {
        new.iter().any(|(about, much)| !known(&before[0], about, *much) && !known(&after[0], about, *much))
    });
    worsens(&before, &after) || passing
}

/// The world with all calls told.
pub fn told(case: &Case) -> World {
    let mut world = World::of(case);
    case.calls.iter().flatten().for_each(|order| world.apply(order));
    world
}

/// Of all tables of one or two even lines, and the lines as proposed.
#[allow(dead_code)] // The tests need no best table; it costs too much for them.
pub struct Best {
    /// The least bad that there is.
    pub least: Badness,
    /// The fewest changed tables by which nothing at all is wrong; and by which nothing is worse than without the
    /// proposal, and all together less bad.
    pub fewest: Option<usize>,
    pub safe: Option<usize>,
}

#[allow(dead_code)]
pub fn best(case: &Case) -> Best {
    let (proposed, before) = (told(case), World::of(case).ahead(case));
    let hosts: Vec<HostId> = case.pool.hosts.keys().copied().collect();
    let mut choices: Vec<BTreeMap<HostId, f64>> =
        hosts.iter().map(|host| BTreeMap::from([(*host, 1.0)])).collect();
    for (k, a) in hosts.iter().enumerate() {
        choices.extend(hosts[k + 1..].iter().map(|b| BTreeMap::from([(*a, 1.0), (*b, 1.0)])));
    }
    let slices: Vec<SliceId> = proposed.lines.keys().copied().collect();
    let mut best = Best { least: badness(&proposed.ahead(case)), fewest: None, safe: None };
    let mut at = vec![0; slices.len()];
    loop {
        let mut world = proposed.clone();
        for (slice, choice) in slices.iter().zip(&at) {
            if *choice > 0 {
                world.lines.insert(*slice, choices[choice - 1].clone());
            }
        }
        let ahead = world.ahead(case);
        let bad = badness(&ahead);
        if less(&bad, &best.least) {
            best.least = bad;
        }
        let changed = at.iter().filter(|choice| **choice > 0).count();
        let fewer = |of: Option<usize>| Some(of.map_or(changed, |fewest| fewest.min(changed)));
        if bad == [0.0; 4] {
            best.fewest = fewer(best.fewest);
        }
        if !worsens(&before, &ahead) && less(&bad, &badness(&before)) {
            best.safe = fewer(best.safe);
        }
        let Some(turn) = at.iter().position(|choice| *choice < choices.len()) else { break };
        at[turn] += 1;
        at[..turn].iter_mut().for_each(|choice| *choice = 0);
    }
    best
}
