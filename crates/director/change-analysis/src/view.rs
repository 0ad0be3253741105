//! One part of service, such as a route: what of it the change touches, what it does not, and what both were like
//! before.

use crate::past::Period;
use crate::{Found, Touch};
use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::{BTreeSet, VecDeque};
use std::fmt;

/// Calls on a side below which a period is put together with the next: fewer tell nothing.
const LEAST: f64 = 10.0;
/// Losses this small are below what anybody would undo a change for, and below what is known of noise.
const TOLERATED: f64 = 0.005;
/// A fleet-wide trouble may hit what the change touches half as hard again as the rest.
const UNEVEN: f64 = 1.5;
/// Standard errors of the time before that are given to the change's benefit. What is beyond them, one time in
/// twenty, is still far too little to look like harm by itself.
const DOUBT: f64 = 1.6;
/// The untouched side is smoothed over about five periods, as its own noise must not look like a trouble; one that is
/// this many standard errors off counts at once.
const SMOOTH: f64 = 0.3;
const SUDDEN: f64 = 2.0;
/// Looks over which it is told whether all is as before the change: one alone scatters too much.
const WINDOW: usize = 5;
/// Standard errors by which a window may be over the bound and still count as the time before.
const CALM_DOUBT: f64 = 2.0;
/// A rate below this is taken for this: no fleet is without any loss for long.
const RATE_LEAST: f64 = 0.005;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    Route(RouteId),
    /// All routes by importance.
    All,
    /// All calls alike, which tells most of what hits every route.
    Calls,
    /// Tries at hosts, dropped or later than the SLO time.
    Hosts,
}

impl fmt::Display for Part {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Part::Route(route) => write!(out, "route {}", route.0),
            Part::All => out.write_str("all routes by importance"),
            Part::Calls => out.write_str("all calls"),
            Part::Hosts => out.write_str("hosts"),
        }
    }
}

/// Weighed calls: their sum, the lost of it, and the sum of squared weights, which tells how many calls it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Sum {
    calls: f64,
    lost: f64,
    squares: f64,
}

impl Sum {
    fn add(&mut self, weight: f64, calls: f64, lost: f64) {
        self.calls += weight * calls;
        self.lost += weight * lost;
        self.squares += weight * weight * calls;
    }

    fn join(self, other: Sum) -> Sum {
        Sum {
            calls: self.calls + other.calls,
            lost: self.lost + other.lost,
            squares: self.squares + other.squares,
        }
    }

    /// So many plain calls tell as much.
    fn worth(&self) -> f64 {
        if self.squares > 0.0 {
            self.calls * self.calls / self.squares
        } else {
            0.0
        }
    }

    fn rate(&self) -> f64 {
        self.lost / self.calls.max(1e-9)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Both {
    touched: Sum,
    rest: Sum,
}

/// How a part's calls fall on the two sides.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sides {
    part: Part,
    slices: BTreeSet<SliceId>,
    routes: BTreeSet<RouteId>,
    hosts: BTreeSet<HostId>,
    /// What other trials touch is on neither side.
    other_slices: BTreeSet<SliceId>,
    other_routes: BTreeSet<RouteId>,
    other_hosts: BTreeSet<HostId>,
    importance: Vec<f64>,
    /// There is no side to compare with.
    alone: bool,
}

impl Sides {
    pub fn new(part: Part, touch: &Touch, others: &[&Touch], importance: &[f64], alone: bool) -> Self {
        Sides {
            part,
            slices: touch.slices.clone(),
            routes: touch.routes.clone(),
            hosts: touch.hosts.clone(),
            other_slices: others.iter().flat_map(|touch| touch.slices.iter().copied()).collect(),
            other_routes: others.iter().flat_map(|touch| touch.routes.iter().copied()).collect(),
            other_hosts: others.iter().flat_map(|touch| touch.hosts.iter().copied()).collect(),
            importance: importance.to_vec(),
            alone,
        }
    }

    fn split(&self, period: &Period) -> Both {
        let mut both = Both::default();
        if self.part == Part::Hosts {
            for at in &period.at_hosts {
                let side = match () {
                    _ if self.hosts.contains(&at.host) => &mut both.touched,
                    _ if self.other_hosts.contains(&at.host) => continue,
                    _ => &mut both.rest,
                };
                side.add(1.0, f64::from(at.tries), f64::from(at.lost));
            }
            return both;
        }
        for cell in &period.cells {
            let touched = self.slices.contains(&cell.slice) || self.routes.contains(&cell.route);
            let weight = match self.part {
                Part::Route(route) if cell.route == route => 1.0,
                // A route that is touched everywhere is compared with the others.
                Part::Route(route) if self.routes.contains(&route) && !touched => 1.0,
                Part::Route(_) => continue,
                Part::Calls => 1.0,
                _ => self.importance[cell.route.0 as usize],
            };
            let side = match () {
                _ if touched => &mut both.touched,
                _ if self.other_slices.contains(&cell.slice) || self.other_routes.contains(&cell.route) => {
                    continue
                }
                _ => &mut both.rest,
            };
            side.add(weight, f64::from(cell.calls), f64::from(cell.lost));
        }
        both
    }

    /// Periods with too few calls are put together until they have enough.
    fn enough(&self, both: &Both, alone: bool) -> bool {
        both.touched.worth() >= LEAST && (alone || both.rest.worth() >= LEAST)
    }
}

/// What a part was like before the change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ground {
    touched: f64,
    rest: f64,
    alone: bool,
    /// How far the touched side's rate may be off, as it was measured over so many calls.
    doubt: f64,
    /// Noise against that of independent calls: 1 or more.
    noise: f64,
}

/// The touched side's rate that goes with what is seen on the other, if the change does nothing.
fn expected(ground: &Ground, rest: f64, uneven: f64) -> f64 {
    let worse = if ground.alone { 0.0 } else { (rest - ground.rest).max(0.0) };
    (ground.touched + uneven * worse).clamp(RATE_LEAST, 0.95)
}

impl Ground {
    /// None: too little was heard of it to compare with.
    pub fn of<'a>(sides: &Sides, periods: impl Iterator<Item = &'a Period>) -> Option<Ground> {
        let both: Vec<Both> = periods.map(|period| sides.split(period)).collect();
        let sum = both.iter().fold(Both::default(), |sum, both| Both {
            touched: sum.touched.join(both.touched),
            rest: sum.rest.join(both.rest),
        });
        // A side with a twentieth of the other's calls tells too little to be a measure.
        let alone = sides.alone || sum.rest.worth() < 0.05 * sum.touched.worth();
        let (mut pending, mut blocks) = (Both::default(), Vec::new());
        for both in both {
            pending =
                Both { touched: pending.touched.join(both.touched), rest: pending.rest.join(both.rest) };
            if sides.enough(&pending, alone) {
                blocks.push(std::mem::take(&mut pending));
            }
        }
        // Three is the least from which noise can be told at all; most parts have dozens.
        if blocks.len() < 3 {
            return None;
        }
        let (touched, rest) = (sum.touched.rate().max(RATE_LEAST), sum.rest.rate());
        let mut ground = Ground { touched, rest, alone, doubt: 0.0, noise: 1.0 };
        // Noise from one period to the next, and such as goes on over five: the greater of them counts.
        let scatter = |size: usize| {
            let chunks: Vec<Both> = blocks
                .chunks_exact(size)
                .map(|chunk| {
                    chunk.iter().fold(Both::default(), |sum, both| Both {
                        touched: sum.touched.join(both.touched),
                        rest: sum.rest.join(both.rest),
                    })
                })
                .collect();
            let worse = |both: &Both| if alone { 0.0 } else { both.rest.rate() - rest };
            let square = |both: &Both| {
                let expected = (touched + worse(both)).clamp(RATE_LEAST, 0.95);
                let off = both.touched.rate() - expected;
                off * off * both.touched.worth() / (expected * (1.0 - expected))
            };
            let many = chunks.len();
            // As much less as chance may have made it more: few chunks scatter much by themselves.
            let less = 1.0 + if size > 1 { (2.0 / (many.max(2) - 1) as f64).sqrt() } else { 0.0 };
            (many >= 3).then(|| chunks.iter().map(square).sum::<f64>() / (many - 1) as f64 / less)
        };
        // Few blocks may look calmer than they are; a tenth of their number is added to what they show.
        let few = 1.0 + 3.0 / blocks.len() as f64;
        ground.noise = few * scatter(1).unwrap_or(1.0).max(scatter(5).unwrap_or(1.0)).max(1.0);
        ground.doubt = (ground.noise * touched * (1.0 - touched) / sum.touched.worth()).sqrt();
        Some(ground)
    }
}

pub(crate) struct View {
    pub sides: Sides,
    pub ground: Ground,
    /// Of periods with too few calls.
    pending: Both,
    /// The untouched side's rate, smoothed.
    rest: f64,
    /// Calls and lost ones of the last looks, while the change is set aside.
    window: VecDeque<(f64, f64)>,
}

/// What one period, or a few small ones, say of the touched side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Seen {
    pub calls: f64,
    /// The share that was lost, and the most that would be without harm.
    pub rate: f64,
    pub bound: f64,
    pub noise: f64,
    expected: f64,
}

impl View {
    pub fn new(sides: Sides, ground: Ground) -> Self {
        View { sides, ground, pending: Both::default(), rest: ground.rest, window: VecDeque::new() }
    }

    /// What was seen until now is over; what it is compared with stays.
    pub fn anew(&mut self) {
        (self.pending, self.rest) = (Both::default(), self.ground.rest);
        self.window.clear();
    }

    /// Whether the last looks were as before the change; none: too little came, or too little yet.
    pub fn calm(&mut self, period: &Period, expected_loss: f64) -> Option<bool> {
        let seen = self.take(period, expected_loss)?;
        self.window.push_back((seen.calls, seen.calls * seen.rate));
        if self.window.len() > WINDOW {
            self.window.pop_front();
        }
        let sum = |part: fn(&(f64, f64)) -> f64| self.window.iter().map(part).sum::<f64>();
        let (calls, lost) = (sum(|of| of.0), sum(|of| of.1));
        let error = (seen.noise * seen.bound * (1.0 - seen.bound) / calls.max(1.0)).sqrt();
        (self.window.len() >= WINDOW).then_some(lost / calls <= seen.bound + CALM_DOUBT * error)
    }

    pub fn take(&mut self, period: &Period, expected_loss: f64) -> Option<Seen> {
        let both = self.sides.split(period);
        let pending = &mut self.pending;
        *pending = Both { touched: pending.touched.join(both.touched), rest: pending.rest.join(both.rest) };
        if !self.sides.enough(pending, self.ground.alone) {
            return None;
        }
        let both = std::mem::take(pending);
        let now = both.rest.rate();
        self.rest += SMOOTH * (now - self.rest);
        let error = (now * (1.0 - now) / both.rest.worth().max(1.0)).sqrt();
        let expected = expected(&self.ground, self.rest.max(now - SUDDEN * error), UNEVEN);
        let alone = if self.ground.alone { 2.0 } else { 1.0 };
        let spare = alone * TOLERATED + DOUBT * self.ground.doubt + expected_loss;
        Some(Seen {
            calls: both.touched.worth(),
            rate: both.touched.rate(),
            bound: (expected + spare).min(0.98),
            noise: self.ground.noise,
            expected,
        })
    }

    pub fn found(&self, seen: &Seen) -> Found {
        Found {
            part: self.sides.part,
            lost: 100.0 * seen.rate,
            expected: 100.0 * seen.expected,
            untouched: (!self.ground.alone).then_some((100.0 * self.rest, 100.0 * self.ground.rest)),
            calls: seen.calls,
            odds: 0.0,
        }
    }
}
