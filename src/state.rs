//! What each actor of the module remembers, what can be read off it, and what is noted down
//! as it is heard. What is made of it is in `logic`.

use crate::figures::Figures;
use crate::interface::*;
use crate::ledger::Ledger;
use crate::measure::{Chance, Histogram};
use crate::notes::{add, Note, Post, Seat, Sums, To, View};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Default)]
pub(crate) struct Slice {
    pub owner: Seat,
    pub standby: Seat,
    /// Whose it was before operators had it moved.
    pub home: Seat,
    /// The table as ordered so far, or as found in the store.
    pub lines: Sums,
    /// Calls by route, halved from time to time.
    pub demand: Vec<f64>,
    pub score: f64,
    /// Standby's weight against the owner's, as a place in `Tables::NOTCHES`.
    pub notch: usize,
}

#[derive(Default)]
pub(crate) struct Host {
    pub id: HostId,
    pub view: View,
    /// When it started, as listed or as guessed from its silence; none: long ago.
    pub born: Option<f64>,
    pub times: Histogram,
    pub answered_at: f64,
    /// What load reports say was done, and in how much work.
    pub done: f64,
    pub spent: f64,
    pub halved: f64,
    pub probe_at: Option<f64>,
    /// Probes answered in a row, and missed in a row: one for a time-out, two where no process was met.
    pub hits: u32,
    pub misses: u32,
    /// It was shut out as a suspect.
    pub out: bool,
    /// It has answered a call or a probe.
    pub met: bool,
    /// The list has dropped it, but it serves.
    pub unlisted: bool,
    /// The list names it; else since when that is known.
    pub listed: bool,
    pub gone_at: Option<f64>,
}

impl Host {
    pub fn new(id: HostId, phase: f64, proven: bool) -> Self {
        let view = View { weight: 1.0, ramp: 1.0, ease: 1.0, proven, ..View::default() };
        Host { id, view, probe_at: Some(phase), ..Host::default() }
    }

    /// It is gone, as far as the list tells.
    pub fn lose(&mut self) {
        (self.view.ready, self.view.suspect, self.misses) = (false, false, 0);
        (self.unlisted, self.listed) = (false, false);
    }
}

#[derive(Default)]
pub(crate) struct Tables {
    pub slices: BTreeMap<SliceId, Slice>,
    pub views: BTreeMap<HostId, View>,
    /// Hosts that are shut out, and since when; `again`: somebody has missed these orders.
    pub withdrawn: Sums,
    pub again: bool,
    pub retold_at: f64,
    pub balancing: coppersail_rebalancer::Balance,
    /// Most hosts that were ready at a time; by these a host's part is reckoned, however many fail.
    pub most: usize,
    /// The fleet's median response time; the mean weight, and the mean speed of the hosts that report one.
    pub rt: f64,
    pub weight: f64,
    pub speed: f64,
    /// What the hosts carry for what they can, when last reckoned.
    pub full: Sums,
    pub mean: f64,
    pub given_at: f64,
    pub halved: f64,
    pub moved_at: f64,
    pub compared_at: f64,
    /// Calls since then; a second and slice before that; and when the fleet last answered quickly.
    pub came: f64,
    pub calls: f64,
    pub borne: f64,
    /// What operators set; while nobody else could serve, no host counts as drained by them.
    pub wishes: Wishes,
    pub alone: bool,
    /// Where the guard has refused a slice's lines, and when.
    pub refused: BTreeMap<(SliceId, HostId), f64>,
}

impl Tables {
    /// Slices that each host owns.
    pub fn counts(&self) -> Sums {
        let mut counts: Sums = self.views.keys().map(|host| (*host, 0.0)).collect();
        self.slices.values().for_each(|slice| add(&mut counts, slice.owner, 1.0));
        counts
    }

    /// What the notes that need no decision leave behind.
    pub fn heard(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::View(host, view) => drop(self.views.insert(host, view)),
            Note::Back(host) => _ = self.withdrawn.remove(&host),
            Note::Over(host) => {
                _ = (self.withdrawn.remove(&host), self.views.remove(&host));
                post.note(To::Host(host), Note::Over(host));
            }
            Note::In(Input::Given(id)) => {
                let demand = vec![0.0; f.importance.len()];
                self.slices.insert(id, Slice { demand, ..Slice::default() });
                (self.given_at, self.again) = (now, true);
            }
            Note::In(Input::Joined { .. }) => self.again = true,
            Note::In(Input::Refused { slice, host, lines }) => {
                self.refused.extend(host.map(|host| ((slice, host), now)));
                self.slices.entry(slice).and_modify(|slice| (slice.lines, slice.owner) = (lines, None));
            }
            Note::In(Input::Taken(id)) => drop(self.slices.remove(&id)),
            Note::In(Input::StoredLine { slice, host, weight }) => {
                self.slices.entry(slice).and_modify(|slice| add(&mut slice.lines, Some(host), weight));
            }
            Note::In(Input::Demand { slice, route, calls, .. }) => {
                self.came += calls as f64;
                let sum = self.slices.get_mut(&slice).and_then(|s| s.demand.get_mut(route.0 as usize));
                sum.into_iter().for_each(|sum| *sum += calls as f64);
            }
            _ => {}
        }
    }

    pub fn open(&self) -> Vec<HostId> {
        self.views.keys().copied().filter(|host| self.is_open(*host)).collect()
    }

    pub fn drained(&self, host: HostId) -> bool {
        !self.alone && self.wishes.drained.contains(&host)
    }

    /// What operators make of a host's weight.
    pub fn wish(&self, host: HostId) -> f64 {
        let zone = self.views.get(&host).and_then(|v| self.wishes.zones.get(v.zone.0 as usize));
        self.wishes.hosts.get(&host).unwrap_or(&1.0) * zone.unwrap_or(&1.0)
    }

    /// The mean weight, and the mean speed of the hosts that report one.
    pub fn means(&mut self) {
        let speeds = || self.views.values().filter(|v| v.ready).filter_map(|v| v.speed);
        self.speed = speeds().sum::<f64>() / speeds().count().max(1) as f64;
        self.weight = self.views.values().map(|v| v.weight).sum::<f64>() / self.views.len().max(1) as f64;
    }
}

#[derive(Default)]
pub(crate) struct Gate {
    /// Calls a second that are to be let in; none: all.
    pub target: Option<f64>,
    /// What came since the last weighing: calls by route, and how tries went.
    pub demand: Vec<f64>,
    pub times: Histogram,
    pub levels: Vec<f64>,
    /// How busy the median host is, where that is reported.
    pub busy: f64,
    /// Somebody has missed the levels.
    pub again: bool,
    pub weighed_at: f64,
    /// Slices in charge, how many they were when last weighed, and when one was last given.
    pub slices: BTreeSet<SliceId>,
    pub weighed: usize,
    pub given_at: Option<f64>,
    pub cut_at: f64,
    pub offered: f64,
    pub limit: f64,
    /// What operators set of routes; and routes of which they ever set something.
    pub wishes: BTreeMap<RouteId, RouteWish>,
    pub wished: BTreeSet<RouteId>,
}

impl Gate {
    pub fn new(routes: usize) -> Self {
        Gate { demand: vec![0.0; routes], levels: vec![1.0; routes], ..Gate::default() }
    }

    pub fn given(&mut self, now: f64, slice: SliceId) {
        (self.again, self.given_at) = (true, Some(now));
        self.slices.insert(slice);
    }
}

#[derive(Default)]
pub(crate) struct Channel {
    /// Tables as told so far, and as they should be and since when.
    pub told: BTreeMap<SliceId, Sums>,
    pub wanted: BTreeMap<SliceId, (f64, Sums)>,
    /// Hosts that are shut out as told; withdrawals and levels to be told.
    pub out: BTreeSet<HostId>,
    pub shuts: BTreeMap<HostId, bool>,
    /// Hosts that are gone and in no table, to be let in with other orders and then forgotten.
    pub over: BTreeSet<HostId>,
    pub levels: Vec<Order>,
    /// What was ordered and may still wait, and the next round's mark.
    pub ledger: Ledger,
    pub mark: u16,
}

impl Channel {
    /// Whether a table names the host, or should.
    pub fn names(&self, host: HostId) -> bool {
        let wanted = self.wanted.values().map(|(_, lines)| lines);
        self.told.values().chain(wanted).any(|lines| lines.contains_key(&host))
    }

    pub fn want(&mut self, now: f64, slice: SliceId, lines: Sums) {
        let since = self.wanted.get(&slice).map_or(now, |(since, _)| *since);
        self.wanted.insert(slice, (since, lines));
    }

    /// A level for all is to be told; messages bring it along to who joins later.
    pub fn level(&mut self, order: Order) {
        if let Order::Admit { routes, .. } = &order {
            self.ledger.levels.extend(routes);
        }
        self.levels.push(order);
    }

    /// A table is as told here, or is not known; nothing is wanted of it.
    pub fn stands(&mut self, slice: SliceId, lines: Option<Sums>) {
        self.wanted.remove(&slice);
        self.told.remove(&slice);
        self.told.extend(lines.map(|lines| (slice, lines)));
    }

    pub fn shut(&mut self, host: HostId, out: bool) {
        self.over.remove(&host);
        self.shuts.insert(host, out);
    }

    /// What the proxies know once this is sent.
    pub fn keep(&mut self, now: f64, order: &Order, post: &mut Post) {
        match *order {
            Order::Line { slice, host, weight } => {
                let told = self.told.entry(slice).or_default();
                _ = if weight > 0.0 { told.insert(host, weight) } else { told.remove(&host) };
                self.wanted.entry(slice).and_modify(|(since, _)| *since = now);
            }
            Order::Withdraw { host, out } => {
                self.shuts.remove(&host);
                self.out.remove(&host);
                self.out.extend(out.then_some(host));
                if !out {
                    post.note(To::Tables, self.let_in(host));
                }
            }
            _ => drop(self.levels.remove(0)),
        }
    }

    /// What the tables hear when the proxies have been told to let a host in.
    pub fn let_in(&mut self, host: HostId) -> Note {
        if self.over.remove(&host) {
            Note::Over(host)
        } else {
            Note::Back(host)
        }
    }
}

#[derive(Default)]
pub(crate) struct Watch {
    pub following: bool,
    pub asked_at: Option<f64>,
}

pub struct Director {
    pub(crate) figures: Figures,
    pub(crate) chance: Chance,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) tables: Tables,
    pub(crate) gate: Gate,
    pub(crate) channel: Channel,
    pub(crate) watch: Watch,
    pub(crate) version: Option<u64>,
    pub(crate) listed: u64,
    pub(crate) tick_at: f64,
}

impl Director {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let figures = Figures::new(&settings);
        let gate = Gate::new(figures.importance.len());
        let (tables, channel, watch) = (Tables::default(), Channel::default(), Watch::default());
        let (hosts, chance, tick_at) = (BTreeMap::new(), Chance::new(seed), f64::NEG_INFINITY);
        Director { figures, chance, hosts, tables, gate, channel, watch, version: None, listed: 0, tick_at }
    }
}
