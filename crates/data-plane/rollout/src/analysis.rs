//! The verdict: the new version against the sound one in the same seconds, in the same zones, on the same routes.
//!
//! A stratum is what the edges of one zone counted of both versions on one route within two seconds. Of the bad answers
//! in it, the new version has as large a part as of the requests if it is no worse; what it has beyond that is a bet
//! that pays. A factor for a stratum with `x` bad answers of the new version, `l` of both, and the part `q` of the
//! requests is `r^x / (1 + q(r-1))^l`, on average 1 at most if the new one is no worse, whatever the rate is. The
//! bound enters as bad answers that the new one has free. Bets are placed anew in every round (a new version may be
//! good for long and then bad), so the sum pays `1/error` with a probability of `error` at most over the whole plan:
//! `docs/rollout.md` has the proof. Bad answers that come in crowds are divided by how crowded they come with the
//! sound version.
use crate::evidence::{Counts, EvidenceReport, EvidenceRow, OutcomeKind};
use crate::Ms;
use coppersail_config::rollout::RolloutPlan;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};

/// How often a round of bets is settled.
pub const ROUND: Ms = 2000;
/// How much worse the new version is thought to be: a bet on each. A small fault takes long to see by any of them.
const WORSE: [f64; 3] = [1.5, 3.0, 10.0];
/// Of what is staked on each bet over the whole plan: at its start, at its further steps, and evenly in all rounds.
const START: f64 = 0.2;
const STEPS: f64 = 0.3;
const STAKES: f64 = 0.5;
/// A row whose edge has told nothing later is settled after this.
const SETTLED: Ms = 4000;
/// A loss at a host of which nothing is known after this counts as one at a host that runs.
const UNSURE: Ms = 6000;
/// An edge that had told something and tells nothing for so long is silent: that is not health.
const SILENT: Ms = 10_000;
/// Rows this much older than the newest of their edge are late.
const LATE_SPANS: u64 = 5;
const REMEMBERED: Ms = 120_000;
/// Where the sound version has so much of its answers late, the fleet has another trouble, and no step is taken.
const TROUBLE: f64 = 0.2;
/// With so much more to do than the other's hosts, a version's lateness is that of few hosts; if that goes on, it is
/// the plan's own.
const PRESSED: f64 = 2.0;
const PRESSED_FOR: Ms = 30_000;
/// A version is bad at all of its hosts. What one of the new version's has beyond so much within a minute, and beyond
/// so many times what the worst of its others has, is that host's own trouble: a hot key, a bad disk.
const ONE_HOST: f64 = 3.0;
const OTHERS: f64 = 2.0;
const ONE_HOST_SPAN: Ms = 60_000;
/// Fewer hosts can't be told from their version.
const HOSTS: usize = 3;
/// A crowd larger than this is no accident of counting.
const CROWDS: f64 = 20.0;
/// New rounds make this part of what is known about crowds.
const FRESH: f64 = 0.1;

#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Not enough is known, and what is missing.
    Wait(String),
    Sound,
    Pause(String),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Fleet,
    Zone(String),
    Route(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Late,
    Lost,
}

/// Of the edge, its life, the span, the plan's number and the route.
type Key = u64;

fn key(report: &EvidenceReport, row: &EvidenceRow) -> Key {
    let mut hash = DefaultHasher::new();
    (&report.edge, report.life, row.span, row.number, &row.route).hash(&mut hash);
    hash.finish()
}

struct Stratum {
    edge: String,
    area: String,
    row: EvidenceRow,
    seen: Ms,
    /// It came so late that the others of its seconds have been settled.
    late: bool,
}

/// The hosts that serve the versions now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    pub new_slots: f64,
    pub old_slots: f64,
    pub new_hosts: usize,
}

/// What both versions did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VariantSums {
    pub new: Counts,
    pub old: Counts,
}

/// Zone, route, and the edge where the row came late.
type Place = (String, String, String);

/// A row that is settled in this round.
struct Settled {
    place: Place,
    row: EvidenceRow,
    lost: [f64; 2],
    slow: f64,
}

pub struct RolloutAnalysis {
    plan: RolloutPlan,
    run: u64,
    rounds: f64,
    /// Answers that the step in force asks for.
    least: u64,
    step: usize,
    /// What is staked anew in the next round.
    stake: f64,
    rows: HashMap<Key, Stratum>,
    /// What was settled of late: when it was first seen, how often it had changed, doubled by both.
    done: HashMap<Key, (Ms, u32, [u64; 2])>,
    edges: BTreeMap<String, (Ms, u64)>,
    bets: BTreeMap<(Scope, Fault), [f64; 3]>,
    crowd: f64,
    settled_at: Ms,
    swept_at: Ms,
    dead: BTreeSet<String>,
    /// Late and lost of the new version by host, all and as counted, and since when.
    by_host: [BTreeMap<String, (f64, f64)>; 2],
    by_host_at: Ms,
    new_hosts: usize,
    pressed_since: Option<Ms>,
    /// Answers of the new version by the plan's number.
    counted: BTreeMap<u64, u64>,
    /// Of the last rounds: (slow, timed) of the sound version.
    sound: (f64, f64),
    pub sums: VariantSums,
    /// Rows that came late.
    pub late: u64,
    pub rows_taken: u64,
}

fn add(to: &mut Counts, more: &Counts) {
    to.all.iter_mut().zip(more.all).for_each(|(a, b)| *a = a.saturating_add(b));
    for (time, many) in &more.times {
        match to.times.binary_search_by_key(time, |t| t.0) {
            Ok(at) => to.times[at].1 += many,
            Err(at) => to.times.insert(at, (*time, *many)),
        }
    }
}

/// The log of `r^x / (1 + q(r-1))^l`, less what the bound lets the new one have free.
fn bet(r: f64, x: f64, l: f64, new: f64, old: f64, free: f64) -> f64 {
    if new <= 0.0 || old <= 0.0 {
        return 0.0;
    }
    let c = 1.0 + new / (new + old) * (r - 1.0);
    x * r.ln() - l * c.ln() - new * free * (r / c - 1.0)
}

fn sum_of_logs(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    high + (low - high).exp().ln_1p()
}

impl RolloutAnalysis {
    /// Of what was counted from number `run` on.
    pub fn new(plan: &RolloutPlan, run: u64) -> RolloutAnalysis {
        let rounds = (plan.ends.as_millis() as f64 / ROUND as f64).max(1.0);
        RolloutAnalysis {
            plan: plan.clone(),
            run,
            rounds,
            step: 0,
            least: plan.steps.first().map_or(0, |s| s.evidence),
            rows: HashMap::new(),
            done: HashMap::new(),
            stake: 0.0,
            edges: BTreeMap::new(),
            bets: BTreeMap::new(),
            // Until some is known: pairs.
            crowd: 2.0,
            settled_at: 0,
            swept_at: 0,
            dead: BTreeSet::new(),
            by_host: Default::default(),
            by_host_at: 0,
            new_hosts: 0,
            pressed_since: None,
            counted: BTreeMap::new(),
            sound: (0.0, 0.0),
            sums: VariantSums::default(),
            late: 0,
            rows_taken: 0,
        }
    }

    /// Takes what an edge tells about this plan. True if it has to be looked at now.
    pub fn take(&mut self, now: Ms, name: &str, report: &EvidenceReport) -> bool {
        let mut hard = false;
        for row in report.rows.iter().filter(|r| r.plan == name && r.number >= self.run) {
            let key = key(report, row);
            if !self.edges.contains_key(&report.edge) {
                self.edges.insert(report.edge.clone(), (now, row.span));
            }
            let Some(edge) = self.edges.get_mut(&report.edge) else { continue };
            edge.0 = now;
            let known = self.rows.contains_key(&key) || self.done.contains_key(&key);
            let late = row.span + LATE_SPANS < edge.1;
            self.late += u64::from(late && !known);
            edge.1 = edge.1.max(row.span);
            self.rows_taken += 1;
            let told = [row.new.of(OutcomeKind::Doubled), row.old.of(OutcomeKind::Doubled)];
            let before = if let Some((_, count, doubled)) = self.done.get_mut(&key) {
                // The bets on it are settled; what it has more says little, but for what ran twice.
                if row.count <= *count {
                    continue;
                }
                *count = row.count;
                std::mem::replace(doubled, told)
            } else {
                let fresh = || Stratum {
                    edge: report.edge.clone(),
                    area: report.area.clone(),
                    row: EvidenceRow::default(),
                    seen: now,
                    late,
                };
                let stratum = self.rows.entry(key).or_insert_with(fresh);
                if row.count <= stratum.row.count {
                    continue;
                }
                let old = std::mem::replace(&mut stratum.row, row.clone());
                [old.new.of(OutcomeKind::Doubled), old.old.of(OutcomeKind::Doubled)]
            };
            // What runs twice is never undone: it counts whenever it comes.
            hard |= told[0] > before[0];
            self.sums.new.all[OutcomeKind::Doubled as usize] += told[0].saturating_sub(before[0]) as u32;
            self.sums.old.all[OutcomeKind::Doubled as usize] += told[1].saturating_sub(before[1]) as u32;
        }
        hard
    }

    /// How many of these the version is to answer for, and not one host alone.
    fn spread(&mut self, fault: Fault, list: &[(String, u32)]) -> f64 {
        let few = self.new_hosts < HOSTS;
        let by = &mut self.by_host[fault as usize];
        let mut sum = 0.0;
        for (host, many) in list {
            let many = f64::from(*many);
            let others = by.iter().filter(|(h, _)| *h != host).map(|(_, n)| n.0).fold(0.0, f64::max);
            let own = by.entry(host.clone()).or_default();
            let more = many.min(ONE_HOST + OTHERS * others - own.1).max(0.0);
            *own = (own.0 + many, own.1 + more);
            sum += if few { many } else { more };
        }
        sum
    }

    /// Losses at a host that has died are one loss: its death. None: it is not known yet whether it runs.
    fn losses(&mut self, new: bool, counts: &Counts, dead: &impl Fn(&str) -> Option<bool>) -> f64 {
        let (died, live): (Vec<_>, Vec<_>) =
            counts.lost_at.iter().cloned().partition(|(host, _)| dead(host) == Some(true));
        let deaths = died.into_iter().filter(|(host, _)| self.dead.insert(host.clone())).count() as f64;
        deaths + if new { self.spread(Fault::Lost, &live) } else { live.iter().map(|l| f64::from(l.1)).sum() }
    }

    /// Settles what can be settled, and says how it stands. `number` is the plan's now. `dead`: whether a host has
    /// died at or after a time, if that is known.
    pub fn judge(
        &mut self,
        now: Ms,
        number: u64,
        fleet: FleetCapacity,
        dead: impl Fn(&str, Ms) -> Option<bool>,
    ) -> Verdict {
        if now >= self.settled_at + ROUND {
            self.settled_at = now;
            self.new_hosts = fleet.new_hosts;
            if now >= self.by_host_at + ONE_HOST_SPAN {
                self.by_host_at = now;
                self.by_host.iter_mut().for_each(|by| by.clear());
            }
            self.settle(now, fleet, &dead);
        }
        if let Some(why) = self.hard() {
            return Verdict::Pause(why);
        }
        let scopes = self.bets.len().max(2) as f64;
        let limit = (scopes / self.plan.error).ln();
        let mean = |logs: &[f64; 3]| {
            logs.iter().copied().fold(f64::NEG_INFINITY, sum_of_logs) - (logs.len() as f64).ln()
        };
        let worst = self.bets.iter().map(|(key, logs)| (mean(logs), key)).max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((log, (scope, fault))) = worst {
            if log >= limit {
                return Verdict::Pause(self.reason(scope, *fault, log));
            }
            if log > limit / 2.0 {
                return Verdict::Wait(format!("suspected: {}", self.reason(scope, *fault, log)));
            }
        }
        self.enough(now, number)
    }

    fn hard(&self) -> Option<String> {
        let (new, old) = (&self.sums.new, &self.sums.old);
        let doubled = (new.of(OutcomeKind::Doubled), old.of(OutcomeKind::Doubled));
        if doubled.0 <= self.plan.bounds.doubled {
            return None;
        }
        // Where the sound version doubles as often, it is not the release.
        let alike = doubled.1 > 0 && 2 * doubled.1 * new.ended().max(1) >= doubled.0 * old.ended();
        (!alike)
            .then(|| format!("{} answered twice by the new version, {} by the other", doubled.0, doubled.1))
    }

    fn reason(&self, scope: &Scope, fault: Fault, log: f64) -> String {
        let at = match scope {
            Scope::Fleet => String::new(),
            Scope::Zone(zone) => format!(" in zone {zone}"),
            Scope::Route(route) => format!(" on route {route}"),
        };
        let what = match fault {
            Fault::Late => "late or failed",
            Fault::Lost => "lost",
        };
        let part = |c: &Counts| match fault {
            Fault::Late => c.slow() as f64 / c.timed().max(1) as f64,
            Fault::Lost => {
                (c.of(OutcomeKind::Lost) + c.of(OutcomeKind::Foreign)) as f64 / c.ended().max(1) as f64
            }
        };
        let (new, old) = (100.0 * part(&self.sums.new), 100.0 * part(&self.sums.old));
        format!("more {what}{at}; of all so far {new:.1}% against {old:.1}%, odds e^{log:.1}")
    }

    fn enough(&self, now: Ms, number: u64) -> Verdict {
        let least = self.least;
        let have = self.counted.get(&number).copied().unwrap_or(0);
        if have < least {
            return Verdict::Wait(format!("{have} of {least} answers"));
        }
        let silent = self.edges.values().filter(|(heard, _)| now > heard + SILENT).count();
        if 3 * silent > self.edges.len() {
            return Verdict::Wait(format!("{silent} of {} edges are silent", self.edges.len()));
        }
        if self.pressed_since.is_some() {
            return Verdict::Wait("the new version's hosts have more than their part to do".into());
        }
        if self.sound.0 > TROUBLE * self.sound.1.max(1.0) {
            return Verdict::Wait("the sound version is late itself".into());
        }
        Verdict::Sound
    }

    fn settle(&mut self, now: Ms, fleet: FleetCapacity, dead: &impl Fn(&str, Ms) -> Option<bool>) {
        if now >= self.swept_at + REMEMBERED / 4 {
            self.swept_at = now;
            self.done.retain(|_, (seen, _, _)| now < *seen + REMEMBERED);
        }
        let dead = |host: &str, seen: Ms| dead(host, seen).or((now >= seen + UNSURE).then_some(false));
        let due = |s: &Stratum| {
            let later = self.edges.get(&s.edge).is_some_and(|(_, newest)| *newest > s.row.span);
            let sure = |c: &Counts| c.lost_at.iter().all(|(host, _)| dead(host, s.seen).is_some());
            (later || now >= s.seen + SETTLED) && sure(&s.row.new) && sure(&s.row.old)
        };
        let mut due: Vec<Key> = self.rows.iter().filter(|(_, s)| due(s)).map(|(k, _)| *k).collect();
        due.sort_unstable();
        let mut round: Vec<Settled> = Vec::new();
        for key in due {
            let Some(Stratum { edge, area, row, seen, late }) = self.rows.remove(&key) else { continue };
            let doubled = [row.new.of(OutcomeKind::Doubled), row.old.of(OutcomeKind::Doubled)];
            self.done.insert(key, (seen, row.count, doubled));
            let dead = |host: &str| dead(host, seen);
            let lost = [self.losses(true, &row.new, &dead), self.losses(false, &row.old, &dead)];
            let slow = self.spread(Fault::Late, &row.new.slow_at);
            *self.counted.entry(row.number).or_default() += row.new.ended();
            let twice = (
                self.sums.new.of(OutcomeKind::Doubled) as u32,
                self.sums.old.of(OutcomeKind::Doubled) as u32,
            );
            add(&mut self.sums.new, &row.new);
            add(&mut self.sums.old, &row.old);
            // Those were counted when they came.
            self.sums.new.all[OutcomeKind::Doubled as usize] = twice.0;
            self.sums.old.all[OutcomeKind::Doubled as usize] = twice.1;
            round.push(Settled {
                place: (area, row.route.clone(), if late { edge } else { String::new() }),
                row,
                lost,
                slow,
            });
        }
        self.press(now, fleet, &round);
        self.place(now, &round);
        self.look(&round);
    }

    fn press(&mut self, now: Ms, fleet: FleetCapacity, round: &[Settled]) {
        let offered = |f: fn(&EvidenceRow) -> &Counts| {
            round.iter().map(|s| f(&s.row).of(OutcomeKind::Offered)).sum::<u64>()
        };
        let (new, old) = (offered(|r| &r.new) as f64, offered(|r| &r.old) as f64);
        let part = if fleet.old_slots > 0.0 { old / fleet.old_slots * fleet.new_slots } else { new };
        let over = fleet.new_slots > 0.0 && new > PRESSED * part + 3.0 * part.max(1.0).sqrt();
        self.pressed_since = over.then_some(self.pressed_since.unwrap_or(now));
    }

    fn place(&mut self, now: Ms, round: &[Settled]) {
        let pressed = self.pressed_since.is_some_and(|since| now < since + PRESSED_FOR);
        let mut gains: BTreeMap<(Scope, Fault), [f64; 3]> = BTreeMap::new();
        // The shares are the same at all edges, so that those of a zone are one stratum: alone, an edge of many would
        // seldom have a request of both versions in two seconds.
        let mut strata: BTreeMap<&Place, [[f64; 4]; 2]> = BTreeMap::new();
        for Settled { place, row, lost, slow } in round {
            let (new, old) = (&row.new, &row.old);
            let late = [*slow, slow + old.slow() as f64, new.timed() as f64, old.timed() as f64];
            let lost = [lost[0], lost[0] + lost[1], new.ended() as f64, old.ended() as f64];
            for (sum, more) in strata.entry(place).or_default().iter_mut().zip([late, lost]) {
                sum.iter_mut().zip(more).for_each(|(a, b)| *a += b);
            }
        }
        for ((area, route, _), [late, lost]) in strata {
            let bounds = &self.plan.bounds;
            for (fault, [x, l, n, o], free, crowd) in
                [(Fault::Late, late, bounds.late, self.crowd), (Fault::Lost, lost, bounds.lost, 1.0)]
            {
                if fault == Fault::Late && pressed {
                    continue;
                }
                for scope in [Scope::Fleet, Scope::Zone(area.clone()), Scope::Route(route.clone())] {
                    let gain = gains.entry((scope, fault)).or_default();
                    gain.iter_mut().zip(WORSE).for_each(|(g, r)| *g += bet(r, x, l, n, o, free) / crowd);
                }
            }
        }
        // Where there is but one zone or route, it is the fleet.
        let many = |f: fn(&Scope) -> bool, all: &BTreeMap<(Scope, Fault), [f64; 3]>| {
            all.keys().filter(|(s, _)| f(s)).count() > 2
        };
        let zones = many(|s| matches!(s, Scope::Zone(_)), &gains);
        let routes = many(|s| matches!(s, Scope::Route(_)), &gains);
        let stake = (self.stake + STAKES / self.rounds).ln();
        self.stake = 0.0;
        for (key, gain) in gains {
            let apart = match key.0 {
                Scope::Fleet => true,
                Scope::Zone(_) => zones,
                Scope::Route(_) => routes,
            };
            if apart || self.bets.contains_key(&key) {
                let logs = self.bets.entry(key).or_insert([START.ln(); 3]);
                logs.iter_mut().zip(gain).for_each(|(log, g)| *log = sum_of_logs(*log, stake) + g);
            }
        }
    }

    /// How crowded late answers of the sound version come: by how much more their number differs between rows than
    /// that of single accidents would.
    fn look(&mut self, round: &[Settled]) {
        let mut by: BTreeMap<&Place, Vec<(f64, f64)>> = BTreeMap::new();
        for s in round.iter().filter(|s| s.row.old.timed() > 0) {
            by.entry(&s.place).or_default().push((s.row.old.slow() as f64, s.row.old.timed() as f64));
        }
        let keep = 1.0 - FRESH;
        self.sound = (self.sound.0 * keep, self.sound.1 * keep);
        let (mut spread, mut free) = (0.0, 0.0);
        for rows in by.values() {
            let (slow, all) = rows.iter().fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1));
            self.sound = (self.sound.0 + slow, self.sound.1 + all);
            let p: f64 = slow / all;
            if rows.len() > 1 && slow > 0.0 && p < 1.0 {
                spread += rows.iter().map(|(y, n)| (y - n * p).powi(2) / (n * p * (1.0 - p))).sum::<f64>();
                free += (rows.len() - 1) as f64;
            }
        }
        if free >= 3.0 {
            self.crowd = (keep * self.crowd + FRESH * spread / free).clamp(1.0, CROWDS);
        }
    }

    /// The step in force.
    pub fn step(&mut self, step: usize) {
        if step > self.step {
            self.stake += STEPS / (self.plan.steps.len().max(2) - 1) as f64;
            self.step = step;
        }
        self.least = self.plan.steps.get(step).map_or(0, |s| s.evidence);
    }

    pub fn counted(&self, number: u64) -> u64 {
        self.counted.get(&number).copied().unwrap_or(0)
    }
}
