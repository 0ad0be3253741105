//! A fleet as far as its sums tell of it: calls by slice and route that come by chance, losses that wander for all and
//! for each slice, sums that come late, and now and then a trouble that hits everybody, though not evenly.

use coppersail::interface::{RouteId, SliceId};
use coppersail_change_analysis::{Found, Judge, Touch, TrialId};
use fastrand::Rng;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noise {
    /// Calls that are lost by chance alone.
    Even,
    /// Losses wander, for all together and for each slice.
    Rough,
    /// The same, and a fleet-wide trouble of twenty points near the change.
    Trouble,
}

pub struct Fleet {
    pub slices: u16,
    pub calls_per_s: f64,
    /// Each route's share of the calls.
    pub routes: Vec<f64>,
    /// Lost without any harm.
    pub base: f64,
    pub noise: Noise,
    /// Seconds by which sums are late.
    pub late: f64,
    pub chance: Rng,
}

/// What a change does to the calls of a slice and a route, as a share that is lost, by seconds since it was applied.
pub type Harm<'a> = &'a dyn Fn(u16, usize, f64) -> f64;

fn normal(chance: &mut Rng) -> f64 {
    (0..12).map(|_| chance.f64()).sum::<f64>() - 6.0
}

fn poisson(chance: &mut Rng, mean: f64) -> u64 {
    let (bound, mut product, mut many) = ((-mean).exp(), chance.f64(), 0);
    while product > bound {
        product *= chance.f64();
        many += 1;
    }
    many
}

type Line = (f64, SliceId, RouteId, u64, u64);

#[derive(Default)]
pub struct Outcome {
    /// Seconds from applying until it was first out of force, and why; none: it never was.
    pub back: Option<(f64, Found)>,
    /// When it was tried once more, if it was set aside.
    pub again: Option<f64>,
    /// When it was undone for good, and why.
    pub undone: Option<(f64, Found)>,
    /// Seconds for which it was in force.
    pub in_force: f64,
}

/// What is set aside is in force for so long still: its orders have to reach the proxies.
const TAKES: f64 = 1.0;
/// As in `coppersail-changes`: without calm for so long it is given up.
const ASIDE_MOST: f64 = 300.0;

impl Fleet {
    pub fn new(seed: u64, noise: Noise, late: f64) -> Self {
        let chance = Rng::with_seed(seed);
        Fleet { slices: 150, calls_per_s: 160.0, routes: vec![0.7, 0.3], base: 0.015, noise, late, chance }
    }

    /// A minute before the change, and a trial of so many seconds. The verdict is looked at as sums come; with nothing
    /// untouched to compare with, the first one sets the change aside, as operators' changes have it.
    pub fn play(&mut self, touch: &Touch, harm: Harm, after: usize) -> Outcome {
        let mut judge = Judge::new(1.0, vec![3.0, 9.0][..self.routes.len()].to_vec(), 1.5);
        let (id, applied) = (TrialId(1), 60.0);
        let mut waiting: VecDeque<Line> = VecDeque::new();
        let (mut common, mut own) = (0.0, vec![0.0; self.slices as usize]);
        let uneven: Vec<f64> = own.iter().map(|_| 0.6 + 0.8 * self.chance.f64()).collect();
        let trouble_at = applied - 5.0 + 20.0 * self.chance.f64();
        let mut outcome = Outcome::default();
        // The times from which the change is in force, and from which it is not.
        let (mut from, mut until, mut end) = (applied, f64::INFINITY, applied + after as f64);
        for second in 0.. {
            let now = second as f64;
            if now >= end {
                break;
            }
            common = 0.9 * common + 0.004 * normal(&mut self.chance);
            for slice in 0..self.slices {
                let wander = &mut own[slice as usize];
                *wander = 0.9 * *wander + 0.2 * normal(&mut self.chance);
                for route in 0..self.routes.len() {
                    let calls = poisson(
                        &mut self.chance,
                        self.calls_per_s * self.routes[route] / f64::from(self.slices),
                    );
                    let rough = match self.noise {
                        Noise::Even => self.base,
                        _ => (self.base * wander.exp() + f64::abs(common)).min(0.5),
                    };
                    let trouble = match self.noise {
                        Noise::Trouble if (trouble_at..trouble_at + 15.0).contains(&now) => {
                            0.2 * uneven[slice as usize]
                        }
                        _ => 0.0,
                    };
                    let in_force = (from..until).contains(&now);
                    let harmed = if in_force { harm(slice, route, now - from) } else { 0.0 };
                    let share = 1.0 - (1.0 - rough) * (1.0 - trouble) * (1.0 - harmed);
                    let lost = (0..calls).filter(|_| self.chance.f64() < share).count() as u64;
                    // Sums of a second come when it is over, and later.
                    waiting.push_back((
                        now + 1.0 + self.late,
                        SliceId(slice),
                        RouteId(route as u16),
                        calls,
                        lost,
                    ));
                }
            }
            if now == applied {
                judge.watch(id, touch.clone(), 0.0);
            }
            while waiting.front().is_some_and(|line| line.0 < now + 1.0) {
                let Some((_, slice, route, calls, lost)) = waiting.pop_front() else { break };
                judge.demand(slice, route, calls, lost);
            }
            outcome.in_force += f64::from((from..until).contains(&now));
            let found = judge.close(now + 1.0).into_iter().next();
            if let Some((_, found)) = found.filter(|_| (from..until).contains(&now)) {
                let at = now + 1.0 - applied;
                outcome.back.get_or_insert((at, found.clone()));
                if outcome.again.is_some() || !found.unsure() {
                    outcome.undone = Some((at, found));
                    return outcome;
                }
                judge.set_aside(id);
                (until, end) = (now + 1.0 + TAKES, now + ASIDE_MOST);
            }
            if now > until && judge.calm(id) {
                judge.resume(id);
                outcome.again = Some(now + 1.0 - applied);
                (from, until, end) = (now + 1.0, f64::INFINITY, now + 1.0 + after as f64);
            }
        }
        // Never calm: it is given up, and was never tried a second time.
        outcome
    }

    /// The first of the slices: one in so many.
    pub fn part(&self, one_in: u16) -> Touch {
        Touch { slices: (0..self.slices / one_in).map(SliceId).collect(), ..Touch::default() }
    }
}
