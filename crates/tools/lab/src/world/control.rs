//! Directors: what they hear and when, what they order, and how that reaches proxies.

use super::hosts::State;
use super::proxies::Table;
use super::{Event, World};
use crate::policy::Policy;
use crate::rules::Rule;
use coppersail::interface::*;
use coppersail_changes::Submission;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Between a director's wake-ups at least: a hundredth of what the module asks for.
const WAKE_LEAST: f64 = 1e-3;
/// A probe that meets nobody is given up after this.
const PROBE_MOST: f64 = 0.3;

pub(super) struct Director {
    pub policy: Policy,
    pub zone: u16,
    pub up: bool,
    /// Numbers its lives: what is on its way to an earlier one is lost.
    pub life: u32,
    pub inputs: Vec<Input>,
    /// It is to act at this time already.
    planned: bool,
    wake_at: f64,
    /// Since when its channel is free, and messages written.
    channel_free: f64,
    pub messages: u32,
    marks: FxHashMap<u32, u16>,
    /// When it was told that a host drains or is gone.
    pub told_gone: FxHashMap<u32, f64>,
}

/// The relay that is also the store: it is there, or calls wait for it.
#[derive(Default)]
pub(super) struct Store {
    pub down: bool,
    pub waiting: VecDeque<(u16, u32, Vec<Order>)>,
}

impl World {
    /// A director starts with the list as it is remembered, and is told what stands.
    pub(super) fn start_director(&mut self, d: u16, now: f64) {
        let life = self.directors.get(d as usize).map_or(0, |director| director.life);
        let messages = self.directors.get(d as usize).map_or(0, |director| director.messages);
        let policy = self.policy(d);
        let director = Director {
            policy,
            zone: d % self.scenario.fleet.zones,
            up: true,
            life,
            inputs: Vec::new(),
            planned: false,
            wake_at: f64::INFINITY,
            channel_free: now,
            messages,
            marks: FxHashMap::default(),
            told_gone: FxHashMap::default(),
        };
        match self.directors.get_mut(d as usize) {
            Some(old) => *old = director,
            None => self.directors.push(director),
        }
        let listed: Vec<u32> = (0..self.hosts.len() as u32)
            .filter(|host| self.hosts[*host as usize].state != State::Gone)
            .collect();
        let entries: Vec<Listing> = listed.iter().map(|host| self.listing(*host)).collect();
        let mut inputs =
            vec![Input::Hosts { scope: ListScope::Remembered, version: self.list_version, entries }];
        let rate = self.rate / f64::from(self.scenario.fleet.proxies);
        for (n, proxy) in self.proxies.iter().enumerate() {
            let (zone, fresh) = (ZoneId(proxy.zone), proxy.applied[d as usize] == 0);
            inputs.push(Input::Joined { proxy: ProxyId(n as u16), zone, calls_per_s: rate, fresh });
        }
        for slice in (d as usize..self.tables.len()).step_by(self.scenario.fleet.directors) {
            inputs.push(Input::Given(SliceId(slice as u16)));
            let lines = self.tables[slice].last().clone();
            for (host, weight) in lines.iter() {
                let (slice, host) = (SliceId(slice as u16), HostId(*host));
                inputs.push(Input::StoredLine { slice, host, weight: *weight });
            }
        }
        self.tell(d, inputs);
    }

    /// Something came for a director: it acts in this moment, once.
    fn tell(&mut self, d: u16, inputs: Vec<Input>) {
        let director = &mut self.directors[d as usize];
        if !director.up {
            return;
        }
        director.inputs.extend(inputs);
        if !std::mem::replace(&mut director.planned, true) {
            self.plan(self.now, Event::Direct { director: d });
        }
    }

    /// Inputs that are under way for so long.
    pub(super) fn send(&mut self, d: u16, after: f64, inputs: Vec<Input>) {
        let batch = (d, self.directors[d as usize].life, inputs);
        let at = match self.free_batches.pop() {
            Some(at) => at,
            None => {
                self.batches.push(None);
                self.batches.len() as u32 - 1
            }
        };
        self.batches[at as usize] = Some(batch);
        self.plan(self.now + after, Event::Deliver { batch: at });
    }

    pub(super) fn deliver(&mut self, batch: u32) {
        self.free_batches.push(batch);
        let Some((d, life, inputs)) = self.batches[batch as usize].take() else { return };
        if self.directors[d as usize].life != life || !self.directors[d as usize].up {
            return;
        }
        for input in &inputs {
            if let Input::Hosts { entries, .. } = input {
                for entry in entries {
                    let told = &mut self.directors[d as usize].told_gone;
                    match entry.state {
                        HostState::Ready => drop(told.remove(&entry.host.0)),
                        _ => _ = told.entry(entry.host.0).or_insert(self.now),
                    }
                }
            }
        }
        self.tell(d, inputs);
    }

    pub(super) fn direct(&mut self, d: u16) {
        let now = self.now;
        let director = &mut self.directors[d as usize];
        let woken = now + 1e-9 >= director.wake_at;
        if !director.planned && !woken || !director.up {
            return;
        }
        director.planned = false;
        let mut inputs = std::mem::take(&mut director.inputs);
        if woken {
            director.wake_at = f64::INFINITY;
            inputs.push(Input::Wake(WakeId(1)));
        }
        self.truth.store_down = self.store.down;
        let orders = director.policy.handle(now, &inputs, &self.truth);
        self.ordered(d, orders);
    }

    /// What a director has ordered goes its ways.
    pub(super) fn ordered(&mut self, d: u16, orders: Vec<Order>) {
        let mut told = Vec::new();
        for order in orders {
            match order {
                Order::WakeAt { at, .. } => {
                    // One that asks to be woken in the past, as an odd build may, must not hold the clock for ever.
                    let at = at.max(self.now + WAKE_LEAST);
                    self.directors[d as usize].wake_at = at;
                    self.plan(at, Event::Direct { director: d });
                }
                Order::Probe(host) => self.probe(d, host),
                Order::Line { .. }
                | Order::Clear(_)
                | Order::Withdraw { .. }
                | Order::Admit { .. }
                | Order::Mark { .. } => {
                    told.push(order);
                }
                _ => {}
            }
        }
        if !told.is_empty() {
            let life = self.directors[d as usize].life;
            if self.store.down {
                self.store.waiting.push_back((d, life, told));
            } else {
                self.write(d, told);
            }
        }
    }

    /// Operators submit a change to each director.
    pub(super) fn change(&mut self, which: usize) {
        let change = self.scenario.changes[which].clone();
        // Checked when the scenario was read.
        let Ok(edits) = change.edits() else { return };
        for d in 0..self.directors.len() as u16 {
            if let Policy::Reduced(reduced) = &mut self.directors[d as usize].policy {
                reduced.submit(Submission {
                    who: "lab".into(),
                    why: "play".into(),
                    edits: edits.clone(),
                    trial: change.trial,
                    ..Submission::default()
                });
                self.tell(d, vec![]);
            }
        }
    }

    pub(super) fn store_back(&mut self) {
        self.store.down = false;
        // While no order could get through, no time limit ran.
        let now = self.now;
        self.directors
            .iter_mut()
            .for_each(|director| director.told_gone.values_mut().for_each(|told| *told = now));
        while let Some((d, life, orders)) = self.store.waiting.pop_front() {
            if self.directors[d as usize].life == life {
                self.write(d, orders);
            }
        }
    }

    /// The store takes the orders, and each proxy gets them as one message, by the channel's pace.
    fn write(&mut self, d: u16, orders: Vec<Order>) {
        let (now, directors) = (self.now, self.scenario.fleet.directors);
        let channel = self.scenario.channel.clone();
        self.directors[d as usize].messages += 1;
        let message = self.directors[d as usize].messages;
        for order in &orders {
            match order {
                Order::Line { slice, host, weight } if slice.0 as usize % directors == d as usize => {
                    self.line(*slice, host.0, *weight, message);
                }
                Order::Clear(slice) => self.tables[slice.0 as usize].set(message, Table::default()),
                Order::Withdraw { host, out } => self.outs[d as usize][host.0 as usize].set(message, *out),
                Order::Admit { routes, level, retry, .. } => {
                    let way = match retry {
                        Retry::Never => 0,
                        Retry::IfNeverRan => 1,
                        Retry::Once => 2,
                        Retry::Twice => 3,
                    };
                    let all: Vec<usize> = match routes.is_empty() {
                        true => (0..self.scenario.load.routes.len()).collect(),
                        false => routes.iter().map(|route| route.0 as usize).collect(),
                    };
                    all.into_iter()
                        .for_each(|route| self.levels[d as usize][route].set(message, (*level, way)));
                }
                Order::Mark { mark, .. } => _ = self.directors[d as usize].marks.insert(message, mark.0),
                _ => {}
            }
        }
        let lines = channel.overhead + orders.len() as f64;
        let proxies = self.proxies.len() as f64;
        self.measured.at(now).lines += lines * proxies;
        let start = self.directors[d as usize].channel_free.max(now);
        self.directors[d as usize].channel_free = start + lines * proxies / channel.lines_per_s;
        let waiting = (self.directors[d as usize].channel_free - now) * channel.lines_per_s;
        if waiting > channel.backlog {
            self.rules.broke(Rule::Queue, now, || format!("{waiting:.0} lines wait"));
        }
        for n in 0..self.proxies.len() {
            let sent = start + lines * (n + 1) as f64 / channel.lines_per_s;
            let way = channel.transit * (0.6 + 0.8 * self.chance.f64());
            let proxy = &mut self.proxies[n];
            // A stream keeps its order.
            let at = (sent + way).max(proxy.applied_at[d as usize]);
            proxy.applied_at[d as usize] = at;
            self.plan(at, Event::Apply { proxy: n as u16, director: d, message });
        }
    }

    fn line(&mut self, slice: SliceId, host: u32, weight: f64, message: u32) {
        let table = &mut self.tables[slice.0 as usize];
        let mut lines: Vec<(u32, f64)> = table.last().as_ref().clone();
        lines.retain(|(known, _)| *known != host);
        if weight > 0.0 {
            lines.push((host, weight));
        }
        table.set(message, Table::new(lines));
    }

    pub(super) fn apply(&mut self, n: u16, d: u16, message: u32) {
        let zone = self.proxies[n as usize].zone;
        if self.parted(zone, self.directors[d as usize].zone) {
            // It comes when the way is whole again.
            return self.plan(self.now + 0.5, Event::Apply { proxy: n, director: d, message });
        }
        let proxy = &mut self.proxies[n as usize];
        proxy.applied[d as usize] = proxy.applied[d as usize].max(message);
        if let Some(mark) = self.directors[d as usize].marks.get(&message).copied() {
            let took = self.scenario.channel.transit;
            let after = self.way(zone, zone);
            self.send(d, after, vec![Input::Applied { proxy: ProxyId(n), mark: MarkId(mark), took }]);
        }
    }

    fn load(&self, host: u32) -> Load {
        let (h, fleet) = (&self.hosts[host as usize], &self.scenario.fleet);
        let waiting = h.queue.len() as f64;
        if self.scenario.reports.cores {
            let busy = f64::from(h.running) / f64::from(fleet.cores);
            let answered = f64::from(h.answered) / self.scenario.reports.interval;
            return Load { busy: Some(busy), answered_per_s: Some(answered), ..Load::default() };
        }
        let service_time = (h.service > 0.0).then_some(h.service);
        Load { waiting: Some(waiting), service_time, ..Load::default() }
    }

    fn probe(&mut self, d: u16, host: HostId) {
        self.measured.probes += 1;
        let (there, zone) = (self.hosts[host.0 as usize].zone, self.directors[d as usize].zone);
        let h = &self.hosts[host.0 as usize];
        let (outcome, after) = match () {
            _ if self.parted(zone, there) || h.hung => (Outcome::TimedOut, PROBE_MOST),
            _ if !h.up || h.fallen => (Outcome::Unreachable, 0.002),
            _ if h.queue.len() >= self.scenario.fleet.queue_most => (Outcome::Throttled, 0.002),
            _ => (Outcome::Answered, 0.002),
        };
        let load = if outcome == Outcome::Answered { self.load(host.0) } else { Load::default() };
        self.send(d, after, vec![Input::Probed { host, outcome, took: after, load }]);
    }

    /// A sum as no collector in its senses tells it: counts of a thousand fleets, times of an hour.
    fn spoilt(&mut self, host: HostId, zone: ZoneId) -> Input {
        let odd = |chance: f64| 10_u64.pow(6 + (chance * 6.0) as u32);
        let (tries, dropped) = (odd(self.chance.f64()), odd(self.chance.f64()));
        let (rt, span) = (3600.0 * self.chance.f64(), self.scenario.reports.interval);
        let waiting = Some(1e9 * self.chance.f64());
        Input::Tries { host, zone, span, tries, dropped, rt, load: Load { waiting, ..Load::default() } }
    }

    /// Collectors tell what they have summed: each zone's tries to all directors, and a slice's calls to its own.
    pub(super) fn report(&mut self) {
        let (interval, late) = (self.scenario.reports.interval, self.scenario.reports.late);
        if self.now + interval <= self.scenario.seconds + super::AFTER {
            self.plan(self.now + interval, Event::Report);
        }
        let (hosts, routes) = (self.hosts.len(), self.scenario.load.routes.len());
        let sums = std::mem::take(&mut self.sums);
        let demand = std::mem::take(&mut self.demand);
        for d in 0..self.directors.len() as u16 {
            let zone = self.directors[d as usize].zone;
            let mut inputs = Vec::new();
            for (at, sum) in sums.iter().enumerate().filter(|(_, sum)| sum.tries > 0) {
                let (from, host) = ((at / hosts) as u16, (at % hosts) as u32);
                if self.parted(zone, from) || self.chance.f64() < self.reports_lost {
                    continue;
                }
                if self.reports_spoilt > 0.0 && self.chance.f64() < self.reports_spoilt {
                    inputs.push(self.spoilt(HostId(host), ZoneId(from)));
                    continue;
                }
                let well = sum.tries - sum.dropped;
                let rt = if well > 0 { sum.rt / f64::from(well) } else { 0.0 };
                let (tries, dropped) = (sum.tries.into(), sum.dropped.into());
                let load = if well > 0 { self.load(host) } else { Load::default() };
                let (host, zone) = (HostId(host), ZoneId(from));
                inputs.push(Input::Tries { host, zone, span: interval, tries, dropped, rt, load });
            }
            for (at, (calls, dropped)) in demand.iter().enumerate().filter(|(_, sum)| sum.0 > 0) {
                let (slice, route) = (at / routes, at % routes);
                if slice % self.directors.len() != d as usize || self.chance.f64() < self.reports_lost {
                    continue;
                }
                let (slice, route) = (SliceId(slice as u16), RouteId(route as u16));
                let (calls, dropped) = ((*calls).into(), (*dropped).into());
                inputs.push(Input::Demand { slice, route, calls, dropped, span: interval });
            }
            if !inputs.is_empty() {
                let after = late * (0.7 + 0.6 * self.chance.f64());
                self.send(d, after, inputs);
            }
        }
        self.sums = vec![super::Sum::default(); sums.len()];
        self.demand = vec![(0, 0); demand.len()];
        self.hosts.iter_mut().for_each(|host| host.answered = 0);
    }

    /// The list has changed; directors hear of it as late as the list runs.
    pub(super) fn listed(&mut self, hosts: &[u32]) {
        self.list_version += 1;
        let version = self.list_version;
        let entries: Vec<Listing> = hosts.iter().map(|host| self.listing(*host)).collect();
        for d in 0..self.directors.len() as u16 {
            let after = self.list_late * (0.8 + 0.4 * self.chance.f64());
            let entries = entries.clone();
            self.send(d, after, vec![Input::Hosts { scope: ListScope::Changes, version, entries }]);
        }
    }
}
