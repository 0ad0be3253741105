//! What is unsafe, exactly. `docs/guard.md` says the same in words.

use crate::loads::{Brought, Loads};
use crate::pool::Pool;
use coppersail::interface::{HostId, RouteId, SliceId, ZoneId};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::fmt;

/// A host may have so many times its part of a route, and a zone so many times its own; more is a pile.
const PILE_HOST: f64 = 3.0;
const PILE_ZONE: f64 = 2.0;
/// With fewer open hosts than this, or calls a second than that, a pile can hardly be told from chance.
const PILE_HOSTS_LEAST: usize = 4;
const PILE_CALLS_LEAST: f64 = 1.0;
/// What hosts carry is an estimate: a warm one is given too much when it gets so many times the middle of it...
const OVER: f64 = 1.25;
/// ...and more than so many times its fair part of all that comes: where a whole fleet is overfull somebody must have
/// too much, and evening that out is the module's business.
const OVER_PART: f64 = 2.0;
/// Sums are rounded; a bound is passed when it is passed by more.
const SLACK: f64 = 1.001;

/// When it would be so.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Moment {
    /// With everything told.
    Told,
    /// After this call and before the next, from 0.
    Between(usize),
    /// When what is pending is complete at this time.
    At(f64),
}

impl fmt::Display for Moment {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Moment::Told => out.write_str("once told"),
            Moment::Between(call) => write!(out, "between calls {} and {}", call + 1, call + 2),
            Moment::At(at) => write!(out, "at {at:.1} s, when what is pending is complete"),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// No open host is named by the slice's table.
    Bare { slice: SliceId },
    /// A cold host gets more than it stands, in calls a second.
    Falls { host: HostId, calls: f64, stands: f64 },
    /// A warm host gets more than it carries.
    Over { host: HostId, calls: f64, carries: f64 },
    /// A host has too large a share of a route.
    Piled { route: RouteId, host: HostId, share: f64, bound: f64 },
    /// A zone has.
    Crammed { route: RouteId, zone: ZoneId, share: f64, bound: f64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Unsafe {
    pub reason: Reason,
    pub when: Moment,
}

impl Reason {
    /// What it is about, by which it is found again.
    pub fn about(&self) -> (u8, u32, u16) {
        match self {
            Reason::Bare { slice } => (0, u32::from(slice.0), 0),
            Reason::Falls { host, .. } => (1, host.0, 0),
            Reason::Over { host, .. } => (2, host.0, 0),
            Reason::Piled { route, host, .. } => (3, host.0, route.0),
            Reason::Crammed { route, zone, .. } => (4, u32::from(zone.0), route.0),
        }
    }

    /// How bad it is, among those of its kind.
    pub fn much(&self) -> f64 {
        match self {
            Reason::Bare { .. } => 1.0,
            Reason::Falls { calls, stands: bound, .. } | Reason::Over { calls, carries: bound, .. } => {
                calls / bound.max(1e-9) - 1.0
            }
            Reason::Piled { share, bound, .. } | Reason::Crammed { share, bound, .. } => share - bound,
        }
    }
}

/// How bad a table is, in the order of the operators' rules: none without a host, no cold host pushed over; then what costs
/// calls but breaks no rule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Danger {
    pub bare: f64,
    pub falls: f64,
    pub over: f64,
    pub piled: f64,
}

impl Danger {
    pub fn of<'a>(reasons: impl IntoIterator<Item = &'a Reason>) -> Self {
        let mut danger = Danger::default();
        for reason in reasons {
            let sum = match reason {
                Reason::Bare { .. } => &mut danger.bare,
                Reason::Falls { .. } => &mut danger.falls,
                Reason::Over { .. } => &mut danger.over,
                Reason::Piled { .. } | Reason::Crammed { .. } => &mut danger.piled,
            };
            *sum += reason.much();
        }
        danger
    }

    /// Less counts from the first part in which they differ by more than rounding.
    pub fn compare(&self, other: &Danger) -> Ordering {
        let parts = |danger: &Danger| [danger.bare, danger.falls, danger.over, danger.piled];
        let differ = |(a, b): &(f64, f64)| (a - b).abs() > 1e-6;
        let first = parts(self).into_iter().zip(parts(other)).find(differ);
        first.map_or(Ordering::Equal, |(a, b)| a.total_cmp(&b))
    }

    pub fn worst(self, other: Danger) -> Danger {
        if self.compare(&other) == Ordering::Less {
            other
        } else {
            self
        }
    }
}

/// What shares are measured by: the sizes of all open hosts, and of zones.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    all: f64,
    hosts: usize,
    zones: std::collections::BTreeMap<ZoneId, f64>,
    /// Of each route, the greatest share that one slice has: nothing can be spread finer.
    greatest: Vec<f64>,
}

impl Parts {
    pub fn of(pool: &Pool, loads: &mut Loads, now: f64) -> Self {
        let mut parts = Parts::default();
        for (id, host) in pool.open() {
            if loads.is_open(id) {
                let unit = host.unit(now, &pool.bounds);
                parts.all += unit;
                parts.hosts += 1;
                *parts.zones.entry(host.zone).or_default() += unit;
            }
        }
        parts.greatest = loads.greatest();
        parts
    }
}

/// What one host may be brought at a moment, in calls a second; infinite where nothing bounds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    pub calls: f64,
    /// By all of its tables together, if everybody else in them fails.
    pub at_worst: f64,
    /// By route, and what all of its zone may be brought.
    pub routes: Vec<f64>,
    pub zone: Vec<f64>,
}

impl Bound {
    pub fn of(pool: &Pool, loads: &Loads, parts: &Parts, id: HostId, now: f64) -> Bound {
        let all: f64 = (0..loads.routes()).map(|route| loads.total(RouteId(route as u16))).sum();
        let Some(host) = pool.hosts.get(&id) else {
            return Bound { calls: 0.0, at_worst: 0.0, routes: vec![], zone: vec![] };
        };
        let part = host.unit(now, &pool.bounds) / parts.all.max(1e-9);
        let limit = host.limit(now, &pool.bounds);
        let calls =
            if host.warm(now, &pool.bounds) { (OVER * limit).max(OVER_PART * all * part) } else { limit };
        let routes = (0..loads.routes()).map(|route| {
            let total = loads.total(RouteId(route as u16));
            if parts.hosts < PILE_HOSTS_LEAST || total < PILE_CALLS_LEAST {
                return f64::INFINITY;
            }
            PILE_HOST * part * total + parts.greatest[route]
        });
        let zone = (0..loads.routes()).map(|route| parts.zone(loads, RouteId(route as u16), host.zone));
        let at_worst = host.falls_at(now, &pool.bounds);
        Bound { calls, at_worst, routes: routes.collect(), zone: zone.collect() }
    }

    /// Or what the host and its zone are brought already, where that is more.
    pub fn or_as_it_is(&self, loads: &Loads, brought: &Brought, zone: ZoneId) -> Bound {
        let route = |route: usize| RouteId(route as u16);
        let own = |(r, bound): (usize, &f64)| bound.max(brought.by_route.get(r).copied().unwrap_or(0.0));
        Bound {
            calls: self.calls.max(brought.calls),
            at_worst: self.at_worst.max(brought.at_worst),
            routes: self.routes.iter().enumerate().map(own).collect(),
            zone: self.zone.iter().enumerate().map(|(r, b)| b.max(loads.in_zone(route(r), zone))).collect(),
        }
    }

    pub fn least(&self, other: &Bound) -> Bound {
        let each = |a: &[f64], b: &[f64]| a.iter().zip(b).map(|(a, b)| a.min(*b)).collect();
        Bound {
            calls: self.calls.min(other.calls),
            at_worst: self.at_worst.min(other.at_worst),
            routes: each(&self.routes, &other.routes),
            zone: each(&self.zone, &other.zone),
        }
    }
}

impl Parts {
    /// What a zone may be brought of a route, calls a second.
    fn zone(&self, loads: &Loads, route: RouteId, zone: ZoneId) -> f64 {
        let total = loads.total(route);
        if self.zones.len() < 2 || self.hosts < PILE_HOSTS_LEAST || total < PILE_CALLS_LEAST {
            return f64::INFINITY;
        }
        let part = self.zones.get(&zone).copied().unwrap_or(0.0) / self.all.max(1e-9);
        PILE_ZONE * part * total + self.greatest[route.0 as usize]
    }
}

/// What is wrong with some hosts, and with all slices.
pub fn look(pool: &Pool, loads: &Loads, parts: &Parts, hosts: &BTreeSet<HostId>, now: f64) -> Vec<Reason> {
    let mut found: Vec<Reason> = loads.bare().iter().map(|slice| Reason::Bare { slice: *slice }).collect();
    for id in hosts {
        let (Some(host), Some(brought)) = (pool.hosts.get(id), loads.brought(*id)) else { continue };
        if !loads.is_open(*id) || brought.calls <= 0.0 {
            continue;
        }
        let bound = Bound::of(pool, loads, parts, *id, now);
        let (calls, at_worst) = (brought.calls, brought.at_worst);
        match host.warm(now, &pool.bounds) {
            true if calls > bound.calls * SLACK => {
                found.push(Reason::Over { host: *id, calls, carries: bound.calls });
            }
            false if calls > bound.calls * SLACK => {
                found.push(Reason::Falls { host: *id, calls, stands: bound.calls });
            }
            false if at_worst > bound.at_worst * SLACK => {
                found.push(Reason::Falls { host: *id, calls: at_worst, stands: bound.at_worst });
            }
            _ => {}
        }
        for (route, (calls, bound)) in brought.by_route.iter().zip(&bound.routes).enumerate() {
            let route = RouteId(route as u16);
            if *calls > bound * SLACK {
                let total = loads.total(route);
                found.push(Reason::Piled { route, host: *id, share: calls / total, bound: bound / total });
            }
        }
    }
    let zones: BTreeSet<ZoneId> = hosts.iter().filter_map(|id| Some(pool.hosts.get(id)?.zone)).collect();
    for zone in zones {
        for route in (0..loads.routes()).map(|route| RouteId(route as u16)) {
            let (calls, total) = (loads.in_zone(route, zone), loads.total(route));
            let bound = parts.zone(loads, route, zone);
            if calls > bound * SLACK {
                found.push(Reason::Crammed { route, zone, share: calls / total, bound: bound / total });
            }
        }
    }
    found
}

impl Reason {
    pub fn host(&self) -> Option<HostId> {
        match self {
            Reason::Falls { host, .. } | Reason::Over { host, .. } | Reason::Piled { host, .. } => {
                Some(*host)
            }
            Reason::Bare { .. } | Reason::Crammed { .. } => None,
        }
    }

    pub fn zone(&self) -> Option<ZoneId> {
        match self {
            Reason::Crammed { zone, .. } => Some(*zone),
            _ => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Bare { slice } => write!(out, "slice {} without an open host", slice.0),
            Reason::Falls { calls, stands, .. } => {
                write!(out, "a cold host gets {calls:.1} calls a second, it stands {stands:.1}")
            }
            Reason::Over { calls, carries, .. } => {
                write!(out, "a host gets {calls:.1} calls a second, it carries {carries:.1}")
            }
            Reason::Piled { route, share, bound, .. } => {
                write!(out, "a host gets {share:.2} of route {}, at most {bound:.2} is sound", route.0)
            }
            Reason::Crammed { route, zone, share, bound } => {
                write!(
                    out,
                    "zone {} gets {share:.2} of route {}, at most {bound:.2} is sound",
                    zone.0, route.0
                )
            }
        }
    }
}

impl fmt::Display for Unsafe {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}, {}", self.reason, self.when)
    }
}
