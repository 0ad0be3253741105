//! The world: events in simulated time. Of two at one time the one that was planned first comes first, so a seed tells
//! everything. `calls` has what befalls a call, `control` what directors hear and order, `faults` what goes wrong.

mod calls;
mod control;
mod faults;
mod hosts;
mod proxies;

use crate::measure::Measured;
use crate::policy::{Kind, Policy, Truth};
use crate::rules::{Rule, Rules};
use crate::scenario::Scenario;
use control::{Director, Store};
use coppersail::interface::{
    Admission, Input, KindId, Listing, PeerId, Retry, Route, Semantics, Settings, ZoneId,
};
use fastrand::Rng;
use hosts::{Host, Job};
use proxies::{History, Proxy, Table};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Rule 1 is looked at so often, and a slice may lack a host for so long.
const LOOK: f64 = 0.25;
const UNSERVED_MOST: f64 = 5.0;
/// After the last arrival it goes on for so long at most: any call is over by then.
const AFTER: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Reach { call: u32, age: u32, serial: u16, host: u32 },
    Finish { host: u32, life: u32, job: Job },
    Reply { call: u32, age: u32, serial: u16, how: How },
    TimedOut { call: u32, age: u32, serial: u16 },
    AskAgain { call: u32, age: u32 },
    Apply { proxy: u16, director: u16, message: u32 },
    Direct { director: u16 },
    Deliver { batch: u32 },
    Report,
    Second,
    Look,
    TurnHot,
    Fault { which: u32, ends: bool },
    HostBack { host: u32 },
    RollOn { which: u32 },
    DirectorBack { director: u16 },
    Change { which: u32 },
}

/// How a try ended, as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum How {
    Answered,
    Throttled,
    /// No process was met: it never ran.
    Refused,
    Broken,
}

struct Planned {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Planned {}
impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Planned {
    /// The heap gives the greatest first: the earliest, and of equals the one planned first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// A call from its client's first try to its end.
#[derive(Clone, Copy, Debug, Default)]
struct Call {
    arrived: f64,
    work: f64,
    /// Numbers the calls that have had this place.
    age: u32,
    host: u32,
    slice: u16,
    proxy: u16,
    serial: u16,
    route: u8,
    /// Of the proxy for this ask, and asks of the client.
    tries: u8,
    asks: u8,
    /// Executions begun, and how many of them where a director had the proxy try again.
    ran: u8,
    ordered: bool,
    over: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tries: u32,
    answered: u32,
    dropped: u32,
    rt: f64,
}

pub struct World {
    pub scenario: Scenario,
    now: f64,
    order: u64,
    heap: BinaryHeap<Planned>,
    chance: Rng,
    hosts: Vec<Host>,
    proxies: Vec<Proxy>,
    calls: Vec<Call>,
    free: Vec<u32>,
    directors: Vec<Director>,
    store: Store,
    kind: Kind,
    seed: u64,
    /// What the wall clock shows when the play begins, milliseconds since 1970.
    began_ms: u64,
    /// How far behind the clock a play in real time has been at most, seconds.
    pub behind: f64,
    /// Each slice's table after each message of its director; who is shut out and what is let in, by director.
    tables: Vec<History<Table>>,
    outs: Vec<Vec<History<bool>>>,
    levels: Vec<Vec<History<(f64, u8)>>>,
    /// Batches of inputs on their way.
    batches: Vec<Option<(u16, u32, Vec<Input>)>>,
    free_batches: Vec<u32>,
    /// What collectors have summed since their last reports.
    sums: Vec<Sum>,
    /// Where proxies choose of two hosts: each one's own calls at each host.
    held: rustc_hash::FxHashMap<(u16, u32), u16>,
    demand: Vec<(u32, u32)>,
    list_version: u64,
    list_late: f64,
    /// Slices' cumulative parts of the calls, and who is hot now.
    parts: Vec<f64>,
    hot: Vec<u16>,
    route_parts: Vec<f64>,
    rate: f64,
    flood: f64,
    cost: Vec<f64>,
    cut: Vec<bool>,
    reports_lost: f64,
    reports_spoilt: f64,
    killed: Vec<Vec<u32>>,
    rolling: Vec<Vec<u32>>,
    lacking: Vec<Option<f64>>,
    asked_lately: Vec<f64>,
    truth: Truth,
    pub measured: Measured,
    pub rules: Rules,
}

fn cumulative(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut all: Vec<f64> = parts
        .map(|part| {
            sum += part;
            sum
        })
        .collect();
    all.iter_mut().for_each(|part| *part /= sum);
    all
}

/// What the wall clock shows when a play in simulated time begins: any time of this century.
const BEGAN_MS: u64 = 1_700_000_000_000;

fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// What a director is told at its start.
pub fn settings(s: &Scenario, director: u16) -> Settings {
    let f = &s.fleet;
    let route = |r: &crate::scenario::Route| Route {
        slo_time: r.slo,
        time_limit: r.limit,
        importance: r.importance,
        semantics: if r.repeatable { Semantics::Repeatable } else { Semantics::MustNotRepeat },
        mutating: !r.repeatable,
        own_zone_only: false,
    };
    Settings {
        me: PeerId(director.into()),
        directors: f.directors as u64,
        zone: Some(ZoneId(director % f.zones)),
        zones: (0..f.zones).map(|zone| format!("z{zone}")).collect(),
        kinds: vec!["k".into()],
        routes: s.load.routes.iter().map(route).collect(),
        list_is_pushed: true,
        ask_within: 0.0,
        listed_weights: false,
        may_probe: true,
        may_tell_peers: false,
        cold_from: f.cold_from,
        ramp_time: f.ramp_time,
        fall_multiple: f.fall_multiple,
        fall_time: f.fall_time,
        grace: f.grace,
        throttled_may_have_run: false,
        gone_is_advice: false,
        unserved_most: UNSERVED_MOST,
        slices: f.slices.into(),
        proxies: f.proxies.into(),
        exclusive: false,
        admission: Admission::Share,
        retry_default: Retry::IfNeverRan,
        ejects_after: f.ejects_after.into(),
        message_overhead: s.channel.overhead,
        lines_per_s: s.channel.lines_per_s,
        backlog_lines: s.channel.backlog,
        messages_most: 0,
        messages_span: 10.0,
        transit: s.channel.transit,
        transit_most: 2.0 * s.channel.transit,
        report_interval: s.reports.interval,
        in_flight_most: s.load.routes.iter().map(|route| route.limit).fold(0.0, f64::max),
        warm_keys: f.memory_saves > 0.0,
    }
}

impl World {
    pub fn new(scenario: &Scenario, kind: Kind, seed: u64) -> World {
        let s = scenario.clone();
        let f = &s.fleet;
        let mut chance = Rng::with_seed(seed ^ 0x5eed_1ab0);
        let speed = |chance: &mut Rng| 1.0 + f.speed_spread * (2.0 * chance.f64() - 1.0);
        let hosts: Vec<Host> = (0..f.hosts)
            .map(|n| Host::new((n % u32::from(f.zones)) as u16, speed(&mut chance), -1e6))
            .collect();
        let proxies = (0..f.proxies).map(|n| Proxy::new(n % f.zones, f.directors)).collect();
        let first = |slice: u16| Table::new(vec![(u32::from(slice) % f.hosts, 1.0)]);
        let order: Vec<f64> = (0..f.slices).map(|_| chance.f64()).collect();
        let mut ranks: Vec<usize> = (0..order.len()).collect();
        ranks.sort_by(|a, b| order[*a].total_cmp(&order[*b]));
        let mut place = vec![0; ranks.len()];
        ranks.iter().enumerate().for_each(|(rank, slice)| place[*slice] = rank);
        let parts = cumulative(place.iter().map(|rank| (1.0 + *rank as f64).powf(-s.load.skew)));
        let route_parts = cumulative(s.load.routes.iter().map(|route| route.share));
        let routes = s.load.routes.len();
        let mut world = World {
            now: 0.0,
            order: 0,
            heap: BinaryHeap::new(),
            proxies,
            calls: Vec::new(),
            free: Vec::new(),
            directors: Vec::new(),
            store: Store::default(),
            kind,
            seed,
            began_ms: if kind == Kind::Live { wall_ms() } else { BEGAN_MS },
            behind: 0.0,
            tables: (0..f.slices).map(|slice| History::new(first(slice))).collect(),
            outs: vec![vec![History::new(false); f.hosts as usize]; f.directors],
            levels: vec![vec![History::new((1.0, 1)); routes]; f.directors],
            batches: Vec::new(),
            free_batches: Vec::new(),
            held: Default::default(),
            sums: vec![Sum::default(); f.zones as usize * f.hosts as usize],
            demand: vec![(0, 0); f.slices as usize * routes],
            list_version: 1,
            list_late: s.list.late,
            parts,
            hot: Vec::new(),
            route_parts,
            rate: s.calls_per_s(),
            flood: 1.0,
            cost: vec![1.0; routes],
            cut: vec![false; f.zones as usize],
            reports_lost: 0.0,
            reports_spoilt: 0.0,
            killed: vec![vec![]; s.faults.len()],
            rolling: vec![vec![]; s.faults.len()],
            lacking: vec![None; f.slices as usize],
            asked_lately: vec![0.0; f.slices as usize],
            truth: Truth::default(),
            measured: Measured::new(s.seconds, routes),
            rules: Rules::default(),
            hosts,
            chance,
            scenario: s,
        };
        (0..world.scenario.fleet.directors).for_each(|d| world.start_director(d as u16, 0.0));
        for event in [Event::Arrive, Event::Second, Event::Look, Event::TurnHot] {
            world.plan(0.0, event);
        }
        world.plan(world.scenario.reports.interval, Event::Report);
        for (which, fault) in world.scenario.faults.clone().iter().enumerate() {
            let which = which as u32;
            world.plan(fault.at, Event::Fault { which, ends: false });
            world.plan(fault.at + fault.lasts, Event::Fault { which, ends: true });
        }
        for (which, change) in world.scenario.changes.clone().iter().enumerate() {
            world.plan(change.at, Event::Change { which: which as u32 });
        }
        world
    }

    fn policy(&self, director: u16) -> Policy {
        let lives = self.directors.get(director as usize).map_or(0, |director| director.life);
        let seed = self.seed.wrapping_mul(31).wrapping_add(u64::from(director) * 7 + u64::from(lives));
        let settings = settings(&self.scenario, director);
        Policy::new(self.kind, settings, seed, &self.scenario, self.began_ms)
    }

    fn listing(&self, host: u32) -> Listing {
        let h = &self.hosts[host as usize];
        let state = match h.state {
            hosts::State::Ready => coppersail::interface::HostState::Ready,
            hosts::State::Draining => coppersail::interface::HostState::Draining,
            hosts::State::Gone => coppersail::interface::HostState::Gone,
        };
        Listing {
            host: coppersail::interface::HostId(host),
            state,
            born: (h.born >= 0.0).then_some(h.born),
            weight: 1.0,
            zone: ZoneId(h.zone),
            cell: coppersail::interface::CellId(0),
            kind: KindId(0),
        }
    }

    fn plan(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.heap.push(Planned { at: at.max(self.now), order: self.order, event });
    }

    /// Whether two zones cannot reach each other.
    fn parted(&self, a: u16, b: u16) -> bool {
        a != b && (self.cut[a as usize] || self.cut[b as usize])
    }

    fn way(&mut self, a: u16, b: u16) -> f64 {
        let mean = if a == b { self.scenario.fleet.near } else { self.scenario.fleet.far };
        mean * (0.8 + 0.4 * self.chance.f64())
    }

    /// Plays it to its end.
    pub fn run(mut self) -> World {
        while self.step() {}
        self
    }

    /// Plays it in real time, with directors that are processes: what they order comes when it comes.
    pub fn run_live(mut self) -> World {
        /// Between looks at what has come: a tenth of the shortest way between hosts would be lost in the noise.
        const LOOK: std::time::Duration = std::time::Duration::from_micros(500);
        let began = std::time::Instant::now();
        while let Some(next) = self.heap.peek().map(|planned| planned.at) {
            let elapsed = began.elapsed().as_secs_f64();
            for d in 0..self.directors.len() as u16 {
                let orders = match &self.directors[d as usize].policy {
                    Policy::Live(started) => started.live.as_ref().map(|live| live.ordered()),
                    _ => None,
                };
                if let Some(orders) = orders.filter(|orders| !orders.is_empty()) {
                    self.now = self.now.max(elapsed);
                    self.ordered(d, orders);
                }
            }
            if elapsed < next {
                std::thread::sleep(LOOK.min(std::time::Duration::from_secs_f64(next - elapsed)));
                continue;
            }
            self.behind = self.behind.max(elapsed - next);
            if !self.step() {
                break;
            }
        }
        self
    }

    /// One event; false: it is over.
    pub fn step(&mut self) -> bool {
        let Some(Planned { at, event, .. }) = self.heap.pop() else { return false };
        // Over is a play when nobody waits for anything any more; and some time in any case.
        let waited_for = self.calls.len() > self.free.len();
        if at > self.scenario.seconds + AFTER || at > self.scenario.seconds && !waited_for {
            return false;
        }
        self.now = at;
        self.measured.events += 1;
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { call, age, serial, host } => self.reach(call, age, serial, host),
            Event::Finish { host, life, job } => self.finish(host, life, job),
            Event::Reply { call, age, serial, how } => self.reply(call, age, serial, how),
            Event::TimedOut { call, age, serial } => self.timed_out(call, age, serial),
            Event::AskAgain { call, age } => self.ask(call, age),
            Event::Apply { proxy, director, message } => self.apply(proxy, director, message),
            Event::Direct { director } => self.direct(director),
            Event::Deliver { batch } => self.deliver(batch),
            Event::Report => self.report(),
            Event::Second => self.second(),
            Event::Look => self.look(),
            Event::TurnHot => self.turn_hot(),
            Event::Fault { which, ends } => self.fault(which as usize, ends),
            Event::HostBack { host } => self.host_back(host),
            Event::RollOn { which } => self.roll_on(which as usize),
            Event::DirectorBack { director } => self.start_director(director, self.now),
            Event::Change { which } => self.change(which as usize),
        }
        true
    }

    /// What directors have said of operators' changes: when, who, what.
    pub fn told(&self) -> Vec<(f64, usize, String)> {
        let directors = self.directors.iter().enumerate();
        let told = directors.flat_map(|(d, director)| match &director.policy {
            Policy::Reduced(reduced) => {
                reduced.told.iter().map(|(at, text)| (*at, d, text.clone())).collect::<Vec<_>>()
            }
            _ => vec![],
        });
        let mut told: Vec<_> = told.collect();
        told.sort_by(|a, b| a.0.total_cmp(&b.0));
        told
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    fn second(&mut self) {
        if self.now > self.scenario.seconds {
            return;
        }
        let fleet = &self.scenario.fleet;
        let held = |host: &Host| (host.queue.len() + host.running as usize).min(u16::MAX as usize) as u16;
        let heat: Vec<u16> = self.hosts.iter().map(held).collect();
        let open =
            self.hosts.iter().filter(|host| host.answers() && host.state == hosts::State::Ready).count()
                as u32;
        let queue = u32::from(heat.iter().copied().max().unwrap_or(0));
        let second = self.measured.at(self.now);
        (second.queue, second.open_hosts) = (queue, open);
        self.measured.heat.push(heat);
        let now = self.now;
        self.truth.hosts = self
            .hosts
            .iter()
            .map(|host| crate::policy::TrueHost {
                answers: host.answers() && host.state == hosts::State::Ready,
                does: host.does(now, fleet),
                holds: host.queue.len() as f64 + f64::from(host.running),
            })
            .collect();
        let work: f64 = self.scenario.load.routes.iter().map(|route| route.work * route.share).sum::<f64>()
            / self.scenario.load.routes.iter().map(|route| route.share).sum::<f64>();
        self.truth.slices = self.asked_lately.iter().map(|calls| calls * work).collect();
        self.asked_lately.iter_mut().for_each(|calls| *calls *= 0.7);
        // All histories may forget what every proxy has passed.
        for director in 0..self.scenario.fleet.directors {
            let least = self.proxies.iter().map(|proxy| proxy.applied[director]).min().unwrap_or(0);
            let directors = self.scenario.fleet.directors;
            self.tables.iter_mut().skip(director).step_by(directors).for_each(|table| table.forget(least));
            self.outs[director].iter_mut().for_each(|out| out.forget(least));
            self.levels[director].iter_mut().for_each(|level| level.forget(least));
        }
        self.plan(self.now + 1.0, Event::Second);
    }

    /// Rule 1: each table as any proxy may hold it has a host that is not shut out, while one is open, warm and listed.
    fn look(&mut self) {
        if self.now > self.scenario.seconds {
            return;
        }
        self.plan(self.now + LOOK, Event::Look);
        let (now, fleet) = (self.now, &self.scenario.fleet);
        let warm =
            |host: &Host| host.answers() && host.state == hosts::State::Ready && host.ramp(now, fleet) >= 1.0;
        let any = self.hosts.iter().any(warm);
        let mut broken = Vec::new();
        for director in 0..self.scenario.fleet.directors {
            let mut applied: Vec<u32> = self.proxies.iter().map(|proxy| proxy.applied[director]).collect();
            applied.sort_unstable();
            applied.dedup();
            for slice in (director..self.tables.len()).step_by(self.scenario.fleet.directors) {
                let lacks = |message: &u32| {
                    let table = self.tables[slice].at(*message);
                    table.iter().all(|(host, weight)| {
                        *weight <= 0.0 || *self.outs[director][*host as usize].at(*message)
                    })
                };
                let lacks = any && applied.iter().any(lacks);
                let since = &mut self.lacking[slice];
                *since = lacks.then(|| since.unwrap_or(now));
                if since.is_some_and(|since| now - since > UNSERVED_MOST) {
                    *since = Some(now);
                    broken.push(slice);
                }
            }
        }
        for slice in broken {
            self.rules.broke(Rule::NoHost, now, || format!("slice {slice}"));
        }
    }

    fn turn_hot(&mut self) {
        let load = &self.scenario.load;
        let slices = self.scenario.fleet.slices;
        self.hot = (0..load.hot_slices).map(|_| self.chance.u16(0..slices)).collect();
        let at = self.now + load.hot_time.max(0.1) * (0.7 + 0.6 * self.chance.f64());
        if at < self.scenario.seconds {
            self.plan(at, Event::TurnHot);
        }
    }
}

#[cfg(test)]
mod tests;
