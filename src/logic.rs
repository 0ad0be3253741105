//! All decisions of coppersail. One `Director` per instance: `Director::new(settings, seed)` once, then
//! `handle(now, inputs) -> orders` for every batch that holds something for it; it asks for its own wake-ups.
//! Types that go in and out: `src/interface.rs`; what actors remember: `src/state.rs`; why: `docs/design.md`.
//!
//! Inside, each host is a small actor; so are the tables, the gate, the list watch and the channel. They talk
//! only by notes put into inboxes, which `Director::settle` empties.

use crate::figures::Figures;
use crate::interface::*;
use crate::measure::{median, Bins, Chance, Histogram};
use crate::notes::{add, Item, Note, Plan, Post, Seat, Sums, To, View};
use crate::state::{Channel, Gate, Host, Slice, Tables, Watch};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
#[path = "logic_tests.rs"]
pub(crate) mod tests;

/// Whole reports, and a second for their way: what is steered more often overshoots.
fn pace(f: &Figures) -> f64 {
    f.interval * (1.0 + (1.0 / f.interval.max(0.1)).ceil()) - 0.01
}

// From 30 ms by steps of 1.4 the bins reach 5 s, past any time that could still please a caller.
const BINS: Bins = Bins { first: 0.03, step: 1.4 };

impl Host {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::Listed(l, place) => {
                let ready = l.state == HostState::Ready;
                let senior = if self.view.ready { self.view.senior } else { (now, place) };
                if l.born > self.born {
                    // A new process: what was measured of the old one is void.
                    (self.born, self.times, self.view.ease) = (l.born, Histogram::default(), 1.0);
                    self.view.restarted = self.met.then_some(now);
                }
                (self.unlisted, self.listed, self.gone_at) = (false, true, None);
                self.view = View { ready, senior, weight: l.weight, zone: l.zone, ..self.view.clone() };
            }
            // Where gone is advice a list may be wrong: a host that answers stays until it is suspected.
            Note::Unlisted if f.gone_is_advice && self.view.ready && self.met && !self.view.suspect => {
                self.unlisted = true;
            }
            Note::Unlisted => self.lose(),
            Note::Out => self.out = true,
            Note::In(Input::Tries { tries, dropped, rt, load, .. }) => {
                self.reported(load);
                let (tries, dropped) = (tries as f64, dropped.min(tries) as f64);
                self.times.add(BINS, rt, tries, dropped);
                if tries > dropped {
                    (self.answered_at, self.met, self.view.proven) = (now, true, true);
                }
                // What a dead host drops is no sign that the fleet can't keep up.
                if self.view.ready && !self.view.suspect {
                    post.note(To::Gate, Note::Tries { rt, tries, dropped });
                }
            }
            Note::In(Input::Probed { outcome, load, .. }) => {
                self.reported(load);
                self.probed(now, f, outcome, post);
            }
            Note::Fleet { rt, .. } => {
                // What slows all condemns none: slow is past 1.6 times the median. The power damps late sums.
                let slow = self.times.mean(BINS) / (1.6 * rt).max(0.4 * f.tightest_slo);
                let factor = if slow > 1.0 { slow.powf(-0.7) } else { 1.2 };
                self.view.ease = (self.view.ease * factor).clamp(0.05, 1.0);
            }
            // As long as its withdrawal is told to who joins. What only a store's table names is not listed.
            Note::Tick if !self.listed && now - *self.gone_at.get_or_insert(now) > 10.0 => {
                post.note(To::Channel, Note::Over(self.id));
            }
            // Two seconds: long enough for a few reports, short enough to forget a trouble that is over.
            Note::Tick if now - self.halved > 2.0 => {
                self.times.halve();
                (self.done, self.spent, self.halved) = (self.done / 2.0, self.spent / 2.0, now);
            }
            Note::Tick if f.may_probe && self.view.ready && self.probe_at.is_some_and(|at| now >= at) => {
                self.probe_at = None;
                post.orders.push(Order::Probe(self.id));
            }
            _ => {}
        }
        let age = self.born.map_or(f64::INFINITY, |born| (now - born).max(0.0));
        self.view.ramp = (f.cold_from + (1.0 - f.cold_from) * age / f.ramp_time.max(1e-9)).clamp(0.05, 1.0);
        self.view.rt = self.times.mean(BINS);
        self.view.answered = self.times.answered();
        post.note(To::Tables, Note::View(self.id, self.view.clone()));
    }

    fn reported(&mut self, load: Load) {
        // Where calls wait all cores are busy. An idle host's figures tell nothing of its speed.
        let busy = load.busy.or(load.waiting.map(|calls| if calls >= 1.0 { 1.0 } else { 0.5 }));
        let (done, spent) = match (load.answered_per_s, load.busy, load.service_time) {
            (Some(rate), Some(busy), _) if busy > 0.1 => (rate, busy),
            (_, _, Some(time)) if time > 0.0 => (1.0, time),
            _ => return,
        };
        (self.done, self.spent, self.view.busy) = (self.done + done, self.spent + spent, busy);
        self.view.speed = Some(self.done / self.spent);
    }

    fn probed(&mut self, now: f64, f: &Figures, outcome: Outcome, post: &mut Post) {
        // Twice a second: death shows within about a second, and the price is a few hundredths of a point.
        self.probe_at = Some(now + 0.5);
        // An error or a full house still comes from a process that lives, but proves no host of ours.
        let miss = match outcome {
            Outcome::Unreachable | Outcome::Broken => 2,
            outcome => (outcome == Outcome::TimedOut) as u32,
        };
        (self.misses, self.hits) = if miss > 0 { (self.misses + miss, 0) } else { (0, self.hits + 1) };
        self.met |= outcome == Outcome::Answered;
        self.view.proven = self.met || self.view.proven && outcome == Outcome::Throttled;
        // One refusal may be chance, and a probe that times out may queue behind calls that are answered.
        let mute = self.misses >= 3 && now - self.answered_at > pace(f);
        if !self.view.suspect && (mute || miss == 2 && self.misses >= 4) {
            self.view.suspect = true;
            if self.unlisted {
                return self.lose();
            }
            post.log("suspected, probes unanswered".into(), vec![self.id]);
        }
        if self.view.suspect && self.hits >= 2 {
            self.view.suspect = false;
            // One that was out for it is taken to have restarted, before the list tells. Where so many were
            // missed that none was out, our own path failed, and the list must tell.
            if std::mem::take(&mut self.out) {
                (self.born, self.view.restarted) = (Some(now), Some(now));
            }
            post.log("trusted again, probes answered".into(), vec![self.id]);
        }
    }
}

/// A quarter up or down is worth a line; less is not. Where a round of messages takes the channel long, only
/// more is: a third of a second doubles it.
fn alike(f: &Figures, old: Option<&f64>, weight: f64) -> bool {
    let most = 1.25 + 3.0 * f.round_time;
    old.is_some_and(|old| (1.0 / most..=most).contains(&(old / weight)))
}

impl Tables {
    /// Weights of a standby line: from a trickle that keeps its connections open to more than the owner's.
    const NOTCHES: [f64; 6] = [0.1, 0.2, 0.4, 0.7, 1.2, 2.0];

    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
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
            // Weights set by hand must show: balancing goes on until the gap is under 2, not past 8 only.
            Note::In(Input::Wishes(wishes)) => (self.wishes, self.balancing) = (wishes, true),
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
            Note::Tick => self.tick(now, f, post),
            _ => {}
        }
    }

    fn tick(&mut self, now: f64, f: &Figures, post: &mut Post) {
        // Eight seconds: near the time for which slices stay in demand, so that the score follows it.
        if now - self.halved > 8.0 {
            self.slices.values_mut().flat_map(|s| s.demand.iter_mut()).for_each(|sum| *sum /= 2.0);
            self.halved = now;
        }
        if now - self.compared_at >= pace(f) {
            self.calls = std::mem::take(&mut self.came) / (now - self.compared_at) / self.slices.len() as f64;
            self.compared_at = now;
            self.compare(post);
            let quick = self.rt > 0.0 && self.rt < 0.25 * f.tightest_slo;
            self.borne = if quick { self.calls } else { self.borne };
            self.score(f);
            // Notch by notch on the plan: the loads are reckoned anew each time, nothing need be awaited.
            (0..4).for_each(|_| self.share());
        }
        // A fifth of a second gathers the lines that follow a slice given.
        if now - self.given_at < 0.2 {
            return;
        }
        // Rule 1 comes before a wish: while no other warm host is open, those drained by hand serve.
        let other = |(host, v): (&HostId, &View)| {
            v.ready && v.proven && !v.suspect && v.ramp >= 1.0 && !self.wishes.drained.contains(host)
        };
        self.alone = !self.views.iter().any(other);
        // Five seconds: by then sums tell of what was told since, and what a host has room for differs.
        self.refused.retain(|_, at| now - *at < 5.0);
        // Also with nobody left: the third rule binds whatever tables proxies hold.
        self.suspects(now, post);
        if !self.views.values().any(|v| v.ready) {
            return;
        }
        self.lay(f, post);
        self.rescue(now, f);
        // One slice in half a second: caches warm up between moves and the channel stays free.
        if now - self.moved_at >= 0.5 {
            self.moved_at = now;
            (0..self.slices.len().div_ceil(100)).for_each(|_| self.balance(now, f, post));
        }
        self.standbys(f);
        self.write(f, post);
    }

    fn compare(&mut self, post: &mut Post) {
        let heard = || self.views.values().filter(|v| v.ready && v.answered >= 1.0);
        self.rt = median(heard().map(|v| v.rt).collect());
        let (rt, busy) = (self.rt, median(heard().filter_map(|v| v.busy).collect()));
        let hosts = self.views.keys().map(|host| To::Host(*host));
        hosts.chain([To::Gate]).for_each(|to| post.note(to, Note::Fleet { rt, busy }));
    }

    fn open(&self) -> Vec<HostId> {
        self.views.keys().copied().filter(|host| self.is_open(*host)).collect()
    }
    /// A stranger on the list, which has answered nobody yet, is none of ours to use.
    fn is_open(&self, host: HostId) -> bool {
        let fit = self.views.get(&host).is_some_and(|v| v.ready && v.proven);
        fit && !self.withdrawn.contains_key(&host) && !self.drained(host)
    }

    fn drained(&self, host: HostId) -> bool {
        !self.alone && self.wishes.drained.contains(&host)
    }

    /// A slice is kept away from a host by hand or by the guard, as long as another warm one could have it.
    fn apart(&self, id: SliceId, host: HostId) -> bool {
        let apart = |h: HostId| self.wishes.apart.contains(&(id, h)) || self.refused.contains_key(&(id, h));
        apart(host) && self.open().into_iter().any(|host| !apart(host) && self.views[&host].ramp >= 1.0)
    }

    /// The weight by which counts are reckoned: as listed, less what a young host can't carry yet.
    fn unit(&self, host: HostId) -> f64 {
        self.views.get(&host).map_or(1.0, |v| (v.weight / self.weight).max(0.01) * v.ramp) * self.wish(host)
    }

    /// The paper's score; a slice without counted calls scores as the average one.
    fn score(&mut self, f: &Figures) {
        // Inc has the paper's own value; the heaviest route is the one with the longest SLO time.
        const INC: f64 = 1.5;
        let heaviest = (0..f.slo_times.len()).max_by(|a, b| f.slo_times[*a].total_cmp(&f.slo_times[*b]));
        let all = |r: usize| self.slices.values().map(|s| s.demand[r]).sum::<f64>().max(1.0);
        let factor = |r: usize| if Some(r) == heaviest { INC } else { 1.0 } / all(r);
        let factors: Vec<f64> = (0..f.importance.len()).map(factor).collect();
        let score = |s: &Slice| s.demand.iter().zip(&factors).map(|(calls, factor)| calls * factor).sum();
        self.slices.values_mut().for_each(|slice| slice.score = score(slice));
        let sum: f64 = self.slices.values().map(|s| s.score).sum();
        let counted = self.slices.values().filter(|s| s.score > 0.0).count();
        let average = if counted > 0 { sum / counted as f64 } else { 1.0 };
        self.slices.values_mut().filter(|s| s.score <= 0.0).for_each(|s| s.score = average);
    }

    /// The score that a host may still be listed for. All calls of a young one's tables, if others fail, may
    /// ask 0.6 of the fall multiple, or twice what it can do; double that while the fleet answers quickly, or
    /// no more calls come than when it last did: then it is slow because few hosts carry them.
    fn rooms(&self, f: &Figures) -> Sums {
        // With under four fifths of the fleet left calls come again, so young hosts may add less.
        let (most, open) = (self.most.max(1) as f64, self.open().len() as f64);
        let part = self.slices.values().map(|s| s.score).sum::<f64>() / most * (open / most / 0.8).min(1.0);
        // With proxies out of reach few calls come, till they are back at once; the unmeasured is not quick.
        let crowd = if self.calls > 0.5 * self.borne { 2.0 * self.borne / self.calls } else { 0.0 };
        let quick = if self.rt > 0.0 { (0.5 * f.tightest_slo / self.rt).max(crowd) } else { 1.0 };
        let spare = quick.clamp(1.0, 2.0);
        let most = (0.6 * f.fall_multiple).min(2.0) * spare * part;
        let limit = |v: &View| if v.ramp < 1.0 { most * v.ramp } else { f64::INFINITY };
        let mut rooms: Sums = self.views.iter().map(|(host, v)| (*host, limit(v))).collect();
        for slice in self.slices.values() {
            add(&mut rooms, slice.owner, -slice.score);
            add(&mut rooms, slice.standby, -slice.score);
        }
        rooms
    }

    /// The open host with room that would hold fewest slices per unit of weight, the longest listed. For a
    /// standby the least loaded, young ones late; the owner's zone counts as two, each shared one as 0.7.
    fn emptiest(&self, (counts, rooms): &Plan, (id, score): (SliceId, f64), owner: Seat) -> Seat {
        let zone = owner.and_then(|owner| self.views.get(&owner)).map(|v| v.zone);
        let mut shared = Sums::new();
        let mine = self.slices.values().filter(|s| owner.is_some() && s.owner == owner);
        mine.for_each(|s| add(&mut shared, s.standby, 1.0));
        let key = |host: HostId| {
            let view = &self.views[&host];
            let zone = if zone == Some(view.zone) { 2.0 } else { 0.0 };
            let shared = shared.get(&host).copied().unwrap_or(0.0);
            let unit = if owner.is_some() { self.able(host) * view.ramp.sqrt() } else { self.unit(host) };
            (rooms[&host] < score, (counts[&host] + 1.0 + zone + 0.7 * shared) / unit, view.senior)
        };
        let room = |host: &HostId| owner.is_none() || rooms[host] >= score;
        let fits = |host: &HostId| Some(*host) != owner && room(host) && !self.apart(id, *host);
        let keys = self.open().into_iter().filter(fits).map(|host| (key(host), host));
        keys.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal)).map(|(_, host)| host)
    }

    /// Takes a slice from a host and gives it to the emptiest one, in a plan of counts and rooms.
    fn reseat(&self, plan: &mut Plan, old: Seat, slice: (SliceId, f64), owner: Seat) -> Seat {
        add(&mut plan.0, old, -1.0);
        add(&mut plan.1, old, slice.1);
        let new = self.emptiest(plan, slice, owner);
        add(&mut plan.0, new, 1.0);
        add(&mut plan.1, new, -slice.1);
        new
    }

    /// Even, but a holder keeps slices up to two over its part, for caches; `rescue` places the others.
    fn lay(&mut self, f: &Figures, post: &mut Post) {
        let fresh = self.slices.values().filter(|slice| slice.owner.is_none()).count();
        if fresh == 0 {
            return;
        }
        self.score(f);
        let units: f64 = self.open().into_iter().map(|host| self.unit(host)).sum();
        let (mut counts, mut slices) = (self.counts(), std::mem::take(&mut self.slices));
        let all = slices.len() as f64;
        for (id, slice) in slices.iter_mut().filter(|(_, slice)| slice.owner.is_none()) {
            let open = slice.lines.iter().filter(|(h, _)| self.is_open(**h) && !self.apart(*id, **h));
            let holder = open.max_by(|a, b| a.1.total_cmp(b.1)).map(|(host, _)| *host);
            slice.owner = holder.filter(|host| counts[host] < (all * self.unit(*host) / units).ceil() + 2.0);
            add(&mut counts, slice.owner, 1.0);
            slice.standby = slice.lines.keys().copied().find(|host| Some(*host) != slice.owner);
        }
        self.slices = slices;
        post.log(format!("{fresh} slices laid"), vec![]);
    }

    /// Moves slices of gone and draining hosts, of those withdrawn a while, and those beyond a host's room;
    /// and what operators want moved, which goes home when they want it no more and home can have it.
    fn rescue(&mut self, now: f64, f: &Figures) {
        let mut plan = (self.counts(), self.rooms(f));
        // Two seconds: past a passing fault, and before the list would tell.
        let ready = self.views.iter().filter(|(_, v)| v.ready).map(|(host, _)| *host);
        let stays = |host: &HostId| self.withdrawn.get(host).is_none_or(|since| now - since <= 2.0);
        let kept: BTreeSet<HostId> = ready.filter(stays).collect();
        // Past its part, a host that operators made smaller gives slices up at once, not by and by.
        let units: f64 = self.open().into_iter().map(|host| self.unit(host)).sum();
        let part = |host: HostId| (self.slices.len() as f64 * self.unit(host) / units.max(1e-9)).ceil();
        let over = |host: HostId, many: f64| self.wish(host) < 1.0 && many > part(host);
        let mut ranked: Vec<(f64, SliceId)> = self.slices.iter().map(|(id, s)| (s.score, *id)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut moved = Vec::new();
        for (score, id) in ranked {
            let (old, home) = (self.slices[&id].owner, self.slices[&id].home);
            let sound = old.is_some_and(|old| kept.contains(&old) && plan.1[&old] >= 0.0);
            let wished = |host: HostId| self.drained(host) || self.apart(id, host);
            let unwanted = |old: HostId| wished(old) || over(old, plan.0[&old]);
            // Had it stayed at home, it would now go where the slices of hosts that went go.
            let homeless = home.is_some_and(|h| !wished(h) && !self.views.get(&h).is_some_and(|v| v.ready));
            if !sound || homeless || old.is_some_and(unwanted) {
                let new = self.reseat(&mut plan, old, (id, score), None).or(old);
                moved.push((id, new, home.or(old).filter(|_| sound && !homeless && new != old)));
                continue;
            }
            let fits = |home: HostId| plan.1[&home] >= score && !over(home, plan.0[&home] + 1.0);
            let back = |home: &HostId| self.is_open(*home) && !self.apart(id, *home) && fits(*home);
            if let Some(home) = home.filter(back) {
                [(old, -1.0), (Some(home), 1.0)].iter().for_each(|(host, sign)| {
                    add(&mut plan.0, *host, *sign);
                    add(&mut plan.1, *host, -sign * score);
                });
                moved.push((id, Some(home), None));
            }
        }
        for (id, owner, home) in moved {
            self.slices.entry(id).and_modify(|slice| (slice.owner, slice.home) = (owner, home));
        }
    }

    /// The paper's balancing: past a gap of 8 slices until it is under 2, fullest to emptiest.
    fn balance(&mut self, now: f64, f: &Figures, post: &mut Post) {
        let (counts, rooms, mut scores) = (self.counts(), self.rooms(f), Sums::new());
        self.slices.values().for_each(|slice| add(&mut scores, slice.owner, slice.score));
        let full = |host: HostId| counts[&host] / self.unit(host);
        let mut open = self.open();
        open.sort_by(|a, b| full(*a).total_cmp(&full(*b)));
        let [_, .., from] = open[..] else { return };
        // The emptiest that could take anything of the fullest's.
        let held = self.slices.values().filter(|slice| slice.owner == Some(from));
        let least = held.map(|slice| slice.score).fold(f64::INFINITY, f64::min);
        let Some(to) = open.iter().copied().find(|to| rooms[to] >= least) else { return };
        // Where a director sees a part of the slices, the gaps of all, as chance has it, add up by the root.
        let part = (self.slices.len() as f64 / f.all_slices.max(1.0)).min(1.0);
        let gap = (full(from) - full(to)) / part.sqrt();
        if gap > 8.0 && !self.balancing {
            post.log(format!("balancing starts, a gap of {gap:.1} slices"), vec![from, to]);
        }
        let balancing = gap > 8.0 || (self.balancing && gap >= 2.0);
        // Reckoned per unit of weight, a move may overshoot: the receiver must not end up the fuller one.
        let after = (counts[&to] + 1.0) / self.unit(to) - (counts[&from] - 1.0) / self.unit(from);
        // Newly listed: since the start of this director, for as long as a host takes to be warm.
        let listed = self.views[&to].senior.0;
        let new = listed > 0.0 && now - listed < f.ramp_time;
        let hottest = !new && scores.get(&from) > scores.get(&to);
        let key = |(_, slice): &(&SliceId, &Slice)| if hottest { -slice.score } else { slice.score };
        let free = self.slices.iter().filter(|(id, s)| s.owner == Some(from) && !self.apart(**id, to));
        let pick = free.min_by(|a, b| key(a).total_cmp(&key(b)));
        let eased = after < full(from) - full(to);
        let pick = pick.filter(|(_, slice)| balancing && eased && rooms[&to] >= slice.score);
        self.balancing = balancing;
        let moved = pick.map(|(id, _)| *id).and_then(|id| self.slices.get_mut(&id));
        moved.into_iter().for_each(|slice| (slice.owner, slice.home) = (Some(to), None));
    }

    fn suspects(&mut self, now: f64, post: &mut Post) {
        self.means();
        let ready = || self.views.values().filter(|v| v.ready && v.proven);
        let (many, doubtful) = (ready().count(), ready().filter(|v| v.suspect).count());
        // A director that starts in the middle of a loss finds the lost hosts in the store's tables.
        self.most = if self.most == 0 { self.views.len() } else { self.most.max(many) };
        // Up to four in ten, a zone of three and a host: past that our own view is more likely to fail.
        let few = doubtful as f64 <= 0.4 * many as f64;
        // Once a second for all that joined meanwhile: a crowd that returns would else fill the channel.
        let again = self.again && now - self.retold_at >= 1.0;
        if again {
            (self.again, self.retold_at) = (false, now);
        }
        for (host, view) in &self.views {
            let since = self.withdrawn.get(host).copied();
            // Young behind our back, in full tables: out for a second, till its lines are fewer.
            let young = view.restarted.is_some_and(|at| now - at < 1.0);
            let shut = !view.ready || young || few && view.suspect;
            // Ten seconds after a host went no table names it any more.
            let missed = again && shut && since.is_some_and(|since| view.ready || now - since < 10.0);
            if shut != since.is_some() || missed {
                post.note(To::Channel, Note::Tell(Order::Withdraw { host: *host, out: shut }));
            }
            if shut && view.suspect && since.is_none() {
                post.note(To::Host(*host), Note::Out);
            }
            // It is back when the proxies have been told.
            self.withdrawn.extend(shut.then(|| (*host, since.unwrap_or(now))));
        }
    }

    /// Every slice has a second line where a further try, or a withdrawn host's part, can go.
    fn standbys(&mut self, f: &Figures) {
        if f.exclusive {
            return;
        }
        let mut plan = (self.loads(), self.rooms(f));
        // An owner far over the fleet's mean and a standby nearly as full can't help each other.
        let full = |host: &HostId| self.full.get(host).copied().unwrap_or(0.0);
        let stuck = |owner: &HostId, h: &HostId| full(owner) > 1.6 * self.mean && full(h) > 0.7 * full(owner);
        for id in self.slices.keys().copied().collect::<Vec<_>>() {
            let slice = &self.slices[&id];
            let Some(owner) = slice.owner else { continue };
            let open = |h: HostId| owner != h && self.is_open(h) && !self.apart(id, h);
            let fit = |h: HostId| open(h) && plan.1[&h] >= 0.0 && !stuck(&owner, &h);
            if slice.standby.is_some_and(fit) {
                continue;
            }
            let standby = self.reseat(&mut plan, slice.standby, (id, slice.score), Some(owner));
            self.slices.entry(id).and_modify(|slice| (slice.standby, slice.notch) = (standby, 0));
        }
    }

    /// By age, ease, and reported speed against the fleet's; else half of what response times say, in logs.
    fn able(&self, host: HostId) -> f64 {
        let Some(view) = self.views.get(&host) else { return 1.0 };
        let against = match view.speed {
            _ if view.ramp < 1.0 => 1.0,
            Some(speed) => speed / self.speed,
            None if view.answered >= 1.0 => (self.rt / view.rt).sqrt(),
            None => 1.0,
        };
        // Between half and one and a half: the spread of machines; more is a fault, for which ease is there.
        view.ramp * view.ease * against.clamp(0.5, 1.5) * self.wish(host)
    }

    /// What each host's lines bring it, in slices of the average score.
    fn loads(&self) -> Sums {
        let average = self.slices.values().map(|s| s.score).sum::<f64>() / self.slices.len().max(1) as f64;
        let mut loads: Sums = self.views.keys().map(|host| (*host, 0.0)).collect();
        for slice in self.slices.values() {
            let lines = self.desired(slice);
            let part = slice.score / average / lines.values().sum::<f64>();
            lines.into_iter().for_each(|(host, weight)| add(&mut loads, Some(host), weight * part));
        }
        loads
    }

    /// Shares the slices of a host that carries more, for what it can, than the fleet and the standby.
    fn share(&mut self) {
        self.full = self.loads();
        let able: Vec<f64> = self.full.keys().map(|host| self.able(*host)).collect();
        self.full.values_mut().zip(able).for_each(|(load, able)| *load /= able);
        let open = || self.full.iter().filter(|(host, _)| self.is_open(**host));
        self.mean = open().map(|(_, load)| load).sum::<f64>() / open().count().max(1) as f64;
        let (loads, mean) = (&self.full, self.mean);
        for slice in self.slices.values_mut() {
            let load = |h: Seat| h.and_then(|h| loads.get(&h)).copied().unwrap_or(0.0);
            let (own, other) = (load(slice.owner), load(slice.standby));
            // A quarter more than its standby: past the noise of the counts.
            if own > 1.25 * other && own > mean {
                slice.notch = (slice.notch + 1).min(Self::NOTCHES.len() - 1);
            } else if own < other {
                slice.notch = slice.notch.saturating_sub(1);
            }
        }
    }

    /// The lines that a slice's table should have.
    fn desired(&self, slice: &Slice) -> Sums {
        // With nobody open to own it, what stands is better than nothing.
        let Some(owner) = slice.owner else { return slice.lines.clone() };
        // A line that stands keeps its weight, so that only its partner's need be told.
        let base = slice.lines.get(&owner).copied().filter(|weight| *weight > 0.01).unwrap_or(1.0);
        let mut lines = Sums::from([(owner, base)]);
        if let Some(standby) = slice.standby {
            let part = Self::NOTCHES[slice.notch] * self.able(standby) / self.able(owner);
            // A young owner takes no more than its age allows; the standby, if older, the rest.
            let ramp = |host: HostId| self.views.get(&host).map_or(1.0, |v| v.ramp);
            let rest = if ramp(standby) > ramp(owner) { 1.0 / ramp(owner) - 1.0 } else { 0.0 };
            lines.insert(standby, base * part.max(rest).clamp(0.02, 50.0));
        }
        lines
    }

    fn write(&mut self, f: &Figures, post: &mut Post) {
        let mut slices = std::mem::take(&mut self.slices);
        for (id, slice) in &mut slices {
            let desired = self.desired(slice);
            let alike = |(host, weight): (&HostId, &f64)| alike(f, slice.lines.get(host), *weight);
            if slice.lines.len() == desired.len() && desired.iter().all(alike) {
                continue;
            }
            post.note(To::Channel, Note::Lines { slice: *id, lines: desired.clone() });
            slice.lines = desired;
        }
        self.slices = slices;
    }
}

/// Lowers the level of the routes that earn least per call while the fleet as a whole can't keep up.
impl Gate {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::In(Input::Demand { route, calls, .. } | Input::Intake { route, calls, .. }) => {
                self.demand.get_mut(route.0 as usize).into_iter().for_each(|sum| *sum += calls as f64);
            }
            Note::Tries { rt, tries, dropped } => self.times.add(BINS, rt, tries, dropped),
            Note::Fleet { busy, .. } => self.busy = busy,
            Note::In(Input::Joined { .. }) => self.again = true,
            Note::In(Input::Given(id)) => self.given(now, id),
            Note::In(Input::Taken(id)) => _ = self.slices.remove(&id),
            Note::In(Input::Wishes(wishes)) if f.admits => {
                self.wished.extend(wishes.routes.keys());
                self.wishes = wishes.routes;
                // For every route of which anything is or was set: what is over must be told as well.
                for route in self.wished.clone() {
                    self.tell(f, route, self.levels.get(route.0 as usize).copied().unwrap_or(1.0), post);
                }
            }
            Note::Tick if f.admits && now - self.weighed_at >= pace(f) => self.weigh(now, f, post),
            _ => {}
        }
    }

    /// A route's level, under its ceiling. Further tries are as operators want them, but none while calls
    /// are cut for a jam, and none that could make a call run twice.
    fn tell(&mut self, f: &Figures, route: RouteId, level: f64, post: &mut Post) {
        let Some(old) = self.levels.get_mut(route.0 as usize) else { return };
        *old = level;
        let wish = self.wishes.get(&route).copied().unwrap_or_default();
        let retry = match wish.again.unwrap_or(f.again) {
            _ if level < 1.0 || !self.wished.contains(&route) => Retry::Never,
            Retry::Once | Retry::Twice if !f.repeatable[route.0 as usize] => Retry::IfNeverRan,
            again => again,
        };
        let level = level.min(wish.ceiling.unwrap_or(1.0));
        let order = Order::Admit { scope: Scope::Everywhere, routes: vec![route], level, retry };
        post.note(To::Channel, Note::Tell(order));
    }

    fn weigh(&mut self, now: f64, f: &Figures, post: &mut Post) {
        let since = std::mem::replace(&mut self.weighed_at, now);
        let (span, times) = (now - since, std::mem::take(&mut self.times));
        let demand: Vec<f64> = self.demand.iter_mut().map(|sum| std::mem::take(sum) / span).collect();
        // Of slices given in the meantime, or a second before, only a part is counted.
        if self.given_at.is_some_and(|at| since < at + 1.0) {
            return;
        }
        // Slices that come from a lost director bring their calls: what was right for fewer grows with them.
        let many = std::mem::replace(&mut self.weighed, self.slices.len().max(1));
        let grown = if many == 0 { 1.0 } else { self.weighed as f64 / many as f64 };
        self.target = self.target.map(|target| target * grown);
        (self.offered, self.limit) = (self.offered * grown, self.limit * grown);
        let offered: f64 = demand.iter().sum();
        // With proxies out of reach there is little to weigh; the levels must stand when they come back.
        self.offered = offered.max(0.8 * self.offered);
        if offered < 0.5 * self.offered {
            return;
        }
        let ceiling =
            |r: usize| self.wishes.get(&RouteId(r as u16)).and_then(|wish| wish.ceiling).unwrap_or(1.0);
        let admitted = |(r, calls): (usize, &f64)| calls * self.levels[r].min(ceiling(r));
        let admitted: f64 = demand.iter().enumerate().map(admitted).sum();
        let allowed: Vec<f64> = demand.iter().enumerate().map(|(r, calls)| calls * ceiling(r)).collect();
        // Medians past 0.43 of the tightest SLO time: 0.4 cut too soon, 0.5 too late. Or two in ten dropped,
        // unless hosts are idle or quick meanwhile: then a route fails, or connections can't be made.
        let rt = times.median(BINS) / f.tightest_slo;
        let strain = if self.busy > 0.0 { self.busy / 0.8 } else { rt / 0.3 };
        let pressure = (rt / 0.43).max(strain.min(times.dropped_share() / 0.2));
        if pressure > 1.0 && (self.target.is_none() || now - self.cut_at > 2.9 * pace(f)) {
            // Less than was answered, for the jam must drain. Three spans show what a cut does.
            self.target = Some((0.85 * times.answered() / span).clamp(0.7 * admitted, 0.9 * admitted));
            (self.cut_at, self.limit) = (now, 0.9 * admitted);
        } else if pressure < 0.8 {
            // Quickly back to nearly what was too much, then by steps that grow while all goes well.
            let calm = ((now - self.cut_at) / pace(f)).min(10.0);
            let step = |target: f64| target * if target < self.limit { 1.3 } else { 1.0 + 0.015 * calm };
            self.target = self.target.map(step).filter(|target| *target < 1.3 * offered);
        }
        let again = std::mem::take(&mut self.again);
        let allows: f64 = allowed.iter().sum();
        let mut excess = self.target.map_or(0.0, |target| (allows - target).max(0.0));
        let mut order: Vec<usize> = (0..demand.len()).collect();
        order.sort_by(|a, b| f.importance[*a].total_cmp(&f.importance[*b]));
        for route in order {
            let cut = excess.min(0.95 * allowed[route]);
            excess -= cut;
            let level = if cut > 0.0 { (allowed[route] - cut) / demand[route] } else { 1.0 };
            let old = self.levels[route];
            // A twentieth is worth a line to each proxy; full admission is always told.
            let missed = again && (level < 1.0 || self.wishes.contains_key(&RouteId(route as u16)));
            if (level - old).abs() > 0.05 || (level == 1.0) != (old == 1.0) || missed {
                let (rt, dropped) = (times.median(BINS), times.dropped_share());
                let text = format!("route {route} let in at {level:.2}: rt {rt:.2} s, {dropped:.2} dropped");
                post.log(text, vec![]);
                self.tell(f, RouteId(route as u16), level, post);
            }
        }
    }
}

/// The part of the backlog that may wait; and how late news may be of a proxy that joined before a call was
/// carried out: twice the 50 ms in which that is done, or never.
const HELD: f64 = 0.9;
const CARRIED: f64 = 0.1;

/// Gathers what is to be told to proxies and sends it as its budgets of lines and messages allow.
impl Channel {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::Lines { slice, lines } => self.want(now, slice, lines),
            Note::In(Input::StoredLine { slice, host, weight }) => {
                self.told.entry(slice).or_default().insert(host, weight);
            }
            // A host that is to be shut is shut before it may return: only then are its lines looked at.
            Note::Tell(Order::Withdraw { host, out: false }) if self.shuts.get(&host) == Some(&true) => {}
            // Who joins reads the store: a host in no table of ours need not be shut out once more.
            Note::Tell(Order::Withdraw { host, out: true })
                if self.out.contains(&host) && !self.shuts.contains_key(&host) && !self.names(host) => {}
            Note::Tell(Order::Withdraw { host, out }) => self.shut(host, out),
            Note::Tell(order) => self.level(order),
            Note::In(Input::Refused { slice, lines, .. }) => self.stands(slice, Some(lines)),
            Note::In(Input::Taken(id) | Input::Given(id)) => self.stands(id, None),
            // It is over when no table names it. Proxies that shut it out are told to let it in before it is
            // forgotten: should its name come back, they and we must agree.
            Note::Over(host) if self.names(host) => {}
            Note::Over(h) if self.out.contains(&h) && !self.told.is_empty() => _ = self.over.insert(h),
            Note::Over(host) => {
                _ = (self.shuts.remove(&host), self.out.remove(&host));
                post.note(To::Tables, Note::Over(host));
            }
            Note::In(input) => self.ledger.heard(now, f, CARRIED, &input),
            Note::Tick => self.flush(now, f, post),
            _ => {}
        }
    }

    /// All that waits by rank: withdrawals, slices without an open line, levels, lines that a host's return
    /// waits for, returns, slices whose heaviest line is shut, others; last the lines of hosts that are out.
    fn items(&self, f: &Figures) -> Vec<Item> {
        let shut = |host: &HostId| self.shuts.get(host).copied().unwrap_or(self.out.contains(host));
        let back = |host: &&HostId| self.out.contains(*host) && !shut(host);
        let (mut items, mut awaited, none) = (Vec::new(), BTreeSet::<HostId>::new(), Sums::new());
        for (id, (since, wanted)) in &self.wanted {
            let line = |host: &HostId, weight| Order::Line { slice: *id, host: *host, weight };
            let told = self.told.get(id).unwrap_or(&none);
            let new = wanted.iter().filter(|(host, weight)| !alike(f, told.get(*host), **weight));
            let gone = told.keys().filter(|host| !wanted.contains_key(*host));
            let (late, stale): (Vec<&HostId>, Vec<&HostId>) = gone.partition(|host| shut(host));
            awaited.extend(stale.iter().copied().filter(back));
            let heaviest = told.iter().max_by(|a, b| a.1.total_cmp(b.1));
            let rank = match heaviest {
                _ if told.keys().all(|host| shut(host) || self.out.contains(host)) => 1,
                _ if stale.iter().any(back) => 3,
                Some((host, _)) if shut(host) => 5,
                _ => 6,
            };
            let stale = stale.into_iter().map(|host| line(host, 0.0));
            items.push((rank, *since, new.map(|(host, weight)| line(host, *weight)).chain(stale).collect()));
            items.push((7, *since, late.into_iter().map(|host| line(host, 0.0)).collect()));
        }
        // A host comes back when no table names it that should not: a young one could not bear it.
        let due = self.shuts.iter().filter(|(host, out)| **out || !awaited.contains(host));
        let withdraw = |(host, out): (&HostId, &bool)| Order::Withdraw { host: *host, out: *out };
        items.extend(due.map(|shut| (if *shut.1 { 0 } else { 4 }, 0.0, vec![withdraw(shut)])));
        items.extend(self.levels.iter().map(|order| (2, 0.0, vec![order.clone()])));
        items.retain(|(_, _, orders)| !orders.is_empty());
        items.extend(self.over.iter().map(|host| (8, 0.0, vec![withdraw((host, &false))])));
        items.sort_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap_or(Ordering::Equal));
        items
    }

    /// What the proxies know once this is sent.
    fn keep(&mut self, now: f64, order: &Order, post: &mut Post) {
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

    /// Sends what waits: at once if urgent, else in steps, and never past a part of what the rules allow.
    fn flush(&mut self, now: f64, f: &Figures, post: &mut Post) {
        // A channel slower than stated shows in its receipts; where these are held up, less is written then.
        let pace = self.ledger.pass(now, f, 0.02, 10.0);
        // What was written and not received stays under nine tenths of the backlog. Where no receipt comes, a
        // short message may use the last tenth, to show what has passed; in ten seconds of silence all has.
        let (out, waiting, sent) = (self.ledger.out(), self.ledger.waiting, self.ledger.sent.len());
        let items = self.items(f);
        // Letting in a host that is gone is worth no message of its own.
        let Some((first, ..)) = items.first().filter(|(rank, ..)| *rank < 8) else { return };
        let urgent = *first < 6;
        let proxies = self.ledger.proxies.len() as f64;
        let fixed = proxies * (self.ledger.head(f) + 1.0);
        // Without slices to its name a director concerns no proxy, and no receipt would come.
        let idle = f.slices && self.told.is_empty() && self.wanted.is_empty();
        // Routine changes use half of the messages; urgent ones the rest too, but spaced, lest none be left.
        let half = sent >= f.messages_most / 2;
        let apart = if half { 2.0 * f.messages_span / f.messages_most as f64 } else { 2.0 * fixed / pace };
        let apart = apart.max(if urgent { 0.0 } else { 0.5 });
        let recent = self.ledger.sent.back().is_some_and(|last| now - last < apart);
        let spent = if urgent { sent + 1 >= f.messages_most } else { half };
        // Parts of what the channel writes in the backlog's time: the more a delay costs, the more.
        let held = f.backlog * pace / f.lines_per_s;
        let (least, routine) = ((0.7 * f.backlog).min(3.0 * fixed), (fixed + 0.25 * held).min(0.6 * held));
        let limits = [0.7 * f.backlog, least.max(0.7 * held), routine];
        let limit = |rank: u8| limits[(rank > 0) as usize + (rank > 5) as usize];
        // What waits, or as much of it as is worth a message.
        let all = fixed + proxies * items.iter().map(|(.., orders)| orders.len() as f64).sum::<f64>();
        let worth = if *first == 0 { fixed + proxies } else { all.min((fixed + limit(*first)) / 2.0) };
        let full = waiting + worth > limit(*first) || out + worth > HELD * f.backlog;
        let least = out + fixed + proxies * items[0].2.len() as f64;
        let sound = full && least <= f.backlog && self.ledger.mute(now, f);
        if idle || spent || recent || full && !sound {
            return;
        }
        let mut each = self.ledger.head(f) + 1.0;
        for (at, (rank, _, orders)) in items.into_iter().enumerate() {
            let lines = proxies * (each + orders.len() as f64);
            if !(sound && at == 0) && (waiting + lines > limit(rank) || out + lines > HELD * f.backlog) {
                break;
            }
            each += orders.len() as f64;
            orders.iter().for_each(|order| self.keep(now, order, post));
            post.orders.extend(orders);
        }
        let mark = MarkId(self.mark);
        post.orders.push(Order::Mark { mark, all: false });
        self.ledger.order(now, mark, each);
        self.mark = self.mark.wrapping_add(1);
    }

    /// How many of a call's orders may be written, with the proxies that are there now. Where a copy may wait
    /// already, or it is too long for all of them, what fits goes as a part.
    pub(crate) fn writable(&self, now: f64, f: &Figures, orders: usize, again: bool, unheard: bool) -> usize {
        let (proxies, mute) = (self.ledger.receivers(f, unheard), self.ledger.mute(now, f));
        let most = if mute { f.backlog } else { HELD * f.backlog };
        // With nobody there all fits.
        let fits = |out: f64| ((most - out + 1e-6) / proxies - self.ledger.head(f)).max(0.0) as usize;
        let (many, part) = (fits(self.ledger.written_out()).min(orders), again || mute || fits(0.0) < orders);
        let worth = many == orders || part && (many as f64 >= f.overhead || mute);
        let spent = self.ledger.sent.len() >= f.messages_most && (again || many < orders);
        many * (worth && !spent) as usize
    }
}

impl Watch {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        let Some(ask_within) = f.ask_within else { return };
        // A second between tries to follow leaves the service room to recover; else thrice in the time.
        let due = if self.following { ask_within / 3.0 } else { 1.0 };
        match note {
            Note::In(Input::Hosts { scope: ListScope::Failed, .. }) => self.following = false,
            Note::Tick if self.asked_at.is_none_or(|at| now - at > due) => {
                post.orders.push(if self.following { Order::FetchList } else { Order::Follow(true) });
                (self.following, self.asked_at) = (true, Some(now));
            }
            _ => {}
        }
    }
}

pub struct Director {
    pub(crate) figures: Figures,
    chance: Chance,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) tables: Tables,
    pub(crate) gate: Gate,
    pub(crate) channel: Channel,
    pub(crate) watch: Watch,
    version: Option<u64>,
    listed: u64,
    tick_at: f64,
}

impl Director {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let figures = Figures::new(&settings);
        let gate = Gate::new(figures.importance.len());
        let (tables, channel, watch) = (Tables::default(), Channel::default(), Watch::default());
        let (hosts, chance, tick_at) = (BTreeMap::new(), Chance::new(seed), f64::NEG_INFINITY);
        Director { figures, chance, hosts, tables, gate, channel, watch, version: None, listed: 0, tick_at }
    }

    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        let mut post = Post::default();
        inputs.iter().for_each(|input| self.take(input, &mut post));
        self.settle(now, &mut post);
        // A microsecond of slack: a beat that rounding makes seem early would end the chain of wake-ups.
        if now + 1e-6 >= self.tick_at {
            let hosts = self.hosts.keys().map(|host| To::Host(*host));
            let parts = [To::Tables, To::Gate, To::Watch, To::Channel];
            hosts.chain(parts).for_each(|to| post.note(to, Note::Tick));
            self.settle(now, &mut post);
            // Ten times a second: a tenth of the shortest grace, and few enough to cost next to nothing.
            self.tick_at = now + 0.1;
            post.orders.push(Order::WakeAt { wake: WakeId(1), at: self.tick_at });
        }
        post.orders
    }

    /// The host's inbox, and its actor made when it is first heard of.
    fn host(&mut self, id: HostId) -> To {
        // Probes start spread over their interval, so that they don't come in bursts.
        let phase = self.chance.share() * 0.5;
        // What a director finds at its start is trusted until it fails; who comes later proves itself first.
        let proven = !self.figures.may_probe || self.tick_at == f64::NEG_INFINITY;
        self.hosts.entry(id).or_insert_with(|| Host::new(id, phase, proven));
        To::Host(id)
    }

    fn take(&mut self, input: &Input, post: &mut Post) {
        match input {
            Input::Hosts { scope, version, entries } => self.list(*scope, *version, entries, post),
            Input::StoredLine { host, .. } => _ = self.host(*host),
            Input::Tries { host, .. } | Input::Probed { host, .. } => {
                return post.note(To::Host(*host), Note::In(input.clone()));
            }
            _ => {}
        }
        for to in [To::Tables, To::Gate, To::Watch, To::Channel] {
            post.note(to, Note::In(input.clone()));
        }
    }

    fn list(&mut self, scope: ListScope, version: u64, entries: &[Listing], post: &mut Post) {
        // An answer may be older than what was followed since.
        if scope == ListScope::Failed || self.version.is_some_and(|known| version < known) {
            return;
        }
        self.version = Some(version);
        for entry in entries {
            self.listed += 1;
            let gone = entry.state == HostState::Gone;
            let note = if gone { Note::Unlisted } else { Note::Listed(entry.clone(), self.listed) };
            let to = self.host(entry.host);
            post.note(to, note);
        }
        let named: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
        for host in self.hosts.keys().filter(|host| scope != ListScope::Changes && !named.contains(host)) {
            post.note(To::Host(*host), Note::Unlisted);
        }
    }
}
