//! The judgement itself: what stands, what is proposed, what is pending.

use crate::danger::{look, Danger, Moment, Parts, Reason, Unsafe};
use crate::loads::{Loads, Table};
use crate::pool::{Change, Host, Pending, Pool};
use crate::repair::{better, whole, Repair, Way};
use coppersail::interface::{HostId, Order, SliceId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How far ahead what is pending is looked at, seconds. What comes later will have been answered by other tables: new
/// ones are told within a few seconds even where the channel is slow.
const AHEAD: f64 = 15.0;
/// A known danger counts as worse when it has grown by more than this.
const WORSE: f64 = 0.01;
/// What is as bad as it may be to the last bit must not be told by the order in which sums were made.
const ROUNDING: f64 = 1e-9;
/// Reasons that one answer names; the rest is counted.
const NAMED_MOST: usize = 100;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refused {
    /// All that is unsafe and would not be so without the proposal, worst first.
    pub reasons: Vec<Unsafe>,
    /// What makes the proposal safe, or safer than anything else that was found.
    pub repair: Option<Repair>,
    /// With its repair the proposal would be accepted, and better than what stands.
    pub safe: bool,
    /// As it is, it is less bad than what stands.
    pub better: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Accepted,
    /// Unsafe in these points, but less so than what stands, and nothing safe was found or a slice is without a host
    /// meanwhile: the fleet must not stop for it. There may be a repair that makes it better still.
    Least(Refused),
    Refused(Refused),
}

impl Verdict {
    pub fn passes(&self) -> bool {
        !matches!(self, Verdict::Refused(_))
    }
}

/// What was changed on trial, to be taken back.
enum Undo {
    Line(SliceId, HostId, f64),
    Host(HostId, Host),
}

/// The pool and the tables as they stand, ready to judge what is to come.
pub struct Guard {
    pub(crate) pool: Pool,
    pub(crate) loads: Loads,
    /// What shares are measured by, for when, and for which hosts: it costs by the fleet, so it is kept for a while.
    parts: Option<(f64, u64, Rc<Parts>)>,
    /// Counts changes of hosts that do not show in `Loads`.
    changed: u64,
}

/// Parts are reckoned anew after so many seconds: hosts warm up slowly.
const PARTS_KEPT: f64 = 0.5;

impl Guard {
    pub fn new(pool: Pool, tables: &BTreeMap<SliceId, Table>, routes: usize) -> Self {
        let loads = Loads::of(&pool, tables, routes);
        Guard { pool, loads, parts: None, changed: 0 }
    }

    pub fn pool(&self) -> &Pool {
        &self.pool
    }
    pub fn loads(&self) -> &Loads {
        &self.loads
    }
    pub fn bounds(&mut self) -> &mut crate::pool::Bounds {
        &mut self.pool.bounds
    }

    /// A host as it is now.
    pub fn host(&mut self, id: HostId, host: Host) {
        self.set(id, host);
    }

    pub fn drop_host(&mut self, id: HostId) {
        if let Some(host) = self.pool.hosts.get(&id).copied() {
            self.loads.host(id, &Host { state: crate::pool::State::Gone, ..host });
        }
        self.changed += 1;
        self.pool.hosts.remove(&id);
        self.loads.drop_host(id);
    }

    pub fn demand(&mut self, slice: SliceId, demand: &[f64]) {
        self.loads.demand(slice, demand);
    }

    /// What stands of a table, as news tell; an order that was judged is taken in by `told`.
    pub fn line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.loads.line(slice, host, weight);
    }

    pub fn drop_slice(&mut self, slice: SliceId) {
        self.loads.drop_slice(slice);
    }

    /// The orders are on their way: from now on they are what stands.
    pub fn told(&mut self, orders: &[Order]) {
        orders.iter().for_each(|order| drop(self.apply(order)));
    }

    fn apply(&mut self, order: &Order) -> Vec<Undo> {
        match order {
            Order::Line { slice, host, weight } => {
                let old = self.loads.tables().get(slice).and_then(|table| table.lines.get(host)).copied();
                self.loads.line(*slice, *host, *weight);
                vec![Undo::Line(*slice, *host, old.unwrap_or(0.0))]
            }
            Order::Clear(slice) => {
                let lines =
                    self.loads.tables().get(slice).map(|table| table.lines.clone()).unwrap_or_default();
                self.loads.clear(*slice);
                lines.into_iter().map(|(host, weight)| Undo::Line(*slice, host, weight)).collect()
            }
            Order::Withdraw { host: id, out } => {
                let Some(host) = self.pool.hosts.get(id).copied() else { return vec![] };
                self.set(*id, Host { out: *out, ..host });
                vec![Undo::Host(*id, host)]
            }
            _ => vec![],
        }
    }

    fn set(&mut self, id: HostId, host: Host) {
        self.loads.host(id, &host);
        if self.pool.hosts.insert(id, host) != Some(host) {
            self.changed += 1;
        }
    }

    pub(crate) fn parts(&mut self, now: f64) -> Rc<Parts> {
        let which = self.loads.generation() + self.changed;
        match &self.parts {
            Some((at, of, parts)) if *of == which && (now - at).abs() < PARTS_KEPT => parts.clone(),
            _ => {
                let parts = Rc::new(Parts::of(&self.pool, &mut self.loads, now));
                self.parts = Some((now, which, parts.clone()));
                parts
            }
        }
    }

    fn look(&mut self, hosts: &BTreeSet<HostId>, now: f64) -> Vec<Reason> {
        let parts = self.parts(now);
        look(&self.pool, &self.loads, &parts, hosts, now)
    }

    fn take_back(&mut self, undo: Vec<Undo>) {
        for undo in undo.into_iter().rev() {
            match undo {
                Undo::Line(slice, host, weight) => self.loads.line(slice, host, weight),
                Undo::Host(id, host) => self.set(id, host),
            }
        }
    }

    fn happen(&mut self, pending: &Pending) -> Vec<Undo> {
        let Some(host) = self.pool.hosts.get(&pending.host).copied() else { return vec![] };
        let state = match pending.what {
            Change::Leaves => crate::pool::State::Draining,
            Change::Opens => crate::pool::State::Ready,
        };
        self.set(
            pending.host,
            Host { state, proven: true, out: host.out && pending.what == Change::Leaves, ..host },
        );
        vec![Undo::Host(pending.host, host)]
    }

    /// What there is to see now and at each turning point ahead. All is as before when it returns.
    pub(crate) fn each_moment<T>(
        &mut self,
        pending: &[Pending],
        now: f64,
        see: &mut dyn FnMut(&mut Guard, Moment, f64) -> T,
    ) -> Vec<T> {
        let mut seen = vec![see(self, Moment::Told, now)];
        let (mut undo, kept, which) =
            (Vec::new(), self.parts.clone(), self.loads.generation() + self.changed);
        for (k, event) in pending.iter().enumerate() {
            undo.extend(self.happen(event));
            // Of several at one time only all together are a moment.
            if pending.get(k + 1).is_none_or(|next| next.at > event.at) {
                seen.push(see(self, Moment::At(event.at), event.at));
            }
        }
        if !undo.is_empty() {
            self.take_back(undo);
            // All is as it was, so what was kept holds again.
            let now_which = self.loads.generation() + self.changed;
            self.parts = kept.map(|(at, of, parts)| (at, if of == which { now_which } else { of }, parts));
        }
        seen
    }

    /// What is wrong now and at each turning point ahead, with the hosts that were touched.
    pub(crate) fn ahead(
        &mut self,
        hosts: &BTreeSet<HostId>,
        pending: &[Pending],
        now: f64,
    ) -> Vec<(Moment, Vec<Reason>)> {
        self.each_moment(pending, now, &mut |guard, moment, at| {
            // Who comes or goes changes the fair part of everybody.
            let all = || guard.pool.hosts.keys().copied().collect();
            let touched = if moment == Moment::Told { hosts.clone() } else { all() };
            (moment, guard.look(&touched, at))
        })
    }

    pub(crate) fn worst(found: &[(Moment, Vec<Reason>)]) -> Danger {
        found.iter().map(|(_, reasons)| Danger::of(reasons)).fold(Danger::default(), Danger::worst)
    }

    /// How bad it is with these hosts, now and ahead.
    pub(crate) fn danger(&mut self, hosts: &BTreeSet<HostId>, pending: &[Pending], now: f64) -> Danger {
        Self::worst(&self.ahead(hosts, pending, now))
    }

    /// What of the pending is near enough to matter, in its order.
    pub(crate) fn near(pending: &[Pending], now: f64) -> Vec<Pending> {
        let near = |event: &&Pending| event.at <= now + AHEAD;
        // What was due already is due now: hosts are as old as they are.
        let due = |event: &Pending| Pending { at: event.at.max(now), ..*event };
        let mut near: Vec<Pending> = pending.iter().filter(near).map(due).collect();
        near.sort_by(|a, b| a.at.total_cmp(&b.at));
        near
    }

    /// Whether these orders, told in these calls, leave things safe, or at least no worse than they must be.
    pub fn judge(&mut self, calls: &[Vec<Order>], pending: &[Pending], now: f64) -> Verdict {
        let pending = Self::near(pending, now);
        let touched = self.touched(calls);
        let before = self.ahead(&touched, &pending, now);
        let mut undo = Vec::new();
        let mut between = Vec::new();
        for (k, call) in calls.iter().enumerate() {
            undo.extend(call.iter().flat_map(|order| self.apply(order)).collect::<Vec<Undo>>());
            if k + 1 < calls.len() {
                between.push((Moment::Between(k), self.look(&touched, now)));
            }
        }
        let after = self.ahead(&touched, &pending, now);
        let found = caused(&before, &between, &after);
        if found.is_empty() {
            self.take_back(undo);
            return Verdict::Accepted;
        }
        let less = Self::worst(&after).compare(&Self::worst(&before)) == Ordering::Less;
        // What is only unsafe in between is mended by its order, not by other lines.
        let passing = found.iter().all(|found| matches!(found.when, Moment::Between(_)));
        self.take_back(undo);
        let (repaired, safe) =
            if passing { (None, false) } else { self.repaired(calls, &touched, &pending, now) };
        let bare = |found: &[(Moment, Vec<Reason>)]| Self::worst(found).bare;
        let refused = Refused { reasons: found, repair: repaired, safe, better: less };
        // A slice without a host loses every call: it is not kept waiting for a better table. What passes between two
        // calls is gone with the second one; told in another order it need not come at all.
        if less && !passing && (!safe || bare(&after) < bare(&before)) {
            Verdict::Least(refused)
        } else {
            Verdict::Refused(refused)
        }
    }

    /// The repair that suits best, and whether with it the proposal would be accepted and better than what stands: then
    /// there is something safe, and no need for less.
    fn repaired(
        &mut self,
        calls: &[Vec<Order>],
        touched: &BTreeSet<HostId>,
        pending: &[Pending],
        now: f64,
    ) -> (Option<Repair>, bool) {
        let all: BTreeSet<HostId> = self.pool.hosts.keys().copied().collect();
        let before = self.ahead(&all, pending, now);
        let bounds = self.bounds_ahead(pending, now);
        let undo: Vec<Undo> = calls.iter().flatten().flat_map(|order| self.apply(order)).collect();
        let mut best: Option<(Repair, bool)> = None;
        for way in Way::ALL {
            let Some(repair) = way.repair(self, touched, pending, now, &bounds) else { continue };
            // As it stands nothing is worse than it stands; what is offered must be better than that.
            let less = repair.left.compare(&Self::worst(&before)) == Ordering::Less;
            let safe = whole(&repair)
                || less && {
                    let orders = repair.orders();
                    let mut wide = self.touched(std::slice::from_ref(&orders));
                    wide.extend(touched);
                    let more: Vec<Undo> = orders.iter().flat_map(|order| self.apply(order)).collect();
                    let mended = self.ahead(&wide, pending, now);
                    self.take_back(more);
                    caused(&before, &[], &mended).is_empty()
                };
            let done = whole(&repair);
            if best.as_ref().is_none_or(|(old, was)| safe & !*was || safe == *was && better(&repair, old)) {
                best = Some((repair, safe));
            }
            // The ways come by their cost.
            if done {
                break;
            }
        }
        self.take_back(undo);
        best.map_or((None, false), |(repair, safe)| (Some(repair), safe))
    }

    /// Hosts whose loads the calls may change.
    fn touched(&self, calls: &[Vec<Order>]) -> BTreeSet<HostId> {
        let mut slices = BTreeSet::new();
        let mut hosts = BTreeSet::new();
        for order in calls.iter().flatten() {
            match order {
                Order::Line { slice, host, .. } => {
                    slices.insert(*slice);
                    hosts.insert(*host);
                }
                Order::Clear(slice) => _ = slices.insert(*slice),
                // Who comes or goes changes the fair part of everybody.
                Order::Withdraw { .. } => hosts.extend(self.pool.hosts.keys().copied()),
                _ => {}
            }
        }
        let tables = slices.iter().filter_map(|slice| self.loads.tables().get(slice));
        hosts.extend(tables.flat_map(|table| table.lines.keys().copied()));
        hosts
    }
}

/// What the proposal makes unsafe or worse, at each moment against the same moment without it; and between calls, what is
/// there neither before nor after.
fn caused(
    before: &[(Moment, Vec<Reason>)],
    between: &[(Moment, Vec<Reason>)],
    after: &[(Moment, Vec<Reason>)],
) -> Vec<Unsafe> {
    let known = |reasons: &[Reason], reason: &Reason| {
        reasons.iter().any(|old| {
            old.about() == reason.about() && reason.much() <= old.much() * (1.0 + WORSE) + WORSE + ROUNDING
        })
    };
    let mut found: Vec<Unsafe> = Vec::new();
    for ((when, new), (_, old)) in after.iter().zip(before) {
        let fresh = new.iter().filter(|reason| !known(old, reason));
        found.extend(fresh.map(|reason| Unsafe { reason: reason.clone(), when: *when }));
    }
    let (first, last) = (&before[0].1, &after[0].1);
    for (when, new) in between {
        let fresh = new.iter().filter(|reason| !known(first, reason) && !known(last, reason));
        found.extend(fresh.map(|reason| Unsafe { reason: reason.clone(), when: *when }));
    }
    found.sort_by(|a, b| {
        a.reason.about().0.cmp(&b.reason.about().0).then(b.reason.much().total_cmp(&a.reason.much()))
    });
    found.truncate(NAMED_MOST);
    found
}
