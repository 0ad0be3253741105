//! Whether service has dropped because of a change. From late sums alone: what a change touches is compared with the
//! time before it, and with what it does not touch at the same time, so that a trouble of the whole fleet is not
//! blamed on the change and does not hide it either.
//!
//! The test is sequential: it looks each time sums come, and however often it looks, it condemns a harmless change
//! with a chance of at most `ERROR` as long as its model of the noise holds. `docs/changes.md` has the reasons and
//! the measured shares.

mod evidence;
mod past;
mod view;

pub use past::Period;
pub use view::Part;

use coppersail::interface::{HostId, RouteId, SliceId};
use evidence::Evidence;
use past::Past;
use std::collections::{BTreeMap, BTreeSet};
use view::{Ground, Sides, View};

/// A harmless change is undone with this chance at most. An undoing that was not needed costs an operator a second
/// try and callers nothing, a harm that stays costs callers: one in two hundred is rare enough.
pub const ERROR: f64 = 0.005;
/// Periods of the time before, without which nothing can be compared.
const BASELINE: usize = 12;
/// Periods in a row that must be as before a change that was set aside. With the window over which each is looked at,
/// ten seconds of calm: a trouble that only pauses for a report or two is not over.
const CALM: usize = 5;
/// Where a change touches more of the hosts than this, what it does not touch has to carry what it sheds, and is no
/// measure any more.
const WIDE: f64 = 1.0 / 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrialId(pub u64);

/// What a change has to do with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Touch {
    pub slices: BTreeSet<SliceId>,
    pub routes: BTreeSet<RouteId>,
    pub hosts: BTreeSet<HostId>,
}

/// What was found against a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub part: Part,
    /// Of 100 calls in what it touches: lost now, and to be expected.
    pub lost: f64,
    pub expected: f64,
    /// Lost of 100 in what it does not touch, now and before; none: there is nothing to compare with.
    pub untouched: Option<(f64, f64)>,
    pub calls: f64,
    /// How many times likelier the sums are with harm than without.
    pub odds: f64,
}

impl Found {
    /// Whether the fleet may be at fault instead: nothing that the change does not touch was there to compare with, or that
    /// has become worse in the same time. A trouble of some hosts (a quarter slow, in the lab's trials) may hit what is
    /// touched many times as hard as the rest, and once had one harmless change in twenty undone.
    pub fn unsure(&self) -> bool {
        self.untouched.is_none_or(|(now, before)| now > before + WORSE)
    }
}

/// Points by which the untouched side must be worse than before, smoothed, to raise a doubt: twice what is tolerated.
const WORSE: f64 = 1.0;

struct Trial {
    touch: Touch,
    expected_loss: f64,
    /// What was heard before it began. Kept, as one that is set aside is compared with the same time again.
    before: Vec<std::rc::Rc<Period>>,
    /// Periods with calls since then.
    heard: usize,
    views: Vec<View>,
    evidence: Vec<Evidence>,
    /// It is taken back for the time being: periods in a row in which all was as before it.
    aside: Option<usize>,
}

impl Trial {
    /// What was found so far is for one time that the change was in force, and does not count for another.
    fn anew(&mut self) {
        self.heard = 0;
        self.views.iter_mut().for_each(View::anew);
        self.evidence.iter_mut().for_each(|evidence| *evidence = Evidence::default());
    }
}

pub struct Judge {
    period: f64,
    importance: Vec<f64>,
    /// The tightest SLO time: an answer past it counts as lost for hosts.
    slo: f64,
    past: Past,
    ends_at: f64,
    trials: BTreeMap<TrialId, Trial>,
}

impl Judge {
    /// `period`: between reports, seconds; `importance`: by route; `slo`: the tightest SLO time, seconds.
    pub fn new(period: f64, importance: Vec<f64>, slo: f64) -> Self {
        let period = period.max(0.1);
        Judge { period, importance, slo, past: Past::default(), ends_at: period, trials: BTreeMap::new() }
    }

    /// What all proxies were asked for a slice in a route, as it comes in.
    pub fn demand(&mut self, slice: SliceId, route: RouteId, calls: u64, dropped: u64) {
        if (route.0 as usize) < self.importance.len() {
            self.past.now.cell(slice, route, calls, dropped);
        }
    }

    /// What proxies met at a host.
    pub fn tries(&mut self, host: HostId, tries: u64, dropped: u64, rt: f64) {
        // Of times that scatter as waiting does, so many are past a bound whose mean is `rt`.
        let late = if rt > 0.0 { (-self.slo / rt).exp() } else { 0.0 };
        let dropped = dropped.min(tries);
        let lost = dropped as f64 + (tries - dropped) as f64 * late;
        self.past.now.host(host, tries as f64, lost);
    }

    /// When `close` has something to do.
    pub fn next(&self) -> f64 {
        self.ends_at
    }

    /// There is enough of the time until now to compare with.
    pub fn baseline(&self) -> bool {
        self.past.periods().filter(|period| period.calls() > 0.0).count() >= BASELINE
    }

    /// So many periods with calls have been heard since the change went out.
    pub fn heard(&self, trial: TrialId) -> usize {
        self.trials.get(&trial).map_or(0, |trial| trial.heard)
    }

    /// Whether a trial of so many seconds has been heard well enough to be believed: half of it, at least.
    pub fn believed(&self, trial: TrialId, seconds: f64) -> bool {
        self.heard(trial) as f64 >= (0.5 * seconds / self.period).max(3.0)
    }

    /// From now on the change's effects come in.
    pub fn watch(&mut self, id: TrialId, touch: Touch, expected_loss: f64) {
        let trial = Trial {
            touch,
            expected_loss: expected_loss / 100.0,
            before: self.past.before(),
            heard: 0,
            views: vec![],
            evidence: vec![],
            aside: None,
        };
        self.trials.insert(id, trial);
        self.ground();
    }

    /// Its orders are out: it touches these slices as well.
    pub fn touches(&mut self, id: TrialId, slices: impl IntoIterator<Item = SliceId>) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        let before = trial.touch.slices.len();
        trial.touch.slices.extend(slices);
        if trial.touch.slices.len() > before {
            self.ground();
        }
    }

    /// What the change set is taken back for the time being, as nobody can tell whether it or the fleet is at fault.
    pub fn set_aside(&mut self, id: TrialId) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.aside = Some(0);
        trial.anew();
        self.ground();
    }

    /// Without it all has been as it was before it, for long enough to tell.
    pub fn calm(&self, id: TrialId) -> bool {
        self.trials.get(&id).is_some_and(|trial| trial.aside.is_some_and(|periods| periods >= CALM))
    }

    /// It is in force again, and compared with the same time as at first.
    pub fn resume(&mut self, id: TrialId) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.aside = None;
        trial.anew();
        self.ground();
    }

    pub fn unwatch(&mut self, id: TrialId) {
        if self.trials.remove(&id).is_some() {
            self.ground();
        }
    }

    /// Slices, routes and hosts are as many as were met.
    fn wide(&self, touch: &Touch) -> bool {
        let hosts: BTreeSet<HostId> = self.past.periods().flat_map(|period| period.hosts()).collect();
        touch.hosts.len() as f64 > WIDE * hosts.len().max(1) as f64
    }

    /// Each trial's parts, with what they were like before. Anew when trials come, go or grow: what one touches is no
    /// measure for another.
    fn ground(&mut self) {
        let ids: Vec<TrialId> = self.trials.keys().copied().collect();
        for id in &ids {
            let in_force = self.trials.iter().filter(|(other, trial)| *other != id && trial.aside.is_none());
            let others: Vec<&Touch> = in_force.map(|(_, trial)| &trial.touch).collect();
            let trial = &self.trials[id];
            let alone = self.wide(&trial.touch);
            let mut parts: Vec<Part> =
                (0..self.importance.len()).map(|r| Part::Route(RouteId(r as u16))).collect();
            parts.extend([Part::All, Part::Calls]);
            if !trial.touch.hosts.is_empty() {
                parts.push(Part::Hosts);
            }
            let before = || trial.before.iter().map(|period| &**period);
            let view = |part: Part| {
                let sides = Sides::new(part, &trial.touch, &others, &self.importance, alone);
                Ground::of(&sides, before()).map(|ground| View::new(sides, ground))
            };
            let views: Vec<View> = parts.into_iter().filter_map(view).collect();
            // What was found so far stays found: only the parts that are new begin anew.
            let old = &trial.views;
            let evidence = views
                .iter()
                .map(|view| {
                    let same = old.iter().position(|old| old.sides == view.sides);
                    same.map_or_else(Evidence::default, |at| trial.evidence[at].clone())
                })
                .collect();
            let trial = self.trials.entry(*id);
            trial.and_modify(|trial| (trial.views, trial.evidence) = (views, evidence));
        }
    }

    /// Ends the periods that are over. Gives the trials that have turned out harmful, once each.
    pub fn close(&mut self, now: f64) -> Vec<(TrialId, Found)> {
        let mut found: BTreeMap<TrialId, Found> = BTreeMap::new();
        while now >= self.ends_at {
            self.ends_at += self.period;
            // After a long stand-still the clock is taken up where it is.
            if now - self.ends_at > 10.0 * self.period {
                self.ends_at = now + self.period;
            }
            let period = self.past.end();
            for (id, trial) in &mut self.trials {
                trial.heard += (period.calls() > 0.0) as usize;
                if let Some(calm) = &mut trial.aside {
                    let seen = trial.views.iter_mut().map(|view| view.calm(&period, trial.expected_loss));
                    // All are looked at, as each keeps what it has seen.
                    let seen: Vec<Option<bool>> = seen.collect();
                    let well = seen.contains(&Some(true)) && !seen.contains(&Some(false));
                    // Where too little came to tell, what was seen before still stands.
                    *calm = if well {
                        *calm + 1
                    } else if seen.contains(&Some(false)) {
                        0
                    } else {
                        *calm
                    };
                    continue;
                }
                let many = trial.views.len() as f64;
                let mut odds = 0.0;
                let mut worst: Option<(f64, Found)> = None;
                for (view, evidence) in trial.views.iter_mut().zip(&mut trial.evidence) {
                    if let Some(seen) = view.take(&period, trial.expected_loss) {
                        evidence.add(&seen);
                        evidence.last = Some(view.found(&seen));
                    }
                    // The mean of such odds is again one, whatever ties the parts together.
                    odds += evidence.odds() / many;
                    if let Some(last) =
                        evidence.last.clone().filter(|_| worst.as_ref().is_none_or(|w| evidence.odds() > w.0))
                    {
                        worst = Some((evidence.odds(), last));
                    }
                }
                if odds >= 1.0 / ERROR {
                    found.extend(worst.map(|(_, worst)| (*id, Found { odds, ..worst })));
                }
            }
        }
        self.one_of_each(found)
    }

    /// Of two that touch the same and both look harmful the later one goes first; what is left is looked at anew.
    fn one_of_each(&mut self, found: BTreeMap<TrialId, Found>) -> Vec<(TrialId, Found)> {
        let meets = |a: &Touch, b: &Touch| {
            !a.slices.is_disjoint(&b.slices)
                || !a.routes.is_disjoint(&b.routes)
                || !a.hosts.is_disjoint(&b.hosts)
        };
        let mut taken: Vec<(TrialId, Found)> = Vec::new();
        for (id, found) in found.into_iter().rev() {
            let mine = &self.trials[&id].touch;
            if taken.iter().any(|(other, _)| meets(mine, &self.trials[other].touch)) {
                let evidence =
                    self.trials.get_mut(&id).into_iter().flat_map(|trial| trial.evidence.iter_mut());
                evidence.for_each(|evidence| *evidence = Evidence::default());
            } else {
                taken.push((id, found));
            }
        }
        taken
    }
}

impl std::fmt::Display for Found {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Found { part, lost, expected, untouched, calls, odds } = self;
        write!(out, "{part}: {lost:.1} of 100 calls lost where {expected:.1} were to be expected")?;
        match untouched {
            Some((now, before)) => write!(out, ", untouched {now:.1} after {before:.1}")?,
            None => write!(out, ", nothing untouched to compare with")?,
        }
        write!(out, ", {calls:.0} calls, odds {odds:.0}")
    }
}
