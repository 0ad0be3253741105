//! Hosts, clients, edges and a centre of one busy evening, in simulated time. What decides are the modules of
//! `coppersail-rollout`; only hosts, clients and the ways between are played here.
use coppersail_rollout::analysis::{FleetCapacity, RolloutAnalysis};
use coppersail_rollout::evidence::{EvidenceReport, OutcomeKind};
use coppersail_rollout::lifecycle::{Phase, RolloutState, Since};
use coppersail_rollout::{EvidenceRecorder, Ms, Variant, VariantSelector, Verdict};
use fastrand::Rng;
use std::collections::BTreeMap;

/// What is wrong with the new version, or else goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    Late,
    EveningLoad,
    OneZone,
    OneRoute,
    Doubles,
    Loses,
    WrongSeal,
    Fails,
    TenMinutes,
    LatePrimaryLost,
    LateThirdCut,
    LateReportsLate,
    Sound,
    Cold,
    Better,
    BothBad,
    SlowWaves,
    HotKey,
    ZoneLost,
    HostsCrash,
    AnswersLost,
    Garble,
    ThirdCut,
    ReportsLate,
}

use Case::*;

pub const CASES: [(Case, &str); 24] = [
    (Late, "late, three answers in ten"),
    (EveningLoad, "late at evening load only"),
    (OneZone, "late in one zone only"),
    (OneRoute, "late on one route only"),
    (Doubles, "doubles one booking in 500"),
    (Loses, "loses one answer in 50, but runs"),
    (WrongSeal, "wrong seal on one answer in 30"),
    (Fails, "fails one in ten"),
    (TenMinutes, "good for ten minutes, then late"),
    (LatePrimaryLost, "late; the primary lost as it decides"),
    (LateThirdCut, "late; a third of the edges cut off"),
    (LateReportsLate, "late; a third of reports a minute late"),
    (Sound, "sound"),
    (Cold, "sound but cold hosts, again and again"),
    (Better, "better than the old one"),
    (BothBad, "both bad at once"),
    (SlowWaves, "sound; waves of slowness everywhere"),
    (HotKey, "sound; a hot client in the new share"),
    (ZoneLost, "sound; a zone lost"),
    (HostsCrash, "sound; hosts crash"),
    (AnswersLost, "sound; single hosts lose answers"),
    (Garble, "sound; single hosts send wrong bytes"),
    (ThirdCut, "sound; a third of the edges cut off"),
    (ReportsLate, "sound; a third of reports a minute late"),
];

impl Case {
    pub fn bad(self) -> bool {
        (self as usize) < Sound as usize
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As built.
    Fleet,
    /// Each edge judges what it sees itself.
    Alone,
    /// Steps by time, no verdict.
    Fixed,
}

#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub edges: usize,
    pub zones: usize,
    /// Requests a second at the peak, of one service.
    pub peak: f64,
    /// Hosts of each version, of two slots.
    pub hosts: usize,
}

pub const EVENING: Ms = 900_000;
const TICK: Ms = 100;
const AIM: Ms = 500;
const DEADLINE: Ms = 1200;
const PLAN: &str = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"}, "ends": "1800s",
    "member": "session", "steps": [
    {"share": 0.02, "least": "60s", "evidence": 50}, {"share": 0.05, "least": "60s", "evidence": 100},
    {"share": 0.1, "least": "90s", "evidence": 200}, {"share": 0.25, "least": "120s", "evidence": 200},
    {"share": 0.5, "least": "360s", "evidence": 200}, {"share": 1.0, "least": "60s", "evidence": 200}]}"#;

/// What one evening came to.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub all: u64,
    /// Requests that the new version ran.
    pub met: u64,
    /// Bad answers of it that the release is to blame for.
    pub harmed: u64,
    pub first_bad: Option<Ms>,
    pub last_sent: Ms,
    pub paused_at: Option<Ms>,
    pub why: String,
    pub doubled: u64,
    pub done: bool,
    /// Bytes of evidence, by all edges together, and seconds with a plan.
    pub bytes: u64,
    pub seconds: u64,
    /// (time, share of all requests in the second that met the new version).
    pub line: Vec<(Ms, f64)>,
}

struct Host {
    name: String,
    zone: usize,
    /// When each slot is free, in ms.
    free: [f64; 2],
    cold_until: Ms,
    down_until: Ms,
    garbles_until: Ms,
    loses_until: Ms,
}

struct Edge {
    zone: usize,
    weight: f64,
    sides: VariantSelector,
    ledger: EvidenceRecorder,
    judge: Option<RolloutAnalysis>,
    poll_at: Ms,
    every: Ms,
    /// One way to where its centre knows as much as the primary.
    way: Ms,
    cut: bool,
    slow_reports: bool,
}

enum Due {
    Ended { edge: usize, number: u64, route: usize, side: Variant, kind: OutcomeKind, took: Ms, host: usize },
    Told { report: EvidenceReport, at: Ms },
    News { edge: usize, stand: usize, polled: Ms },
}

pub struct Evening {
    case: Case,
    mode: Mode,
    size: Size,
    rng: Rng,
    edges: Vec<Edge>,
    /// Of the new and of the old version.
    hosts: [Vec<Host>; 2],
    /// What is due, by tick.
    wheel: Vec<Vec<Due>>,
    names: Vec<String>,
    stands: Vec<RolloutState>,
    since: Since,
    judge: RolloutAnalysis,
    no_primary_until: Ms,
    lost_primary: bool,
    died: BTreeMap<String, Ms>,
    hot: String,
    out: Outcome,
}

const ROUTES: [&str; 2] = ["book", "look"];
const SIDES: [Variant; 2] = [Variant::New, Variant::Old];

fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

impl Evening {
    pub fn new(case: Case, mode: Mode, size: Size, seed: u64) -> Evening {
        let mut rng = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ case as u64);
        let stand = RolloutState::submit("friday", PLAN, None).expect("the plan is sound");
        let plan = stand.plan();
        let edge = |n: usize, rng: &mut Rng| Edge {
            zone: n % size.zones,
            weight: 0.5 + rng.f64(),
            sides: VariantSelector::default(),
            ledger: EvidenceRecorder::new(&format!("e{n}"), 1, &format!("z{}", n % size.zones)),
            judge: (mode == Mode::Alone).then(|| RolloutAnalysis::new(&plan, 1)),
            poll_at: rng.u64(0..500),
            every: 500,
            // Most follow a centre that is not the primary.
            way: if rng.u8(0..3) == 0 { rng.u64(5..20) } else { rng.u64(20..350) },
            cut: matches!(case, LateThirdCut | ThirdCut) && n.is_multiple_of(3),
            slow_reports: matches!(case, LateReportsLate | ReportsLate) && n.is_multiple_of(3),
        };
        let edges = (0..size.edges).map(|n| edge(n, &mut rng)).collect();
        let host = |version: &str, n: usize| Host {
            name: format!("{version}-{n}"),
            zone: n % size.zones,
            free: [0.0; 2],
            cold_until: 0,
            down_until: 0,
            garbles_until: 0,
            loses_until: 0,
        };
        let hosts = ["n", "o"].map(|v| (0..size.hosts).map(|n| host(v, n)).collect());
        // The worst client to be hot: one of the first that the new version gets.
        let first =
            |n: &u32| coppersail_rollout::share::place("ledger", "friday", format!("c{n}").as_bytes()) < 0.02;
        let hot = format!("c{}", (0..5000).find(first).unwrap_or(0));
        Evening {
            case,
            mode,
            size,
            rng,
            edges,
            hosts,
            wheel: (0..EVENING / TICK + 800).map(|_| Vec::new()).collect(),
            names: (0..5000).map(|n| format!("c{n}")).collect(),
            judge: RolloutAnalysis::new(&plan, 1),
            stands: vec![stand],
            since: Since(0),
            no_primary_until: 0,
            lost_primary: false,
            died: BTreeMap::new(),
            hot,
            out: Outcome::default(),
        }
    }

    /// Rises to the peak by eight minutes and stays.
    fn rate(&self, now: Ms) -> f64 {
        self.size.peak * (0.5 + 0.5 * (now as f64 / 480_000.0).min(1.0))
    }

    pub fn play(mut self) -> Outcome {
        let plan = self.stands[0].plan();
        let mut second = (0u64, 0u64);
        for now in (0..EVENING).step_by(TICK as usize) {
            self.troubles(now);
            for due in std::mem::take(&mut self.wheel[(now / TICK) as usize]) {
                self.due(now, due);
            }
            let over = self.out.paused_at.is_some_and(|at| now > at + 30_000);
            if over && self.case.bad() && self.mode == Mode::Fleet && now % 5000 == 0 {
                // Nothing is sent there any more; the rest of the evening's requests are only counted.
                let rest = (now..EVENING).step_by(TICK as usize).map(|t| self.rate(t)).sum::<f64>();
                self.out.all += (rest * TICK as f64 / 1000.0) as u64;
                self.out.seconds = now / 1000;
                return self.out;
            }
            if now % 200 == 0 {
                self.centre(now, &plan);
            }
            for edge in 0..self.edges.len() {
                if now >= self.edges[edge].poll_at {
                    self.poll(now, edge);
                }
            }
            let met = self.out.met;
            let mut expected = self.rate(now) * TICK as f64 / 1000.0;
            let extra = self.case == HotKey && now > 100_000;
            expected *= if extra { 1.2 } else { 1.0 };
            let many = (expected + normal(&mut self.rng) * expected.sqrt()).round().max(0.0) as u64;
            for _ in 0..many {
                let hot = extra && self.rng.f64() < 0.16;
                self.request(now, hot);
            }
            second = (second.0 + many, second.1 + self.out.met - met);
            if now % 5000 == 5000 - TICK {
                self.out.line.push((now, second.1 as f64 / second.0.max(1) as f64));
                second = (0, 0);
            }
        }
        self.out.seconds = EVENING / 1000;
        self.out.done = self.stands.last().is_some_and(|s| s.phase == Phase::Done);
        self.out
    }

    fn troubles(&mut self, now: Ms) {
        if now % 100_000 != 30_000 || now == 0 {
            return;
        }
        let n = self.size.hosts;
        match self.case {
            Cold => self.hosts[0].iter_mut().step_by(2).for_each(|h| h.cold_until = now + 20_000),
            HostsCrash => {
                for side in 0..2 {
                    let at = self.rng.usize(0..n);
                    self.crash(now, side, at, 10_000);
                }
            }
            ZoneLost if now == 230_000 => {
                for side in 0..2 {
                    let zones = self.size.zones;
                    for at in (0..n).filter(|at| at % zones == 1) {
                        self.crash(now, side, at, EVENING);
                    }
                }
                let gone = self.edges.iter_mut().filter(|e| e.zone == 1);
                gone.for_each(|e| (e.weight, e.poll_at) = (0.0, EVENING));
            }
            AnswersLost | Garble => {
                let side = self.rng.usize(0..2);
                let at = self.rng.usize(0..n);
                let host = &mut self.hosts[side][at];
                let until = if self.case == Garble { &mut host.garbles_until } else { &mut host.loses_until };
                *until = now + 15_000;
            }
            _ => {}
        }
    }

    fn later(&mut self, at: Ms, due: Due) {
        self.wheel[(at / TICK) as usize + 1].push(due);
    }

    fn crash(&mut self, now: Ms, side: usize, at: usize, for_long: Ms) {
        let host = &mut self.hosts[side][at];
        host.down_until = now + for_long;
        host.cold_until = now + for_long + 10_000;
        host.free = [0.0; 2];
        self.died.insert(host.name.clone(), now);
        // What was at work there is lost.
        let far = SIDES[side];
        for due in self.wheel.iter_mut().flatten() {
            if let Due::Ended { side, host, kind, .. } = due {
                if *side == far && *host == at {
                    *kind = OutcomeKind::Lost;
                }
            }
        }
    }

    fn request(&mut self, now: Ms, hot: bool) {
        self.out.all += 1;
        let all = self.edges.len();
        // Uneven shares: by rejection, as weights are at most 1.5.
        let edge = loop {
            let at = self.rng.usize(0..all);
            if self.rng.f64() * 1.5 < self.edges[at].weight {
                break at;
            }
        };
        let any = self.rng.usize(0..self.names.len());
        let client = if hot { &self.hot } else { &self.names[any] };
        let route = usize::from(self.rng.u8(0..3) > 0);
        let e = &self.edges[edge];
        let choice = e.sides.choose(now, "ledger", ROUTES[route], client.as_bytes());
        let (side, number) = choice.as_ref().map_or((Variant::Old, 0), |c| (c.side, c.number));
        let counted = choice.is_some_and(|c| e.sides.counts(c.plan));
        let zone = e.zone;
        // Edges know about how long a host's queue is: the better of two.
        let version = &self.hosts[side as usize];
        let up = |at: usize| now >= version[at].down_until;
        let any = |rng: &mut Rng| (0..20).map(|_| rng.usize(0..version.len())).find(|at| up(*at));
        let (Some(one), Some(other)) = (any(&mut self.rng), any(&mut self.rng)) else { return };
        let queue = |at: usize| version[at].free[0].min(version[at].free[1]);
        let at = match hot {
            // A hot key has one host.
            true => 3 % version.len(),
            false if queue(one) <= queue(other) => one,
            false => other,
        };
        let aside = counted
            && self.mode != Mode::Fixed
            && self.edges[edge].ledger.sent(now, &self.hosts[side as usize][at].name, 2.0);
        self.count(now, edge, number, route, side, OutcomeKind::Offered, None, None);
        let new = side == Variant::New;
        let (kind, took) = self.run(now, side, at, route, zone);
        let Some(kind) = kind else { return };
        let cold = now < self.hosts[side as usize][at].cold_until;
        if new {
            self.out.met += 1;
            self.out.last_sent = now;
        }
        let spoken = [OutcomeKind::Good, OutcomeKind::Late, OutcomeKind::Failed].contains(&kind);
        let kind = if (cold || aside) && spoken { OutcomeKind::Aside } else { kind };
        let due = Due::Ended { edge, number, route, side, kind, took, host: at };
        self.later(now + took, due);
    }

    /// Runs a request on a host: what becomes of it, and after how long. None: turned away.
    fn run(
        &mut self,
        now: Ms,
        side: Variant,
        at: usize,
        route: usize,
        zone: usize,
    ) -> (Option<OutcomeKind>, Ms) {
        let (case, evening) = (self.case, self.rate(now) > 0.85 * self.size.peak);
        let rng = &mut self.rng;
        let host = &mut self.hosts[side as usize][at];
        let slot = usize::from(host.free[1] < host.free[0]);
        let wait = (host.free[slot] - now as f64).max(0.0);
        if wait > 600.0 {
            return (None, 0);
        }
        let mut work = 120.0 * (0.35 * normal(rng)).exp();
        work *= if now < host.cold_until { 3.0 } else { 1.0 };
        work *= if case == SlowWaves && now % 100_000 < 20_000 { 2.5 } else { 1.0 };
        let new = side == Variant::New;
        let ill = new
            && match case {
                Late | LatePrimaryLost | LateThirdCut | LateReportsLate => true,
                EveningLoad => evening,
                OneZone => host.zone == 1,
                OneRoute => route == 0,
                TenMinutes => now > 600_000,
                _ => false,
            };
        let stalled = (ill || case == BothBad) && rng.f64() < 0.3;
        // It waits for something, and does not work the while: the slot is not held.
        let stall = if stalled { 450.0 + 300.0 * rng.f64() } else { 0.0 };
        work *= if new && case == Better { 0.7 } else { 1.0 };
        host.free[slot] = now as f64 + wait + work;
        let _ = zone;
        let took = ((wait + work + stall) as Ms + 4).min(DEADLINE);
        let book = route == 0;
        let mut kind = if took > AIM { OutcomeKind::Late } else { OutcomeKind::Good };
        let blame = match case {
            Loses if new && rng.f64() < 0.02 => Some(OutcomeKind::Lost),
            WrongSeal if new && rng.f64() < 1.0 / 30.0 => Some(OutcomeKind::Foreign),
            Fails if new && rng.f64() < 0.1 => Some(OutcomeKind::Failed),
            Doubles if new && book && rng.f64() < 0.002 => Some(OutcomeKind::Doubled),
            _ => None,
        };
        if now < host.loses_until && rng.f64() < 0.1 {
            kind = OutcomeKind::Lost;
        }
        if now < host.garbles_until && rng.f64() < 0.3 {
            kind = OutcomeKind::Foreign;
        }
        let kind = blame.unwrap_or(kind);
        if blame.is_some() || (new && stalled && case.bad()) {
            self.out.harmed += 1;
            self.out.first_bad.get_or_insert(now + took);
            self.out.doubled += u64::from(kind == OutcomeKind::Doubled);
        }
        (Some(kind), took)
    }

    #[allow(clippy::too_many_arguments)]
    fn count(
        &mut self,
        now: Ms,
        edge: usize,
        number: u64,
        route: usize,
        side: Variant,
        kind: OutcomeKind,
        took: Option<Ms>,
        host: Option<usize>,
    ) {
        if self.mode == Mode::Fixed {
            return;
        }
        let e = &mut self.edges[edge];
        if number > 0 && e.sides.active().any(|l| l.number >= number) {
            let name = host.map(|at| self.hosts[side as usize][at].name.as_str());
            e.ledger.note(now, "friday", number, ROUTES[route], side, kind, took, name);
        }
    }

    fn due(&mut self, now: Ms, due: Due) {
        match due {
            Due::Ended { edge, number, route, side, kind, took, host } => {
                let answered = !matches!(kind, OutcomeKind::Lost | OutcomeKind::Foreign);
                if kind == OutcomeKind::Doubled {
                    self.count(now, edge, number, route, side, OutcomeKind::Good, Some(took), None);
                    if side == Variant::New && self.mode != Mode::Fixed {
                        self.edges[edge].sides.stop("friday", number);
                    }
                }
                let took = (answered && kind != OutcomeKind::Doubled).then_some(took);
                self.count(now, edge, number, route, side, kind, took, Some(host));
            }
            Due::Told { report, at } => {
                if self.mode == Mode::Fleet && now >= self.no_primary_until && at >= self.no_primary_until {
                    let hard = self.judge.take(now, "friday", &report);
                    if hard {
                        let plan = self.stands[0].plan();
                        self.centre(now, &plan);
                    }
                }
            }
            Due::News { edge, stand, polled } => {
                let e = &mut self.edges[edge];
                e.sides.take(&self.stands[stand]);
                e.sides.fresh(polled);
            }
        }
    }

    fn poll(&mut self, now: Ms, edge: usize) {
        let no_primary = now < self.no_primary_until;
        let fleet = self.fleet();
        let e = &mut self.edges[edge];
        e.poll_at = now + e.every;
        if let Some(judge) = &mut e.judge {
            {
                if let Some(report) = e.ledger.report(now, usize::MAX) {
                    judge.take(now, "friday", &report);
                }
                let died = &self.died;
                let dead = |host: &str, seen: Ms| fate(died, host, seen, now);
                if let Verdict::Pause(why) = judge.judge(now, 1, fleet, dead) {
                    e.sides.stop("friday", u64::MAX);
                    self.out.paused_at.get_or_insert(now);
                    self.out.why = why;
                }
            }
        }
        // Cut off from two to five minutes into it.
        if e.cut && (120_000..300_000).contains(&now) {
            return;
        }
        let (way, slow) = (e.way, e.slow_reports);
        if self.mode == Mode::Fleet {
            if let Some(report) = e.ledger.report(now, 1400) {
                self.out.bytes += serde_json::to_string(&report).map_or(0, |t| t.len() as u64);
                let late = if slow { 60_000 } else { 0 };
                let at = now + way + late;
                self.later(at, Due::Told { report, at });
            }
        }
        if no_primary {
            return;
        }
        let (stand, polled) = (self.stands.len() - 1, now.saturating_sub(way));
        let news = Due::News { edge, stand, polled };
        self.later(now + 2 * way, news);
    }

    fn fleet(&self) -> FleetCapacity {
        let slots = self.size.hosts as f64 * 2.0;
        FleetCapacity { new_slots: slots, old_slots: slots, new_hosts: self.size.hosts }
    }

    fn centre(&mut self, now: Ms, plan: &coppersail_rollout::RolloutPlan) {
        if now < self.no_primary_until {
            return;
        }
        if self.lost_primary && self.no_primary_until > 0 {
            // A new one: it knows what is on the disk, asks for all that is kept, and begins the step's time anew.
            let stand = self.stands.last().expect("one");
            (self.judge, self.since, self.no_primary_until) =
                (RolloutAnalysis::new(plan, stand.run), Since(now), 0);
            self.edges.iter_mut().for_each(|e| e.ledger.again());
        }
        let stand = self.stands.last().expect("one").clone();
        self.judge.step(stand.step);
        let fleet = self.fleet();
        let died = &self.died;
        let verdict = match self.mode {
            Mode::Fleet => {
                self.judge.judge(now, stand.number, fleet, |host, seen| fate(died, host, seen, now))
            }
            _ => Verdict::Sound,
        };
        let Some(next) = stand.tick(plan, now, self.since, &verdict) else { return };
        let pause = matches!(next.phase, Phase::Withdrawn | Phase::Frozen);
        if pause && self.case == LatePrimaryLost && !self.lost_primary {
            (self.lost_primary, self.no_primary_until) = (true, now + 2500);
            return;
        }
        if pause {
            self.out.paused_at.get_or_insert(now);
            self.out.why = next.why.clone();
        }
        self.since = Since(now);
        self.stands.push(next);
    }
}

/// Beats come every 1.3 s; two and a half without one mean that it is gone.
fn fate(died: &BTreeMap<String, Ms>, host: &str, seen: Ms, now: Ms) -> Option<bool> {
    let dead = died.get(host).is_some_and(|at| *at + 10_000 > seen && *at <= seen + 1000);
    (now >= seen + 3250 || (!dead && now >= seen + 1300)).then_some(dead)
}
