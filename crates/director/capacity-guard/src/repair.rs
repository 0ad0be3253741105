//! The smallest repair of a proposal: as few lines moved as it can, to cold hosts only when it must. A greedy search with
//! bounds; each step mends the worst point that is left, and what cannot be mended is left aside.

use crate::danger::{Danger, Reason};
use crate::loads::Table;
use crate::plan::{plan, Ahead};
use crate::pool::{Change, Pending};
use crate::verdict::Guard;
use coppersail::interface::{HostId, Order, RouteId, SliceId, ZoneId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Steps after which it stops with what it has: a table that needs more is to be made anew, not repaired.
pub const STEPS_MOST: usize = 2000;

pub(crate) type Lines = BTreeMap<HostId, f64>;

/// One line goes to another host; with no host to come from it is a new one, and from a host to itself it gets another
/// weight, or with weight 0 goes away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move {
    pub slice: SliceId,
    pub from: Option<HostId>,
    pub to: HostId,
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Repair {
    pub moves: Vec<Move>,
    /// What remains unsafe with it; nothing, if it is whole.
    pub left: Danger,
    /// It stopped at its bound of steps.
    pub cut_off: bool,
}

impl Repair {
    /// What to tell beside the proposal: new lines before old ones go.
    pub fn orders(&self) -> Vec<Order> {
        let line = |slice, host, weight| Order::Line { slice, host, weight };
        let new = self.moves.iter().map(|made| line(made.slice, made.to, made.weight));
        let left = self.moves.iter().filter(|made| made.from != Some(made.to));
        let old = left.filter_map(|made| Some(line(made.slice, made.from?, 0.0)));
        new.chain(old).collect()
    }
}

/// What a line brings its host, by what is to be lowered there.
#[derive(Clone, Copy)]
enum By {
    Calls,
    AtWorst,
    Route(RouteId),
}

/// How a repair is looked for, from the cheapest to the dearest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Whole lines to other hosts.
    Moves,
    /// Other weights, so that nothing at all is wrong.
    Weights,
    /// Other weights, so that nothing is worse than without the proposal.
    NoWorse,
}

impl Way {
    pub const ALL: [Way; 3] = [Way::Moves, Way::Weights, Way::NoWorse];

    /// What makes the tables that the guard now holds less dangerous. The guard is as before when it returns.
    pub fn repair(
        self,
        guard: &mut Guard,
        touched: &BTreeSet<HostId>,
        pending: &[Pending],
        now: f64,
        bounds: &BTreeMap<HostId, Ahead>,
    ) -> Option<Repair> {
        match self {
            Way::Moves => by_moves(guard, touched, pending, now),
            Way::Weights => plan(guard, touched, pending, now, &|host| &bounds[&host].strict),
            Way::NoWorse => plan(guard, touched, pending, now, &|host| &bounds[&host].no_worse),
        }
    }
}

/// Whether one leaves less than another, or as much in fewer moves.
pub(crate) fn better(one: &Repair, other: &Repair) -> bool {
    match one.left.compare(&other.left) {
        Ordering::Equal => one.moves.len() < other.moves.len(),
        order => order == Ordering::Less,
    }
}

/// Nothing is wrong any more.
pub(crate) fn whole(repair: &Repair) -> bool {
    repair.left == Danger::default()
}

/// The lines of some tables.
pub(crate) fn tables_of<'a>(
    guard: &Guard,
    slices: impl Iterator<Item = &'a SliceId>,
) -> BTreeMap<SliceId, Lines> {
    let lines = |slice: &SliceId| guard.loads.tables().get(slice).map(|table| table.lines.clone());
    slices.map(|slice| (*slice, lines(slice).unwrap_or_default())).collect()
}

/// A greedy search: each step moves the one line that does most about the worst point that is left.
fn by_moves(guard: &mut Guard, touched: &BTreeSet<HostId>, pending: &[Pending], now: f64) -> Option<Repair> {
    let leaving: BTreeSet<HostId> =
        pending.iter().filter(|event| event.what == Change::Leaves).map(|event| event.host).collect();
    let (mut hosts, mut aside, mut moves) = (touched.clone(), BTreeSet::new(), Vec::<Move>::new());
    let mut steps = 0;
    while steps < STEPS_MOST {
        steps += 1;
        let Some(reason) = guard.worst_left(&hosts, pending, now, &aside) else { break };
        let Some(made) = guard.mend(&reason, &leaving, now) else {
            aside.insert(reason.about());
            continue;
        };
        guard.put(&made);
        hosts.insert(made.to);
        moves.push(made);
    }
    // With all hosts, as a line may have gone to one that was in danger already.
    let lines = |guard: &Guard| tables_of(guard, moves.iter().map(|made| &made.slice));
    let after = lines(guard);
    let all: BTreeSet<HostId> = guard.pool.hosts.keys().copied().collect();
    let left = guard.danger(&all, pending, now);
    moves.iter().rev().for_each(|made| guard.take(made));
    let before = lines(guard);
    let proposed = guard.danger(&all, pending, now);
    let moves = before.iter().flat_map(|(slice, lines)| net(*slice, lines, &after[slice])).collect();
    let better = left.compare(&proposed) == Ordering::Less;
    better.then_some(Repair { moves, left, cut_off: steps == STEPS_MOST })
}

/// What all moves come to: a line that was moved twice was moved once, and one that came back was not.
pub(crate) fn net(slice: SliceId, before: &Lines, after: &Lines) -> Vec<Move> {
    let mut gone = before.keys().filter(|host| !after.contains_key(host)).copied();
    let made = |from, to: &HostId, weight: f64| Move { slice, from, to: *to, weight };
    let changed = |host: &HostId, weight: &f64| before.get(host).is_some_and(|old| old != weight);
    let weighed = after.iter().filter(|(host, weight)| changed(host, weight));
    let mut moves: Vec<Move> = weighed.map(|(host, weight)| made(Some(*host), host, *weight)).collect();
    let new = after.iter().filter(|(host, _)| !before.contains_key(host));
    moves.extend(new.map(|(to, weight)| made(gone.next(), to, *weight)));
    moves.extend(gone.map(|host| made(Some(host), &host, 0.0)));
    moves
}

impl Guard {
    fn put(&mut self, made: &Move) {
        self.loads.line(made.slice, made.to, made.weight);
        made.from.into_iter().for_each(|from| self.loads.line(made.slice, from, 0.0));
    }

    fn take(&mut self, made: &Move) {
        made.from.into_iter().for_each(|from| self.loads.line(made.slice, from, made.weight));
        self.loads.line(made.slice, made.to, 0.0);
    }

    /// The worst point that is left, at whatever moment.
    fn worst_left(
        &mut self,
        hosts: &BTreeSet<HostId>,
        pending: &[Pending],
        now: f64,
        aside: &BTreeSet<(u8, u32, u16)>,
    ) -> Option<Reason> {
        let found = self.ahead(hosts, pending, now).into_iter().flat_map(|(_, reasons)| reasons);
        let open = found.filter(|reason| !aside.contains(&reason.about()));
        let key = |reason: &Reason| (std::cmp::Reverse(reason.about().0), reason.much());
        open.max_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal))
    }

    /// The move that does most about it; none: nobody can take what would have to go.
    fn mend(&self, reason: &Reason, leaving: &BTreeSet<HostId>, now: f64) -> Option<Move> {
        match reason {
            Reason::Bare { slice } => {
                let table = self.loads.tables().get(slice)?;
                let to = self.taker(table, table.calls(), None, leaving, now).or_else(|| {
                    // With nobody who has room somebody must: the one who would have least too much.
                    self.taker_at_any_price(table, leaving, now)
                })?;
                Some(Move { slice: *slice, from: None, to, weight: 1.0 })
            }
            Reason::Falls { host, calls, stands } => {
                let by = if self.loads.brought(*host)?.calls > *stands { By::Calls } else { By::AtWorst };
                self.off(*host, by, calls - stands, None, leaving, now)
            }
            Reason::Over { host, calls, carries } => {
                self.off(*host, By::Calls, calls - carries, None, leaving, now)
            }
            Reason::Piled { route, host, share, bound } => {
                let excess = (share - bound) * self.loads.total(*route);
                self.off(*host, By::Route(*route), excess, None, leaving, now)
            }
            Reason::Crammed { route, zone, share, bound } => {
                let excess = (share - bound) * self.loads.total(*route);
                let within = self.pool.open().filter(|(_, host)| host.zone == *zone).map(|(id, _)| id);
                let load =
                    |id: &HostId| self.loads.brought(*id).map_or(0.0, |b| b.by_route[route.0 as usize]);
                let fullest = within.max_by(|a, b| load(a).total_cmp(&load(b)))?;
                self.off(fullest, By::Route(*route), excess, Some(*zone), leaving, now)
            }
        }
    }

    /// A line off a host: the one that just suffices, else the one that does most, if anybody can take it.
    fn off(
        &self,
        host: HostId,
        by: By,
        excess: f64,
        not_in: Option<ZoneId>,
        leaving: &BTreeSet<HostId>,
        now: f64,
    ) -> Option<Move> {
        let brought = self.loads.brought(host)?;
        let mut lines: Vec<(f64, SliceId, f64)> = Vec::new();
        for slice in &brought.tables {
            let table = self.loads.tables().get(slice)?;
            let weight = table.lines.get(&host).copied().unwrap_or(0.0);
            let open: f64 =
                table.lines.iter().filter(|(id, _)| self.loads.is_open(**id)).map(|(_, w)| w).sum();
            let share = weight / open.max(1e-9);
            let much = match by {
                By::Calls => share * table.calls(),
                By::AtWorst => table.calls(),
                By::Route(route) => share * table.demand.get(route.0 as usize).copied().unwrap_or(0.0),
            };
            if much > 0.0 {
                lines.push((much, *slice, share * table.calls()));
            }
        }
        // Those that suffice from the smallest up, then the others from the greatest down.
        let key = |much: f64| if much >= excess { (0, much) } else { (1, -much) };
        lines.sort_by(|a, b| key(a.0).partial_cmp(&key(b.0)).unwrap_or(Ordering::Equal));
        lines.into_iter().find_map(|(_, slice, calls)| {
            let table = &self.loads.tables()[&slice];
            let to = self.taker(table, calls, not_in, leaving, now)?;
            Some(Move { slice, from: Some(host), to, weight: table.lines[&host] })
        })
    }

    /// Who can take so many more calls of a table: warm ones first, then whoever has most room.
    fn taker(
        &self,
        table: &Table,
        calls: f64,
        not_in: Option<ZoneId>,
        leaving: &BTreeSet<HostId>,
        now: f64,
    ) -> Option<HostId> {
        let bounds = &self.pool.bounds;
        let room = |id: HostId, host: &crate::pool::Host| {
            let brought = self.loads.brought(id);
            let carried = brought.map_or(0.0, |brought| brought.calls);
            let worst = brought.map_or(0.0, |brought| brought.at_worst);
            let room = host.limit(now, bounds) - carried - calls;
            let at_worst = host.falls_at(now, bounds) - worst - table.calls();
            (room >= 0.0 && at_worst >= 0.0).then_some(if room.is_finite() { room } else { -carried })
        };
        let fits = self.pool.open().filter(|(id, host)| {
            !table.lines.contains_key(id) && !leaving.contains(id) && Some(host.zone) != not_in
        });
        let keyed = fits.filter_map(|(id, host)| Some(((host.warm(now, bounds), room(id, host)?), id)));
        keyed.max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal)).map(|(_, id)| id)
    }

    fn taker_at_any_price(&self, table: &Table, leaving: &BTreeSet<HostId>, now: f64) -> Option<HostId> {
        let bounds = &self.pool.bounds;
        let load = |id: HostId, host: &crate::pool::Host| {
            let carried = self.loads.brought(id).map_or(0.0, |brought| brought.calls) + table.calls();
            let unit = host.unit(now, bounds);
            (!host.warm(now, bounds), carried / unit.max(1e-9))
        };
        // One that leaves soon is better than none at all, but no help where there is such a one already.
        let bare = !table.lines.keys().any(|host| self.loads.is_open(*host));
        let fits = |id: &HostId| !table.lines.contains_key(id) && (bare || !leaving.contains(id));
        let open = self.pool.open().filter(|(id, _)| fits(id));
        let keyed = open.map(|(id, host)| ((leaving.contains(&id), load(id, host)), id));
        keyed.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal)).map(|(_, id)| id)
    }
}
