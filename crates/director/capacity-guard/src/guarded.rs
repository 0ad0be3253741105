//! The decision module with the guard behind it, to be called like the module alone. Orders that are refused are told
//! back to the module, which decides again; what it is told never goes round in a circle.

use crate::asked::Asked;
use crate::danger::{Reason, Unsafe};
use crate::pool::{Bounds, Carrying, Host, Pending, Pool, Span, State};
use crate::verdict::{Guard, Refused, Verdict};
use coppersail::interface::*;
use coppersail::Director;
use std::collections::{BTreeMap, BTreeSet};

/// So often in one batch the module may decide anew; what it then still wants is told as far as it is safe.
const AGAIN_MOST: usize = 2;
/// A slice that was refused so often within the time below is let through: the guard may be wrong, and a slice that
/// nobody may move is a harm of its own. Not so where a rule would break, nor past a bound by more than `FAR` of it.
const REFUSED_MOST: usize = 3;
const REFUSED_SPAN: f64 = 10.0;
const FAR: f64 = 0.25;
/// Demand and what hosts carry are brought up to date so often, seconds: as often as sums come.
const REFRESH: f64 = 1.0;
/// Orders in a call, about: the relay's bound in bytes over a line of usual names.
const CALL_MOST: usize = 2000;
/// Log lines about refusals in a second.
const LOGS_MOST: usize = 5;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Off,
    /// Judged, logged and counted, and told all the same.
    Watch,
    On,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub judged: u64,
    pub accepted: u64,
    pub least_bad: u64,
    pub refused: u64,
    /// Let through as they had been refused too often.
    pub overruled: u64,
}

pub struct Guarded {
    director: Director,
    mode: Mode,
    /// Nothing is kept for the guard, which then costs nothing and cannot be switched on.
    plain: bool,
    guard: Guard,
    asked: Asked,
    carrying: Carrying,
    /// What came of tries since hosts were last reckoned with: answered, failed, seconds; and what hosts said.
    sums: BTreeMap<(HostId, ZoneId), (f64, f64, f64)>,
    said: BTreeMap<HostId, Load>,
    listed: BTreeSet<HostId>,
    /// What is announced of hosts.
    pending: Vec<Pending>,
    /// Slices in this director's charge.
    slices: BTreeSet<SliceId>,
    refreshed_at: f64,
    /// Slices were given since what is asked of them was reckoned.
    fresh: bool,
    started: bool,
    /// When each slice was refused lately.
    refusals: BTreeMap<SliceId, Vec<f64>>,
    logs: (f64, usize),
    pub counts: Counts,
}

impl Guarded {
    /// The module alone.
    pub fn plain(settings: Settings, seed: u64) -> Self {
        Guarded { plain: true, ..Guarded::new(settings, seed, Mode::Off) }
    }

    pub fn new(settings: Settings, seed: u64, mode: Mode) -> Self {
        let bounds = Bounds {
            cold_from: settings.cold_from,
            ramp_time: settings.ramp_time,
            fall_multiple: settings.fall_multiple,
            carries: None,
        };
        let routes = settings.routes.len();
        Guarded {
            guard: Guard::new(Pool { hosts: BTreeMap::new(), bounds }, &BTreeMap::new(), routes),
            director: Director::new(settings, seed),
            mode,
            plain: false,
            asked: Asked::new(routes),
            carrying: Carrying::default(),
            sums: BTreeMap::new(),
            said: BTreeMap::new(),
            listed: BTreeSet::new(),
            pending: Vec::new(),
            slices: BTreeSet::new(),
            refreshed_at: f64::NEG_INFINITY,
            fresh: false,
            started: false,
            refusals: BTreeMap::new(),
            logs: (0.0, 0),
            counts: Counts::default(),
        }
    }

    pub fn mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// What is known to happen to hosts from now on; all of it, each time.
    pub fn pending(&mut self, pending: Vec<Pending>) {
        self.pending = pending;
    }

    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// As `Director::handle`.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        if self.plain {
            return self.director.handle(now, inputs);
        }
        inputs.iter().for_each(|input| self.hear(now, input));
        self.started = true;
        if now - self.refreshed_at >= REFRESH {
            self.refreshed_at = now;
            self.refresh(now);
        }
        if self.fresh {
            self.reckon();
        }
        let mut orders = self.director.handle(now, inputs);
        let mut told = Vec::new();
        for _ in 0..=AGAIN_MOST {
            let (safe, back) =
                if self.mode == Mode::Off { (orders, vec![]) } else { self.judged(now, orders) };
            self.guard.told(&safe);
            told.extend(safe);
            if back.is_empty() {
                break;
            }
            orders = self.director.handle(now, &back);
        }
        told
    }

    /// How many of a call's orders may be written now, as the module says.
    pub fn writable(&self, now: f64, orders: usize, again: bool, unheard: bool) -> usize {
        self.director.writable(now, orders, again, unheard)
    }

    /// The most lines that may wait in the channel, as reckoned.
    pub fn may_wait(&self) -> f64 {
        self.director.may_wait()
    }

    /// Calls a second that are asked of this director's slices; 0 where nothing was heard.
    pub fn asked(&self) -> f64 {
        let loads = self.guard.loads();
        let total = |route| loads.total(RouteId(route as u16));
        if self.asked.known() {
            (0..loads.routes()).map(total).sum()
        } else {
            0.0
        }
    }

    fn hear(&mut self, now: f64, input: &Input) {
        match input {
            Input::Hosts { scope, entries, .. } => self.list(*scope, entries),
            Input::Given(slice) => {
                self.guard.drop_slice(*slice);
                self.slices.insert(*slice);
                self.guard.demand(*slice, &[]);
                // Until it is reckoned it would count as one that nobody asks for: of six that a store had tampered with
                // five were once piled on one host in that second.
                self.fresh = true;
            }
            Input::Taken(slice) => {
                self.guard.drop_slice(*slice);
                _ = (self.slices.remove(slice), self.refusals.remove(slice));
                self.asked.forget(*slice);
            }
            Input::StoredLine { slice, host, weight } if self.slices.contains(slice) => {
                self.guard.line(*slice, *host, *weight);
            }
            Input::Demand { slice, route, calls, span, .. } => {
                self.asked.heard(now, *slice, *route, *calls as f64, *span);
            }
            Input::Tries { host, zone, span, tries, dropped, load, .. } => {
                let answered = tries.saturating_sub(*dropped);
                if answered > 0 {
                    self.proven(*host);
                }
                let sum = self.sums.entry((*host, *zone)).or_default();
                let failed = (*dropped).min(*tries) as f64;
                *sum = (sum.0 + answered as f64, sum.1 + failed, sum.2 + span.max(0.01));
                self.said.insert(*host, *load);
            }
            Input::Probed { host, outcome: Outcome::Answered, .. } => self.proven(*host),
            _ => {}
        }
    }

    fn proven(&mut self, id: HostId) {
        if let Some(host) = self.guard.pool().hosts.get(&id).copied().filter(|host| !host.proven) {
            self.guard.host(id, Host { proven: true, ..host });
        }
    }

    fn list(&mut self, scope: ListScope, entries: &[Listing]) {
        if scope == ListScope::Failed {
            return;
        }
        let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        if scope != ListScope::Changes {
            let gone: Vec<HostId> = self.listed.difference(&named).copied().collect();
            gone.into_iter().for_each(|host| self.gone(host));
        }
        for entry in entries {
            if entry.state == HostState::Gone {
                self.gone(entry.host);
                continue;
            }
            let old = self.guard.pool().hosts.get(&entry.host).copied();
            let draining = entry.state == HostState::Draining;
            self.listed.insert(entry.host);
            let host = Host {
                state: if draining { State::Draining } else { State::Ready },
                zone: entry.zone,
                weight: entry.weight,
                born: entry.born,
                proven: !self.started || old.is_some_and(|old| old.proven),
                out: old.is_some_and(|old| old.out),
                speed: 1.0,
            };
            self.guard.host(entry.host, host);
        }
    }

    fn gone(&mut self, id: HostId) {
        self.listed.remove(&id);
        self.carrying.forget(id);
        self.guard.drop_host(id);
    }

    fn refresh(&mut self, now: f64) {
        // Each zone's proxies tell their part, some more often than others.
        let mut spans: BTreeMap<HostId, Span> = BTreeMap::new();
        for ((id, _), (answered, failed, seconds)) in std::mem::take(&mut self.sums) {
            let span = spans.entry(id).or_default();
            span.answered += answered / seconds;
            span.failed += failed / seconds;
        }
        for (id, span) in spans {
            let (pool, said) = (self.guard.pool(), self.said.get(&id).copied().unwrap_or_default());
            let unit = pool.hosts.get(&id).map_or(0.0, |host| host.unit(now, &pool.bounds));
            self.carrying.heard(id, now, Span { unit, busy: said.busy, waiting: said.waiting, ..span });
        }
        self.said.clear();
        self.reckon();
        // Sums of calls come for this director's slices alone, so hosts are judged by what it sends them: what others
        // send is off what they carry for it. Where nothing was heard yet, nothing is said of what they carry.
        self.guard.bounds().carries = if self.asked.known() { self.carrying.estimate() } else { None };
        self.refusals.retain(|_, at| !at.is_empty());
    }

    /// What is asked of each slice, as the guard is to count it.
    fn reckon(&mut self) {
        self.fresh = false;
        let demand = self.asked.demand(self.slices.iter().copied());
        for (slice, demand) in demand {
            let old = self.guard.loads().tables().get(&slice).map(|table| &table.demand);
            // A tenth up or down is below what sums tell.
            let alike = |(a, b): (&f64, &f64)| (a - b).abs() <= 0.1 * b.max(0.01);
            if !old.is_some_and(|old| old.len() == demand.len() && old.iter().zip(&demand).all(alike)) {
                self.guard.demand(slice, &demand);
            }
        }
    }

    /// What of the orders may go out, and what the module is told of the rest.
    fn judged(&mut self, now: f64, orders: Vec<Order>) -> (Vec<Order>, Vec<Input>) {
        let lines = |order: &Order| matches!(order, Order::Line { .. } | Order::Clear(_));
        if !orders.iter().any(lines) {
            return (orders, vec![]);
        }
        self.counts.judged += 1;
        let calls: Vec<Vec<Order>> = orders.chunks(CALL_MOST).map(<[Order]>::to_vec).collect();
        // Who drains by the list is closed at once; what is announced is not yet so.
        let pending = std::mem::take(&mut self.pending);
        let verdict = self.guard.judge(&calls, &pending, now);
        self.pending = pending;
        let refused = match verdict {
            Verdict::Accepted => {
                self.counts.accepted += 1;
                return (orders, vec![]);
            }
            // Less bad than what stands goes out, though the guard knows of something safe: the module does not, and what
            // stands meanwhile costs more. Refusing it, for a turn or three times, cost 0.03 on a day of crashes and a
            // deploy (`docs/guard.md`). Files and operators' tables are not passed so.
            Verdict::Refused(found) if found.better => {
                self.counts.least_bad += 1;
                return (orders, vec![]);
            }
            Verdict::Least(_) => {
                self.counts.least_bad += 1;
                return (orders, vec![]);
            }
            Verdict::Refused(refused) => refused,
        };
        self.counts.refused += 1;
        let mut safe = Vec::new();
        self.log(now, &refused, &mut safe);
        if self.mode == Mode::Watch {
            safe.extend(orders);
            return (safe, vec![]);
        }
        let slices = self.blamed(now, &orders, &refused);
        let mut back = Vec::new();
        for slice in &slices {
            self.refusals.entry(*slice).or_default().push(now);
            let lines =
                self.guard.loads().tables().get(slice).map(|table| table.lines.clone()).unwrap_or_default();
            let hosts = orders.iter().filter_map(|order| match order {
                Order::Line { slice: of, host, weight } if of == slice && *weight > 0.0 => Some(Some(*host)),
                _ => None,
            });
            let told = |host| Input::Refused { slice: *slice, host, lines: lines.clone() };
            back.extend(hosts.chain([None]).map(told));
        }
        if slices.is_empty() {
            self.counts.overruled += 1;
        }
        let of = |order: &Order| match order {
            Order::Line { slice, .. } | Order::Clear(slice) => Some(*slice),
            _ => None,
        };
        safe.extend(
            orders.into_iter().filter(|order| of(order).is_none_or(|slice| !slices.contains(&slice))),
        );
        (safe, back)
    }

    /// The slices whose orders make it unsafe. One that was refused too often is let through, if no rule is at stake and
    /// it is not far past its bound: what hosts carry is an estimate.
    fn blamed(&mut self, now: f64, orders: &[Order], refused: &Refused) -> BTreeSet<SliceId> {
        let mut slices: BTreeMap<SliceId, bool> = BTreeMap::new();
        for order in orders {
            let (slice, host, weight) = match order {
                Order::Line { slice, host, weight } => (slice, Some(host), *weight),
                Order::Clear(slice) => (slice, None, 0.0),
                _ => continue,
            };
            let new = host.filter(|_| weight > 0.0);
            let blames = |found: &&Unsafe| match &found.reason {
                Reason::Bare { slice: bare } => bare == slice,
                Reason::Falls { host: of, .. }
                | Reason::Over { host: of, .. }
                | Reason::Piled { host: of, .. } => new == Some(of),
                Reason::Crammed { zone, .. } => new
                    .and_then(|host| self.guard.pool().hosts.get(host))
                    .is_some_and(|host| host.zone == *zone),
            };
            for found in refused.reasons.iter().filter(blames) {
                let rule = matches!(found.reason, Reason::Bare { .. } | Reason::Falls { .. });
                *slices.entry(*slice).or_default() |= rule || found.reason.much() > FAR;
            }
        }
        slices.retain(|slice, severe| {
            let lately = self.refusals.entry(*slice).or_default();
            lately.retain(|at| now - at <= REFUSED_SPAN);
            *severe || lately.len() < REFUSED_MOST
        });
        slices.into_keys().collect()
    }

    fn log(&mut self, now: f64, refused: &Refused, orders: &mut Vec<Order>) {
        if now - self.logs.0 >= 1.0 {
            self.logs = (now, 0);
        }
        self.logs.1 += 1;
        if self.logs.1 > LOGS_MOST {
            return;
        }
        let Some(worst) = refused.reasons.first() else { return };
        let more = refused.reasons.len() - 1;
        let repair = match &refused.repair {
            Some(repair) => format!("{} moves would mend it", repair.moves.len()),
            None => "no repair found".to_string(),
        };
        let held = if self.mode == Mode::On { "refused" } else { "would refuse" };
        let text = format!("guard {held}: {worst}; {more} more reasons, {repair}");
        orders.push(Order::Log { text, hosts: worst.reason.host().into_iter().collect() });
    }
}
