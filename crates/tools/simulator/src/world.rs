//! The engine: true time, machines, links. What callers do is in `host`, `edge` and `operator`.
mod faults;
mod judge;

use crate::callers::{Act, PATIENCE};
use crate::checks::{apart, rule, Broken, Fences, Held, Ledger};
use crate::edge::Edge;
use crate::host::Host;
use crate::machine::{Machine, Power, Process};
use crate::operator::Operator;
use crate::script::{Day, Moment, Seeds, Way, What, Who};
use crate::{Ms, Tally, Us, CONFIRM, LEEWAY, LISTED, SETTLE, SYNC};
use coppersail_consensus::OperationId;
use coppersail_control_plane::node::{Effect, Event, Node, PeerRequest, PeerResponse, Startup};
use coppersail_control_plane::store::FolderCondition;
use fastrand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

const MS: Us = 1000;
/// How often every node is asked for the configuration by a reader at its side.
const PROBE: Us = 50 * MS;
/// How often what only time breaks is looked for.
const SCAN: Us = 100 * MS;
const TICK: Us = 50 * MS;
/// How long after the end of all trouble the newest configuration must be read through every centre.
const HEAL: Us = 15_000 * MS;
/// What a cut held up goes on after it, or is given up.
const HELD_UP: Us = 15_000 * MS;
/// How long a fault waits for its moment.
const TRAP: Us = 3000 * MS;
const MOST_MACHINES: usize = 56;
const CLIENTS: u64 = 1 << 62;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Machine(usize),
    Host(usize),
    Edge(usize),
    Operator(usize),
    /// A reader on the machine itself.
    Probe(usize),
    /// Who reads back at the end, through that machine first.
    Last(usize),
}

/// Who waits for an answer: `call` is the caller's own number for it.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    pub end: End,
    pub life: u32,
    pub call: u64,
}

pub enum Ask {
    Peer(PeerRequest),
    Admin(Act),
}

pub enum Say {
    Text(u16, String),
    Peer(PeerResponse),
    /// The connection was refused or reset.
    Reset,
}

pub enum Ev {
    Tick(usize, u32),
    Arrive {
        m: usize,
        origin: Origin,
        ask: Ask,
    },
    Back {
        origin: Origin,
        say: Say,
    },
    /// A call of a machine has had its time.
    Limit {
        origin: Origin,
    },
    Disk {
        m: usize,
        ends: u32,
        token: OperationId,
    },
    Told {
        m: usize,
        life: u32,
        token: OperationId,
        ok: bool,
    },
    Start {
        m: usize,
        ends: u32,
    },
    Thaw {
        m: usize,
        life: u32,
    },
    Term {
        m: usize,
        life: u32,
    },
    Hup {
        m: usize,
        life: u32,
    },
    KillNow {
        m: usize,
        life: u32,
    },
    Newcomer {
        place: usize,
        seeds: Seeds,
        lot: u64,
        reuse: bool,
    },
    Fault(usize),
    CutEnds(u32),
    TrapEnds {
        m: usize,
        life: u32,
    },
    Touch(usize),
    Host {
        n: usize,
        no: u32,
    },
    HostLimit {
        n: usize,
        call: u64,
    },
    HostDone {
        n: usize,
        life: u32,
        id: usize,
    },
    Edge {
        n: usize,
        no: u32,
    },
    EdgeLimit {
        n: usize,
        call: u64,
    },
    Operator(usize),
    Reader(usize),
    Run {
        id: u64,
    },
    RunLimit {
        id: u64,
        call: u64,
    },
    Last(usize),
    Probe,
    Scan,
    Heal,
}

struct Cut {
    id: u32,
    from: u64,
    to: u64,
}

pub struct Waits {
    pub at: Us,
    pub no: u64,
    pub ev: Ev,
}

impl PartialEq for Waits {
    fn eq(&self, other: &Waits) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}
impl Eq for Waits {}
impl PartialOrd for Waits {
    fn partial_cmp(&self, other: &Waits) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Waits {
    fn cmp(&self, other: &Waits) -> std::cmp::Ordering {
        (self.at, self.no).cmp(&(other.at, other.no))
    }
}

pub struct World<'a> {
    pub(crate) day: &'a Day,
    pub(crate) now: Us,
    queue: BinaryHeap<Reverse<Waits>>,
    count: u64,
    pub(crate) machines: Vec<Machine>,
    pub(crate) places: Vec<usize>,
    addresses: BTreeMap<String, usize>,
    cuts: Vec<Cut>,
    /// Whom each cut cuts off.
    cut_sides: Vec<(u32, Vec<usize>)>,
    held_up: Vec<(Us, u64, u64, Ev)>,
    ends: u32,
    /// Delay between zones; the last is where hosts, edges and operators without one are.
    delays: Vec<Vec<Us>>,
    pub(crate) net: Rng,
    disks: Rng,
    pub(crate) luck: Rng,
    pub(crate) ledger: Ledger,
    pub(crate) fences: Fences,
    pub(crate) hosts: Vec<Host>,
    pub(crate) edges: Vec<Edge>,
    pub(crate) operators: Vec<Operator>,
    /// Hosts that were acknowledged as emptying: ident, and when.
    pub(crate) emptied: Vec<(String, Us)>,
    pub(crate) tally: Tally,
    pub(crate) broken: Option<Broken>,
    story: Option<Vec<String>>,
    callers: u64,
    /// When trouble of the core last began or ended; and trouble of all of it.
    touched: Us,
    all_touched: Us,
    pub(crate) calm_from: Option<Us>,
    primary: Option<usize>,
    backup: Option<usize>,
    answered: Us,
    /// Who has answered in this round of probes.
    acted: Vec<usize>,
    probing: bool,
    troubles: VecDeque<(Us, &'static str)>,
    closing: Option<What>,
    /// From when on the next acknowledgement brings the closing fault; an order is sent for it.
    closing_from: Us,
    closing_sent: bool,
    last_from: Us,
    last: Vec<(usize, bool)>,
    last_due: Us,
    over: bool,
}

/// How a day went.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub broken: Option<Broken>,
    pub tally: Tally,
    /// One line for each thing that happened, if it was asked for.
    pub story: Vec<String>,
}

/// Plays a day to its end, or to the first rule that breaks.
pub fn play(day: &Day, story: bool) -> Outcome {
    let mut world = World::new(day, story);
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.run()));
    if played.is_err() && world.broken.is_none() {
        world.broken =
            Some(Broken { rule: rule::PANIC, at: world.now, what: "see the panic's message".into() });
    }
    world.outcome()
}

impl<'a> World<'a> {
    fn new(day: &'a Day, story: bool) -> World<'a> {
        let seed = |n: u64| Rng::with_seed(day.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ n);
        let mut net = seed(1);
        let zones = day.zones + 1;
        let delay = |a: usize, b: usize, net: &mut Rng| if a == b { 150 } else { net.u64(300..2500) };
        let delays = (0..zones).map(|a| (0..zones).map(|b| delay(a, b, &mut net)).collect()).collect();
        let mut world = World {
            day,
            now: 0,
            queue: BinaryHeap::new(),
            count: 0,
            machines: Vec::new(),
            places: Vec::new(),
            addresses: BTreeMap::new(),
            cuts: Vec::new(),
            cut_sides: Vec::new(),
            held_up: Vec::new(),
            ends: 0,
            delays,
            net,
            disks: seed(2),
            luck: seed(3),
            ledger: Ledger::default(),
            fences: Fences::default(),
            hosts: Vec::new(),
            edges: Vec::new(),
            operators: Vec::new(),
            emptied: Vec::new(),
            tally: Tally { days: 1, ..Tally::default() },
            broken: None,
            story: story.then(Vec::new),
            callers: 0,
            touched: 0,
            all_touched: 0,
            calm_from: None,
            primary: None,
            backup: None,
            answered: 0,
            acted: Vec::new(),
            probing: false,
            troubles: VecDeque::new(),
            closing: day.closing.clone(),
            closing_from: Us::MAX,
            closing_sent: false,
            last_from: 0,
            last: Vec::new(),
            last_due: Us::MAX,
            over: false,
        };
        for place in 0..day.machines {
            let (zone, ip) = (place % day.zones, format!("10.{}.0.{}", place % day.zones + 1, place + 1));
            world.add(Machine::new(ip, zone, place));
        }
        let seeds: Vec<String> = world.machines.iter().take(3).map(Machine::admin).collect();
        for m in 0..day.machines {
            let machine = &mut world.machines[m];
            (machine.seeds, machine.first) = (seeds.clone(), true);
            let at = world.luck.u64(0..300) * MS;
            world.at(at, Ev::Start { m, ends: 0 });
        }
        for (n, fault) in day.faults.iter().enumerate() {
            world.at(fault.at * MS, Ev::Fault(n));
        }
        world.start_callers();
        world.at(PROBE, Ev::Probe);
        world.at(SCAN, Ev::Scan);
        world.at(day.length * MS, Ev::Heal);
        world
    }

    fn add(&mut self, machine: Machine) -> usize {
        let (m, place) = (self.machines.len(), machine.place);
        self.addresses.insert(machine.ip.clone(), m);
        self.machines.push(machine);
        match place {
            Some(place) if place < self.places.len() => self.places[place] = m,
            _ => self.places.push(m),
        }
        m
    }

    fn run(&mut self) {
        while let Some(Reverse(next)) = self.queue.pop() {
            self.now = next.at;
            self.happen(next.ev);
            if self.broken.is_some() || self.over {
                break;
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        self.tally.ms = self.now / MS;
        if let Some(broken) = &self.broken {
            let text = format!("BROKEN: {}: {}", broken.rule, broken.what);
            self.say("", || text);
        }
        if let Some(broken) = &self.broken {
            self.tally.broken.insert(broken.rule, (1, vec![self.day.seed]));
        }
        Outcome { broken: self.broken, tally: self.tally, story: self.story.unwrap_or_default() }
    }

    pub(crate) fn at(&mut self, at: Us, ev: Ev) {
        self.count += 1;
        self.queue.push(Reverse(Waits { at: at.max(self.now), no: self.count, ev }));
    }

    pub(crate) fn after(&mut self, span: Us, ev: Ev) {
        self.at(self.now + span, ev);
    }

    /// A line of the story.
    pub(crate) fn say(&mut self, who: &str, text: impl FnOnce() -> String) {
        if let Some(story) = &mut self.story {
            story.push(format!("{:>9.3} s  {who:<12} {}", self.now as f64 / 1e6, text()));
        }
    }

    pub(crate) fn check<T>(&mut self, held: Held<T>) -> Option<T> {
        match held {
            Ok(value) => Some(value),
            Err((rule, what)) => {
                let at = self.now;
                self.broken.get_or_insert(Broken { rule, at, what });
                None
            }
        }
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.callers += 1;
        self.callers
    }

    // ---- links ----

    pub(crate) fn machine_at(&self, address: &str) -> Option<usize> {
        let ip = address.split(':').next().unwrap_or(address);
        self.addresses.get(ip).copied()
    }

    fn spot(&self, end: End) -> (u64, usize) {
        match end {
            End::Machine(m) | End::Probe(m) => (1 << m, self.machines[m].zone),
            End::Host(n) => (CLIENTS, self.hosts[n].zone),
            End::Edge(n) => (CLIENTS, self.edges[n].zone),
            End::Operator(_) | End::Last(_) => (CLIENTS, self.day.zones),
        }
    }

    fn blocked(&self, from: u64, to: u64) -> bool {
        self.cuts.iter().any(|c| c.from & from != 0 && c.to & to != 0)
    }

    fn edge_cut(&self, end: End) -> bool {
        matches!(end, End::Edge(n) if self.now < self.edges[n].cut_until)
    }

    /// Whether a connection can come up now.
    pub(crate) fn reaches(&self, from: End, m: usize) -> bool {
        let (a, b) = (self.spot(from).0, 1 << m);
        !self.blocked(a, b)
            && !self.blocked(b, a)
            && !self.edge_cut(from)
            && self.machines[m].power == Power::On
    }

    fn extra(&mut self, end: End) -> Us {
        match end {
            End::Machine(m) if self.now < self.machines[m].slow.0 => {
                let most = self.machines[m].slow.1;
                self.net.u64(most / 3..=most)
            }
            _ => 0,
        }
    }

    fn noisy(&self, end: End) -> bool {
        matches!(end, End::Machine(m) if self.now < self.machines[m].noisy_until)
    }

    fn carry(&mut self, from: End, to: End, ev: Ev) {
        let ((a, za), (b, zb)) = (self.spot(from), self.spot(to));
        if self.blocked(a, b) || self.edge_cut(from) || self.edge_cut(to) {
            if self.net.bool() {
                self.held_up.push((self.now, a, b, ev));
            }
            return;
        }
        let mut delay = self.delays[za][zb] + self.net.u64(0..600);
        if self.net.u8(0..100) == 0 {
            delay += self.net.u64(0..40 * MS);
        }
        delay += self.extra(from) + self.extra(to);
        self.after(delay, ev);
    }

    /// Sends a call; `origin` hears what comes of it, or nothing.
    pub(crate) fn post(&mut self, m: usize, origin: Origin, ask: Ask) {
        let (from, to) = (origin.end, End::Machine(m));
        let ((a, _), (b, _)) = (self.spot(from), self.spot(to));
        if self.blocked(a, b) || self.edge_cut(from) {
            return self.carry(from, to, Ev::Arrive { m, origin, ask });
        }
        if self.noisy(from) || self.noisy(to) {
            match self.net.u8(0..20) {
                0 | 1 => {
                    // The caller hears of a reset at once; the call was lost, is there, or comes later.
                    self.after(500, Ev::Back { origin, say: Say::Reset });
                    match self.net.u8(0..3) {
                        0 => return,
                        1 => {}
                        _ => {
                            let late = self.net.u64(0..3000 * MS);
                            return self.after(late, Ev::Arrive { m, origin, ask });
                        }
                    }
                }
                2 => {
                    let late = self.net.u64(0..3000 * MS);
                    return self.after(late, Ev::Arrive { m, origin, ask });
                }
                3 | 4 => self.twice(m, origin, &ask, 2000 * MS),
                _ => {}
            }
        } else if self.net.u16(0..400) == 0 {
            let late = if self.net.u8(0..4) == 0 { 3000 } else { 50 };
            self.twice(m, origin, &ask, late * MS);
        }
        self.carry(from, to, Ev::Arrive { m, origin, ask });
    }

    fn twice(&mut self, m: usize, origin: Origin, ask: &Ask, late: Us) {
        let ask = match ask {
            Ask::Admin(act) => Ask::Admin(act.clone()),
            Ask::Peer(PeerRequest::Watch(f)) => Ask::Peer(PeerRequest::Watch(f.clone())),
            Ask::Peer(PeerRequest::Consensus(c)) => Ask::Peer(PeerRequest::Consensus(c.clone())),
        };
        let late = self.net.u64(0..late);
        self.after(late, Ev::Arrive { m, origin, ask });
    }

    fn answer(&mut self, m: usize, origin: Origin, say: Say) {
        let from = End::Machine(m);
        let operator = matches!(origin.end, End::Operator(_)) && self.net.u8(0..30) == 0;
        let noise = (self.noisy(from) || self.noisy(origin.end)) && self.net.u8(0..10) == 0;
        if operator || noise {
            return;
        }
        self.carry(from, origin.end, Ev::Back { origin, say });
    }

    // ---- what happens ----

    fn happen(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(m, life) => {
                let Some(p) = self.process(m, life) else { return };
                if !p.frozen {
                    self.step(m, Event::Tick);
                }
                let next = TICK + self.net.u64(0..2 * MS);
                self.after(next, Ev::Tick(m, life));
            }
            Ev::Arrive { m, origin, ask } => self.arrive(m, origin, ask),
            Ev::Back { origin, say } => self.back(origin, say),
            Ev::Limit { origin } => {
                let End::Machine(m) = origin.end else { return };
                let Some(p) = self.process(m, origin.life) else { return };
                if p.frozen {
                    p.inbox.push(Ev::Limit { origin });
                } else if p.calls.remove(&origin.call) {
                    self.step(m, Event::PeerResponded { operation_id: origin.call, response: None });
                }
            }
            Ev::Disk { m, ends, token } => {
                let machine = &mut self.machines[m];
                if machine.ends != ends {
                    return;
                }
                let Some((_, batch, takes)) = machine.disk.under_way.pop_front() else { return };
                if takes {
                    machine.disk.put(batch);
                }
                let life = machine.lives;
                self.happen(Ev::Told { m, life, token, ok: takes });
            }
            Ev::Told { m, life, token, ok } => {
                let Some(p) = self.process(m, life) else { return };
                if p.frozen {
                    p.inbox.push(Ev::Told { m, life, token, ok });
                } else if p.writes.remove(&token) {
                    self.step(m, Event::WriteFinished { operation_id: token, ok });
                }
            }
            Ev::Start { m, ends } => self.start(m, ends),
            Ev::Thaw { m, life } => self.thaw(m, life),
            Ev::Term { m, life } => {
                let Some(p) = self.process(m, life) else { return };
                if p.frozen {
                    p.inbox.push(Ev::Term { m, life });
                } else {
                    self.step(m, Event::Shutdown);
                }
            }
            Ev::Hup { m, life } => {
                let (contact, survive) = (self.day.contact, self.day.survive);
                let boot = self.machines[m].boot(contact, survive);
                let Some(p) = self.process(m, life) else { return };
                if p.frozen {
                    p.inbox.push(Ev::Hup { m, life });
                } else {
                    self.step(m, Event::SettingsChanged(Box::new(boot)));
                }
            }
            Ev::KillNow { m, life } => {
                if self.process(m, life).is_some() {
                    let ip = self.machines[m].ip.clone();
                    self.say(&ip, || "is killed, as `leeway` is over".into());
                    self.end(m, true);
                }
            }
            Ev::Newcomer { place, seeds, lot, reuse } => self.newcomer(place, &seeds, lot, reuse),
            Ev::Fault(n) => self.fault(n),
            Ev::CutEnds(id) => self.heal_cut(id),
            Ev::TrapEnds { m, life } => {
                if let Some(p) = self.process(m, life) {
                    p.trap = None;
                    if !p.frozen {
                        self.touch(m, true);
                    }
                }
            }
            Ev::Touch(m) => self.touch(m, true),
            Ev::Host { n, no } => self.host_wakes(n, no),
            Ev::HostLimit { n, call } => self.host_hears(n, call, None),
            Ev::HostDone { n, life, id } => self.host_done(n, life, id),
            Ev::Edge { n, no } => self.edge_polls(n, no),
            Ev::EdgeLimit { n, call } => self.edge_hears(n, call, None),
            Ev::Operator(n) => self.operator_wakes(n),
            Ev::Reader(n) => self.reader_wakes(n),
            Ev::Run { id } => self.run_goes(id),
            Ev::RunLimit { id, call } => self.run_silent(id, call),
            Ev::Last(m) => self.last_reads(m),
            Ev::Probe => {
                self.acted.clear();
                self.probing = true;
                for m in 0..self.machines.len() {
                    if self.machines[m].runs() {
                        let floor = self.ledger.floor();
                        let origin = Origin { end: End::Probe(m), life: self.machines[m].lives, call: floor };
                        self.arrive(m, origin, Ask::Admin(Act::Read));
                    }
                }
                self.probing = false;
                if let [one, other, ..] = self.acted[..] {
                    let ip = |m: usize| &self.machines[m].ip;
                    let held: Held = Err((rule::TWO, format!("{} and {}", ip(one), ip(other))));
                    self.check(held);
                }
                let next = PROBE / 2 + self.net.u64(0..PROBE);
                self.after(next, Ev::Probe);
            }
            Ev::Scan => {
                self.scan();
                self.after(SCAN, Ev::Scan);
            }
            Ev::Heal => self.heal(),
        }
    }

    fn process(&mut self, m: usize, life: u32) -> Option<&mut Process> {
        self.machines[m].process.as_mut().filter(|p| p.life == life)
    }

    fn arrive(&mut self, m: usize, origin: Origin, ask: Ask) {
        if self.machines[m].power != Power::On {
            return;
        }
        let caller = self.number();
        let Some(p) = &mut self.machines[m].process else {
            return self.carry(End::Machine(m), origin.end, Ev::Back { origin, say: Say::Reset });
        };
        if p.frozen {
            return p.inbox.push(Ev::Arrive { m, origin, ask });
        }
        p.callers.insert(caller, origin);
        self.step(
            m,
            match ask {
                Ask::Peer(call) => Event::Peer { request_id: caller, request: call },
                Ask::Admin(act) => Event::Admin { request_id: caller, request: act.call() },
            },
        );
    }

    fn back(&mut self, origin: Origin, say: Say) {
        match origin.end {
            End::Machine(m) => {
                let Some(p) = self.process(m, origin.life) else { return };
                if p.frozen {
                    return p.inbox.push(Ev::Back { origin, say });
                }
                if p.calls.remove(&origin.call) {
                    let say = match say {
                        Say::Peer(say) => Some(say),
                        _ => None,
                    };
                    self.step(m, Event::PeerResponded { operation_id: origin.call, response: say });
                }
            }
            End::Host(n) => self.host_hears(n, origin.call, Some(say)),
            End::Edge(n) => self.edge_hears(n, origin.call, Some(say)),
            End::Operator(_) => self.run_hears(origin.call, say),
            End::Last(m) => self.last_hears(m, origin.call, say),
            End::Probe(_) => {}
        }
    }

    pub(crate) fn step(&mut self, m: usize, event: Event) {
        let now = self.now;
        let Some(p) = &mut self.machines[m].process else { return };
        let mut out = Vec::new();
        p.node.step(p.now(now), event, &mut out);
        self.tally.steps += 1;
        self.effects(m, out);
    }

    fn effects(&mut self, m: usize, out: Vec<Effect>) {
        let contact = self.day.contact * MS;
        let cut_off = self.machines[m].alone_since.is_some_and(|since| self.now > since + contact);
        let Some(p) = &mut self.machines[m].process else { return };
        let mut held = Ok(());
        for effect in &out {
            let Effect::RespondToAdmin { request_id: caller, status: 200..=299, body } = effect else {
                continue;
            };
            let Some(origin) = p.callers.get(caller).copied() else { continue };
            if cut_off {
                let to = origin.end;
                held = Err((rule::CUT, format!("{} answers {to:?} with 2xx", self.machines[m].ip)));
                break;
            }
            if let End::Host(n) = origin.end {
                let host = &self.hosts[n];
                if let (true, Ok(reply)) =
                    (host.split, coppersail_stub_backend::HeartbeatResponse::parse(body.as_bytes()))
                {
                    let rows: Vec<_> = reply.leases.into_iter().flatten().map(Into::into).collect();
                    // The caller is who sent the beat only as long as it is the same life.
                    if host.life == origin.life {
                        held = self.fences.granted(crate::host::SPLIT, &host.ident, &rows);
                    }
                }
            }
            if held.is_err() {
                break;
            }
        }
        self.check(held);
        let Some(p) = &mut self.machines[m].process else { return };
        let springs = p.trap.as_ref().is_some_and(|(when, ..)| {
            let (mut answer, mut call, mut reply, mut write) = (false, false, false, false);
            for effect in &out {
                answer |= matches!(effect, Effect::RespondToAdmin { status: 200, .. });
                call |= matches!(effect, Effect::SendToPeer { request: PeerRequest::Consensus(_), .. });
                reply |= matches!(effect, Effect::RespondToPeer { response: PeerResponse::Consensus(_), .. });
                write |= matches!(effect, Effect::Persist { .. });
            }
            match when {
                Moment::Now => false,
                Moment::Answer | Moment::Answered => answer,
                Moment::Call => call,
                Moment::Reply => reply,
                Moment::Write => write,
            }
        });
        if let Some((when, what, lot)) = p.trap.take_if(|_| springs) {
            if when != Moment::Answer {
                self.emit(m, out);
            } else if let (What::Freeze { .. }, Some(p)) = (&what, &mut self.machines[m].process) {
                p.ready = out;
            }
            let ip = self.machines[m].ip.clone();
            self.say(&ip, || format!("at {when:?}: {what:?}"));
            if self.machines[m].process.is_some() {
                self.troubles.push_back((self.now, what.name()));
                self.begin(m, vec![m], &what, lot);
            }
            return;
        }
        self.emit(m, out);
    }

    fn emit(&mut self, m: usize, out: Vec<Effect>) {
        for effect in out {
            let now = self.now;
            let Some(p) = &mut self.machines[m].process else { return };
            let life = p.life;
            match effect {
                Effect::RespondToAdmin { request_id: caller, status, body } => {
                    match p.callers.remove(&caller) {
                        Some(Origin { end: End::Probe(_), call, .. }) => self.probed(m, call, status, &body),
                        Some(origin) => self.answer(m, origin, Say::Text(status, body)),
                        None => self.twice_answered(m, caller),
                    }
                }
                Effect::RespondToPeer { request_id: caller, response: say } => {
                    match p.callers.remove(&caller) {
                        Some(origin) => {
                            if let (
                                PeerResponse::Consensus(coppersail_consensus::Response::ReplicaWrite(say)),
                                End::Machine(from),
                            ) = (&say, origin.end)
                            {
                                if say.accepted && Some(from) == self.primary {
                                    self.backup = Some(m);
                                }
                            }
                            self.answer(m, origin, Say::Peer(say));
                        }
                        None => self.twice_answered(m, caller),
                    }
                }
                Effect::SendToPeer { operation_id: token, peer: to, request: call, timeout: wait } => {
                    if !p.calls.insert(token) {
                        let held: Held = Err((rule::NODE, format!("token {token} is used twice")));
                        self.check(held);
                        return;
                    }
                    let origin = Origin { end: End::Machine(m), life, call: token };
                    let limit = p.span(wait);
                    self.after(limit, Ev::Limit { origin });
                    if let Some(other) = self.machine_at(&to) {
                        self.post(other, origin, Ask::Peer(call));
                    }
                }
                Effect::Persist { operation_id: token, write } => {
                    if !p.writes.insert(token) {
                        let held: Held = Err((rule::NODE, format!("token {token} is used twice")));
                        self.check(held);
                        return;
                    }
                    let (machine, luck) = (&mut self.machines[m], &mut self.disks);
                    let (done, takes) = machine.disk.ask(now, luck);
                    machine.disk.under_way.push_back((token, write, takes));
                    let ends = machine.ends;
                    self.at(done, Ev::Disk { m, ends, token });
                }
                Effect::Log(text) => {
                    if self.story.is_some() {
                        let ip = self.machines[m].ip.clone();
                        self.say(&ip, || format!("notes: {text}"));
                    }
                }
                Effect::Exit => {
                    if p.leaving {
                        let ip = self.machines[m].ip.clone();
                        self.say(&ip, || "ends by itself".into());
                        return self.end(m, true);
                    }
                }
            }
        }
    }

    fn twice_answered(&mut self, m: usize, caller: u64) {
        let ip = self.machines[m].ip.clone();
        let held: Held = Err((rule::NODE, format!("{ip} answers caller {caller}, who does not wait")));
        self.check(held);
    }

    /// A reader at the machine's side has its answer.
    fn probed(&mut self, m: usize, floor: u64, status: u16, body: &str) {
        let held = self.ledger.read(floor, self.now, status, body);
        if held.is_err() && self.story.is_some() {
            let ip = self.machines[m].ip.clone();
            self.say(&ip, || format!("answers a read at its side with {status}"));
        }
        self.check(held);
        self.tally.reads += 1;
        if status != 200 {
            return;
        }
        if self.probing {
            self.acted.push(m);
        }
        let gap = (self.now - self.answered) / MS;
        // On wild days enough are lost for any gap.
        if gap > 3 * PROBE / MS && self.answered > 0 && !self.day.wild && !self.day.forced {
            let since = self.answered.saturating_sub(1500 * MS);
            let cause = self.troubles.iter().find(|(at, _)| *at >= since).map_or("none", |(_, name)| *name);
            self.tally.gaps.entry(cause).or_default().push(gap);
        }
        self.troubles.retain(|(at, _)| *at + 1500 * MS >= self.now);
        if self.primary != Some(m) {
            let ip = self.machines[m].ip.clone();
            self.say(&ip, || format!("is primary now, {gap} ms after the last answer of one"));
        }
        (self.primary, self.answered) = (Some(m), self.now);
    }

    // ---- processes ----

    fn start(&mut self, m: usize, ends: u32) {
        let (contact, survive) = (self.day.contact, self.day.survive);
        let machine = &mut self.machines[m];
        if machine.ends != ends || machine.process.is_some() || machine.power == Power::Gone {
            return;
        }
        machine.power = Power::On;
        machine.lives += 1;
        let boot = machine.boot(contact, survive);
        machine.first &= self.day.seed.is_multiple_of(4);
        let life = machine.lives;
        let begin = Startup {
            settings: boot,
            recovered: machine.disk.found(),
            new_incarnation: self.luck.u64(1..1 << 53),
        };
        let pace = 0.98 + 0.02 * self.luck.f64();
        let (node, out) = Node::start(1, begin);
        self.machines[m].process = Some(Process {
            node,
            life,
            start: self.now,
            pace,
            frozen: false,
            inbox: Vec::new(),
            ready: Vec::new(),
            trap: None,
            calls: Default::default(),
            writes: Default::default(),
            callers: Default::default(),
            leaving: false,
        });
        let ip = self.machines[m].ip.clone();
        self.say(&ip, || format!("starts, life {life}"));
        self.touch(m, true);
        self.emit(m, out);
        self.after(TICK, Ev::Tick(m, life));
    }

    /// The process is gone. `resets`: the machine is still there to say so.
    fn end(&mut self, m: usize, resets: bool) {
        let machine = &mut self.machines[m];
        machine.ends += 1;
        let ends = machine.ends;
        let Some(p) = machine.process.take() else { return };
        machine.disk.stop(&mut self.disks);
        if resets {
            let waiting = p.inbox.into_iter().filter_map(|ev| match ev {
                Ev::Arrive { origin, .. } => Some(origin),
                _ => None,
            });
            let all: Vec<Origin> = p.callers.into_values().chain(waiting).collect();
            for origin in all {
                self.carry(End::Machine(m), origin.end, Ev::Back { origin, say: Say::Reset });
            }
        }
        if p.leaving {
            let machine = &mut self.machines[m];
            if machine.goes {
                machine.power = Power::Gone;
                machine.unlisted = Some(self.now);
            } else {
                let down = machine.down_after;
                self.after(down, Ev::Start { m, ends });
            }
        }
        self.touch(m, false);
    }

    fn thaw(&mut self, m: usize, life: u32) {
        let now = self.now;
        let Some(p) = self.process(m, life).filter(|p| p.frozen) else { return };
        p.frozen = false;
        let (ready, inbox) = (std::mem::take(&mut p.ready), std::mem::take(&mut p.inbox));
        let ip = self.machines[m].ip.clone();
        self.say(&ip, || "goes on".into());
        self.touch(m, true);
        self.emit(m, ready);
        // What came meanwhile is taken up in any order, but for the disk's, which keep theirs.
        let mut disk = now;
        for ev in inbox {
            let at = match &ev {
                Ev::Told { .. } => {
                    disk += self.luck.u64(1..500);
                    disk
                }
                _ => now + self.luck.u64(1..3 * MS),
            };
            self.at(at, ev);
        }
    }

    /// Trouble on a machine begins, or ends (`back`).
    pub(crate) fn touch(&mut self, m: usize, back: bool) {
        let machine = &mut self.machines[m];
        machine.touched = self.now;
        if back {
            machine.back = self.now;
        }
        self.touched = self.now;
    }
}

pub(crate) fn local(now: Us, start: Us, pace: f64) -> Duration {
    Duration::from_micros(((now.saturating_sub(start)) as f64 * pace) as u64)
}

/// The rows of a host and of any other must be apart.
pub(crate) fn one_holder(hosts: &[Host], n: usize, now: Us) -> Held {
    let held = |h: &Host| h.keys.clone().report(local(now, h.start, h.pace)).leases;
    let rows = |h: &Host| held(h).into_iter().map(Into::into).collect::<Vec<_>>();
    let mine = rows(&hosts[n]);
    for other in hosts.iter().enumerate().filter(|(o, h)| *o != n && h.up && h.split).map(|(_, h)| h) {
        if let Some(key) = apart(&mine, &rows(other)) {
            return Err((
                rule::HOLDER,
                format!("key {key} is held by {} and by {}", hosts[n].ident, other.ident),
            ));
        }
    }
    Ok(())
}
