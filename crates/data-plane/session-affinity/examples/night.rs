//! Busy nights in simulated time: clients that move between sites while sites are killed, zones cut off, answers lost
//! and connections reset. The ledger of the stand-in host is the judge.
//!
//! `cargo run --release -p coppersail-session-affinity --example night -- docs/sessions.md` plays them all and writes its tables there.
use coppersail_session_affinity::{
    AffinityNode, AffinitySettings, Decision, IdempotentRequest, Message, NodeId, Outcome, Output, PeerSets,
    RecordedResponse, SessionId,
};
use plotters::prelude::*;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;

type Us = u64;
const MS: Us = 1_000;
const SECOND: Us = 1_000 * MS;
/// The time of day at which nights begin.
const EVENING: u64 = 1_700_000_000_000;
const SITES: u16 = 8;
const ZONES: u16 = 4;
const CLIENTS: usize = 150;
const NIGHT: Us = 30 * SECOND;
/// Heads of a call and its answer between sites; bodies are counted as they are.
const HEAD: usize = 130;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Travelling,
    /// The same, at a gateway that takes an unknown outcome for one that did not run: the ledger has to see it.
    Careless,
    /// The site where the session began serves it; others pass its requests on.
    Pinned,
    /// Every site has every session, and is told before a confirmation goes out.
    Everywhere,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Lookup,
    Confirm,
}

#[derive(Debug, Clone)]
enum Event {
    Begin(usize),
    /// A request arrives at a site.
    Arrive(usize, u64, NodeId),
    Mail(NodeId, NodeId, Wire),
    HostEnds(NodeId, u32, u64, Outcome, bool),
    Answered(usize, u64, Got),
    Patience(usize, u64),
    Tick(NodeId),
    Kill(NodeId),
    Start(NodeId),
    Cut(u16),
    Join,
}

#[derive(Debug, Clone)]
enum Wire {
    Ours(Message),
    /// Of the ways that ours is compared with: a request passed on, its answer, a copy and its receipt.
    PassOn(u64),
    Back(u64, Got),
    Copy(u64, SessionId, String, Option<bool>),
    Copied(u64),
}

#[derive(Debug, Clone, PartialEq)]
enum Got {
    Success,
    Repeat,
    NotNow,
    UnderWay,
    Unknown,
    Forgotten,
}

/// A request on its way through a site.
struct Request {
    client: usize,
    kind: Kind,
    id: SessionId,
    born: u64,
    key: String,
    crossing: bool,
    arrived: Us,
    host_took: Us,
    /// Who passed it on, if the site did not get it from the client.
    via: Option<NodeId>,
    copies: u32,
    sent: bool,
    ended: Option<Got>,
}

struct Client {
    id: SessionId,
    born: u64,
    home: NodeId,
    at: NodeId,
    last: Option<NodeId>,
    steps: u32,
    tries: u32,
    doubt: bool,
    current: u64,
    key: String,
    confirming: bool,
}

#[derive(Default, Clone)]
struct Tally {
    outcomes: BTreeMap<&'static str, u64>,
    wrong: Vec<String>,
    /// Added to lookups and confirmations, outside and during a crossing, in microseconds.
    added: [[Vec<Us>; 2]; 2],
    crossings: u64,
    messages: [u64; 2],
    bytes: [u64; 2],
    repeats: u64,
    healed: u64,
}

struct Night {
    way: Way,
    trouble: bool,
    rng: fastrand::Rng,
    now: Us,
    count: u64,
    queue: BinaryHeap<Reverse<(Us, u64)>>,
    events: FxHashMap<u64, Event>,
    terms: AffinitySettings,
    rosters: PeerSets,
    sites: Vec<Option<AffinityNode>>,
    starts: Vec<u32>,
    offset: Vec<u64>,
    cut: Option<u16>,
    clients: Vec<Client>,
    requests: FxHashMap<u64, Request>,
    /// What the compared ways keep at a site: none while it is under way, then whether it is known to have run.
    table: Vec<FxHashMap<(SessionId, String), Option<bool>>>,
    ledger: FxHashMap<(usize, String), u32>,
    told: FxHashMap<(usize, String), &'static str>,
    tally: Tally,
}

impl Night {
    fn new(way: Way, seed: u64, trouble: bool) -> Night {
        let mut rng = fastrand::Rng::with_seed(seed);
        let terms = AffinitySettings { sessions: 2_000, ..AffinitySettings::default() };
        let rosters = PeerSets([(1, (0..SITES).map(|n| (n, format!("10.0.0.{n}:7001"))).collect())].into());
        let sites =
            (0..SITES).map(|place| Some(AffinityNode::new(place, &terms, u64::from(place) + 1, 0))).collect();
        let mut night = Night {
            way,
            trouble,
            now: 0,
            count: 0,
            queue: BinaryHeap::new(),
            events: FxHashMap::default(),
            terms,
            rosters,
            sites,
            starts: vec![0; SITES.into()],
            offset: (0..SITES).map(|_| rng.u64(0..100)).collect(),
            cut: None,
            clients: vec![],
            requests: FxHashMap::default(),
            table: vec![FxHashMap::default(); SITES.into()],
            ledger: FxHashMap::default(),
            told: FxHashMap::default(),
            tally: Tally::default(),
            rng,
        };
        for client in 0..CLIENTS {
            let at = night.rng.u16(0..SITES);
            let id = SessionId([seed, client as u64]);
            let begin = night.rng.u64(0..NIGHT / 2);
            let born = EVENING + begin / MS;
            night.clients.push(Client {
                id,
                born,
                home: at,
                at,
                last: None,
                steps: 16,
                tries: 0,
                doubt: false,
                current: 0,
                key: String::new(),
                confirming: false,
            });
            night.at(begin, Event::Begin(client));
        }
        for place in 0..SITES {
            night.at(u64::from(place) * MS, Event::Tick(place));
        }
        if trouble {
            let mut at = 2 * SECOND;
            while at < NIGHT {
                let place = night.rng.u16(0..SITES);
                night.at(at, Event::Kill(place));
                let down = night.rng.u64(SECOND / 2..3 * SECOND);
                night.at(at + down, Event::Start(place));
                at += night.rng.u64(2 * SECOND..6 * SECOND);
            }
            let mut at = 3 * SECOND;
            while at < NIGHT {
                let zone = night.rng.u16(0..ZONES);
                night.at(at, Event::Cut(zone));
                let long = night.rng.u64(SECOND / 2..4 * SECOND);
                night.at(at + long, Event::Join);
                at += long + night.rng.u64(SECOND..6 * SECOND);
            }
        }
        night
    }

    fn at(&mut self, time: Us, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((time, self.count)));
        self.events.insert(self.count, event);
    }

    fn after(&mut self, time: Us, event: Event) {
        self.at(self.now + time, event);
    }

    fn clock(&self, place: NodeId) -> u64 {
        EVENING + self.now / MS + self.offset[place as usize]
    }

    fn play(mut self) -> Tally {
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > NIGHT + 30 * SECOND {
                break;
            }
            self.now = time;
            let event = self.events.remove(&number).expect("queued");
            self.step(event);
        }
        self.judge();
        if matches!(self.way, Way::Travelling | Way::Careless) {
            for site in self.sites.iter().flatten() {
                let counts = site.counts();
                self.tally.repeats += counts.repeats_answered;
                self.tally.healed += counts.replicas_restored;
            }
        }
        self.tally
    }

    /// What clients were told against what the host did.
    fn judge(&mut self) {
        for (what, runs) in &self.ledger {
            if *runs > 1 {
                self.tally.wrong.push(format!("{what:?} ran {runs} times"));
            }
        }
        for (what, told) in &self.told {
            let runs = self.ledger.get(what).copied().unwrap_or_default();
            match *told {
                "ran" if runs != 1 => {
                    self.tally.wrong.push(format!("{what:?} was told as run, ran {runs} times"))
                }
                "not run" if runs != 0 => {
                    self.tally.wrong.push(format!("{what:?} was told as not run, ran {runs} times"))
                }
                _ => {}
            }
            *self.tally.outcomes.entry(told).or_default() += 1;
        }
    }

    fn zone(place: NodeId) -> u16 {
        place % ZONES
    }

    fn reach(&self, a: NodeId, b: NodeId) -> bool {
        self.cut.is_none_or(|zone| (Self::zone(a) == zone) == (Self::zone(b) == zone))
    }

    fn mail(&mut self, from: NodeId, to: NodeId, wire: Wire) {
        let crossing = match &wire {
            Wire::Ours(msg) => !matches!(
                msg,
                Message::Write { .. }
                    | Message::WriteAck { .. }
                    | Message::Completion { .. }
                    | Message::CompletionAck { .. }
            ),
            Wire::PassOn(_) | Wire::Back(..) => true,
            Wire::Copy(..) | Wire::Copied(_) => false,
        };
        let size = match &wire {
            Wire::Ours(msg) => serde_json::to_vec(msg).map_or(0, |bytes| bytes.len()),
            Wire::PassOn(_) | Wire::Back(..) => 600,
            Wire::Copy(..) => 200,
            Wire::Copied(_) => 40,
        };
        self.tally.messages[usize::from(!crossing)] += 1;
        self.tally.bytes[usize::from(!crossing)] += (size + HEAD) as u64;
        if !self.reach(from, to) || (self.trouble && self.rng.u32(0..200) == 0) {
            return;
        }
        let way = if Self::zone(from) == Self::zone(to) { 300 } else { 1_500 };
        let spread = self.rng.u64(0..way / 3);
        self.after(way + spread, Event::Mail(from, to, wire));
    }

    fn post(&mut self, place: NodeId, outs: Vec<Output>) {
        for out in outs {
            match out {
                Output::Send { to, msg } => self.mail(place, to, Wire::Ours(msg)),
                Output::Run { ticket } => self.send(place, ticket),
                Output::Done { ticket } => {
                    let ended = self.requests.get(&ticket).and_then(|request| request.ended.clone());
                    self.answer(place, ticket, ended.unwrap_or(Got::Unknown));
                }
                Output::Answer { ticket, reply } => {
                    let got = match reply {
                        Decision::Kept(_) | Decision::Past => Got::Repeat,
                        Decision::UnderWay => Got::UnderWay,
                        Decision::Unknown => Got::Unknown,
                        Decision::Forgotten => Got::Forgotten,
                        Decision::NotNow | Decision::Spent | Decision::Other => Got::NotNow,
                    };
                    self.answer(place, ticket, got);
                }
            }
        }
    }

    fn with(&mut self, place: NodeId, act: impl FnOnce(&mut AffinityNode, u64) -> Vec<Output>) {
        let clock = self.clock(place);
        if let Some(site) = &mut self.sites[place as usize] {
            let outs = act(site, clock);
            self.post(place, outs);
        }
    }

    /// To the stand-in host, with whatever befalls it there.
    fn send(&mut self, place: NodeId, ticket: u64) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let took = match request.kind {
            Kind::Lookup => self.rng.u64(5 * MS..40 * MS),
            Kind::Confirm => self.rng.u64(10 * MS..120 * MS),
        };
        request.host_took = took;
        let answer = RecordedResponse { status: 201, headers: vec![], body: vec![b'x'; 200] };
        let dice = if self.trouble { self.rng.u32(0..100) } else { 99 };
        let (took, outcome, runs) = match dice {
            0 | 1 => (MS, Outcome::NotRun, false),
            2 | 3 => (took, Outcome::Unknown, true),
            4 => (took / 2, Outcome::Unknown, false),
            5 => (2 * SECOND, Outcome::Unknown, true),
            _ => (took, Outcome::Ran(answer), true),
        };
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.host_took = took;
        }
        let start = self.starts[place as usize];
        self.after(took, Event::HostEnds(place, start, ticket, outcome, runs));
    }

    fn host_ends(&mut self, place: NodeId, start: u32, ticket: u64, outcome: Outcome, mut runs: bool) {
        let alive = self.sites[place as usize].is_some() && self.starts[place as usize] == start;
        if !alive {
            // Its connection broke off: some hosts drop such a request, some don't.
            runs &= self.rng.bool();
        }
        let Some(request) = self.requests.get(&ticket) else { return };
        let (client, id, key, kind) = (request.client, request.id, request.key.clone(), request.kind);
        if kind == Kind::Confirm && runs {
            *self.ledger.entry((client, key.clone())).or_default() += 1;
        }
        if !alive {
            return;
        }
        if kind == Kind::Lookup {
            let got = if matches!(outcome, Outcome::Ran(_)) { Got::Success } else { Got::NotNow };
            return self.answer(place, ticket, got);
        }
        let got = match outcome {
            Outcome::Ran(_) | Outcome::RanLong => Got::Success,
            Outcome::NotRun => Got::NotNow,
            Outcome::Unknown => Got::Unknown,
        };
        if let Some(request) = self.requests.get_mut(&ticket) {
            let careless = self.way == Way::Careless && got == Got::Unknown;
            request.ended = Some(if careless { Got::NotNow } else { got.clone() });
        }
        match self.way {
            Way::Travelling => self.with(place, |site, now| site.ran(now, ticket, outcome)),
            Way::Careless => {
                let outcome = if outcome == Outcome::Unknown { Outcome::NotRun } else { outcome };
                self.with(place, |site, now| site.ran(now, ticket, outcome));
            }
            Way::Pinned | Way::Everywhere => {
                let stands = match got {
                    Got::NotNow => self.table[place as usize].remove(&(id, key.clone())).and(None),
                    _ => Some(got == Got::Success),
                };
                if stands.is_some() {
                    self.table[place as usize].insert((id, key.clone()), stands);
                }
                if self.way == Way::Everywhere {
                    for to in (0..SITES).filter(|to| *to != place) {
                        self.mail(place, to, Wire::Copy(0, id, key.clone(), stands));
                    }
                }
                self.answer(place, ticket, got);
            }
        }
    }

    fn answer(&mut self, place: NodeId, ticket: u64, got: Got) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if let Some(via) = request.via.filter(|via| *via != place) {
            return self.mail(place, via, Wire::Back(ticket, got));
        }
        let request = self.requests.remove(&ticket).expect("just seen");
        if matches!(got, Got::Success | Got::Repeat) {
            let added = (self.now - request.arrived).saturating_sub(request.host_took);
            let kind = usize::from(request.kind == Kind::Confirm);
            if got == Got::Success {
                self.tally.added[kind][usize::from(request.crossing)].push(added);
            }
        }
        // The answer may be lost on its way.
        if self.trouble && self.rng.u32(0..100) < 2 {
            return;
        }
        self.after(10 * MS, Event::Answered(request.client, ticket, got));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Begin(client) => self.begin(client),
            Event::Arrive(client, ticket, place) => self.arrive(client, ticket, place),
            Event::Mail(from, to, wire) if self.sites[to as usize].is_some() => self.wire(from, to, wire),
            Event::Mail(..) => {}
            Event::HostEnds(place, start, ticket, outcome, runs) => {
                self.host_ends(place, start, ticket, outcome, runs)
            }
            Event::Answered(client, ticket, got) => self.answered(client, ticket, got),
            Event::Patience(client, ticket) => {
                if self.clients[client].current == ticket {
                    self.requests.get_mut(&ticket).into_iter().for_each(|request| request.via = None);
                    self.clients[client].doubt = true;
                    self.clients[client].at = self.rng.u16(0..SITES);
                    self.again(client, 0);
                }
            }
            Event::Tick(place) => {
                self.with(place, |site, now| site.tick(now));
                if matches!(self.way, Way::Pinned | Way::Everywhere) {
                    self.overdue(place);
                }
                self.after(20 * MS, Event::Tick(place));
            }
            Event::Kill(place) => {
                self.sites[place as usize] = None;
                self.table[place as usize].clear();
                self.starts[place as usize] += 1;
            }
            Event::Start(place) => {
                if self.sites[place as usize].is_none() {
                    let floor = self.terms.floor(self.clock(place));
                    let start = self.now + u64::from(SITES);
                    self.sites[place as usize] = Some(AffinityNode::new(place, &self.terms, start, floor));
                }
            }
            Event::Cut(zone) => self.cut = Some(zone),
            Event::Join => self.cut = None,
        }
    }

    /// The next step of a client: lookups, and every fourth time a confirmation.
    fn begin(&mut self, client: usize) {
        let move_to = (self.rng.u32(0..10) < 3).then(|| self.rng.u16(0..SITES));
        let one = &mut self.clients[client];
        if one.steps == 0 || self.now > NIGHT {
            return;
        }
        one.steps -= 1;
        if let Some(place) = move_to {
            one.at = place;
        }
        (one.confirming, one.tries, one.doubt) = (one.steps.is_multiple_of(4), 0, false);
        one.key = format!("k{}", one.steps);
        self.again(client, 0);
    }

    fn again(&mut self, client: usize, wait: Us) {
        self.count += 1;
        let ticket = self.count;
        let one = &mut self.clients[client];
        one.tries += 1;
        one.current = ticket;
        if one.tries > 15 {
            let told = if one.doubt { "unknown" } else { "not run" };
            return self.end(client, told);
        }
        let place = one.at;
        self.after(wait + 10 * MS, Event::Arrive(client, ticket, place));
        self.after(wait + 4 * SECOND, Event::Patience(client, ticket));
    }

    fn end(&mut self, client: usize, told: &'static str) {
        let one = &mut self.clients[client];
        one.current = 0;
        if one.confirming {
            self.told.insert((client, one.key.clone()), told);
        }
        let pause = self.rng.u64(20 * MS..400 * MS);
        self.after(pause, Event::Begin(client));
    }

    fn answered(&mut self, client: usize, ticket: u64, got: Got) {
        if self.clients[client].current != ticket {
            return;
        }
        match got {
            Got::Success | Got::Repeat => self.end(client, "ran"),
            Got::Unknown => self.end(client, "unknown"),
            Got::NotNow => self.again(client, 100 * MS),
            Got::UnderWay => {
                self.clients[client].doubt = true;
                self.again(client, 250 * MS);
            }
            Got::Forgotten => {
                let now = EVENING + self.now / MS;
                let one = &mut self.clients[client];
                (one.id, one.born) = (SessionId([one.id.0[0], one.id.0[1] + CLIENTS as u64]), now);
                let told = if one.doubt { "unknown" } else { "not run" };
                *self.tally.outcomes.entry("session lost").or_default() += 1;
                self.end(client, told);
            }
        }
    }

    fn arrive(&mut self, client: usize, ticket: u64, place: NodeId) {
        if self.sites[place as usize].is_none() {
            // Refused at once: another site is tried.
            if self.clients[client].current == ticket {
                self.clients[client].at = self.rng.u16(0..SITES);
                self.again(client, 50 * MS);
            }
            return;
        }
        let one = &mut self.clients[client];
        let crossing = one.last.is_some_and(|last| last != place);
        one.last = Some(place);
        let kind = if one.confirming { Kind::Confirm } else { Kind::Lookup };
        let (id, born, key, home) = (one.id, one.born, one.key.clone(), one.home);
        self.tally.crossings += u64::from(crossing);
        let request = Request {
            client,
            kind,
            id,
            born,
            key,
            crossing,
            arrived: self.now,
            host_took: 0,
            via: None,
            copies: 0,
            sent: false,
            ended: None,
        };
        self.requests.insert(ticket, request);
        match self.way {
            Way::Travelling | Way::Careless => self.ours(ticket, place),
            Way::Pinned if home != place => {
                self.requests.get_mut(&ticket).expect("new").via = Some(place);
                self.mail(place, home, Wire::PassOn(ticket));
            }
            Way::Pinned | Way::Everywhere => self.theirs(ticket, place),
        }
    }

    fn ours(&mut self, ticket: u64, place: NodeId) {
        let request = &self.requests[&ticket];
        let (id, born, kind) = (request.id, request.born, request.kind);
        let (key, print) = (request.key.clone(), 1);
        let seats = self.rosters.seats(1, id).expect("a roster");
        if kind == Kind::Lookup {
            self.with(place, |site, now| site.visit(now, id, born, &seats));
            return self.send(place, ticket);
        }
        let until = self.clock(place) + 3_000;
        self.with(place, |site, now| {
            site.ask(now, IdempotentRequest { ticket, id, born, seats, key, print, until })
        });
    }

    /// The ways that ours is compared with, as plainly as they can be.
    fn theirs(&mut self, ticket: u64, place: NodeId) {
        let request = &self.requests[&ticket];
        let (id, key, kind) = (request.id, request.key.clone(), request.kind);
        if kind == Kind::Lookup {
            return self.send(place, ticket);
        }
        match self.table[place as usize].get(&(id, key.clone())) {
            Some(None) => return self.answer(place, ticket, Got::UnderWay),
            Some(Some(true)) => return self.answer(place, ticket, Got::Repeat),
            Some(Some(false)) => return self.answer(place, ticket, Got::Unknown),
            None => {}
        }
        self.table[place as usize].insert((id, key.clone()), None);
        if self.way == Way::Pinned {
            return self.send(place, ticket);
        }
        for to in (0..SITES).filter(|to| *to != place) {
            self.mail(place, to, Wire::Copy(ticket, id, key.clone(), None));
        }
    }

    /// What has waited for others for too long goes ahead without them.
    fn overdue(&mut self, place: NodeId) {
        let wait = self.terms.wait * MS;
        let late = |request: &Request| !request.sent && self.now > request.arrived + wait;
        let mut late: Vec<u64> = self.requests.iter().filter(|(_, r)| late(r)).map(|(t, _)| *t).collect();
        late.sort_unstable();
        for ticket in late {
            let request = &self.requests[&ticket];
            let here = self.clients[request.client].last == Some(place);
            if !here || self.clients[request.client].current != ticket {
                continue;
            }
            match self.way {
                Way::Pinned if request.via == Some(place) && request.host_took == 0 => {
                    let client = request.client;
                    self.clients[client].home = place;
                    let request = self.requests.get_mut(&ticket).expect("seen");
                    (request.via, request.sent) = (None, true);
                    self.theirs(ticket, place);
                }
                Way::Everywhere if request.kind == Kind::Confirm && request.host_took == 0 => {
                    self.requests.get_mut(&ticket).expect("seen").sent = true;
                    self.send(place, ticket);
                }
                _ => {}
            }
        }
    }

    fn wire(&mut self, from: NodeId, to: NodeId, wire: Wire) {
        match wire {
            Wire::Ours(msg) => self.with(to, |site, now| site.hear(now, from, msg)),
            Wire::PassOn(ticket) => {
                if self.requests.get(&ticket).is_some_and(|request| request.via.is_some()) {
                    self.theirs(ticket, to);
                }
            }
            Wire::Back(ticket, got) => self.answer(to, ticket, got),
            Wire::Copy(ticket, id, key, stands) => {
                let table = &mut self.table[to as usize];
                match (ticket, stands) {
                    (0, None) => drop(table.remove(&(id, key))),
                    (0, stands) => drop(table.insert((id, key), stands)),
                    _ => drop(table.entry((id, key)).or_insert(None)),
                }
                if ticket != 0 {
                    self.mail(to, from, Wire::Copied(ticket));
                }
            }
            Wire::Copied(ticket) => {
                let Some(request) = self.requests.get_mut(&ticket) else { return };
                request.copies += 1;
                if request.copies == u32::from(SITES) - 1 && !request.sent {
                    request.sent = true;
                    self.send(to, ticket);
                }
            }
        }
    }
}

fn nights(way: Way, seeds: u64, trouble: bool) -> Tally {
    let mut all = Tally::default();
    for seed in 1..=seeds {
        let one = Night::new(way, seed, trouble).play();
        for (what, count) in one.outcomes {
            *all.outcomes.entry(what).or_default() += count;
        }
        all.wrong.extend(one.wrong.into_iter().map(|wrong| format!("seed {seed}: {wrong}")));
        for kind in 0..2 {
            for crossing in 0..2 {
                all.added[kind][crossing].extend(&one.added[kind][crossing]);
            }
            all.messages[kind] += one.messages[kind];
            all.bytes[kind] += one.bytes[kind];
        }
        all.crossings += one.crossings;
        all.repeats += one.repeats;
        all.healed += one.healed;
    }
    all.added.iter_mut().flatten().for_each(|list| list.sort_unstable());
    all
}

fn part(list: &[Us], part: f64) -> f64 {
    let at = ((list.len() as f64 * part) as usize).min(list.len().saturating_sub(1));
    list.get(at).copied().unwrap_or_default() as f64 / MS as f64
}

const WAYS: [(Way, &str); 3] =
    [(Way::Travelling, "travelling"), (Way::Pinned, "pinned"), (Way::Everywhere, "everywhere")];

fn tables(seeds: u64) -> (String, Vec<(String, f64)>) {
    let mut text = String::new();
    let mut bars = vec![];
    let _ = writeln!(
        text,
        "{seeds} seeds of {CLIENTS} clients at {SITES} sites in {ZONES} zones; 1.5 to 2 ms one way between zones.\n"
    );
    let _ = writeln!(text, "| night | way | ran | told as not run | told as unknown | of these, session lost | wrong by the ledger |");
    let _ = writeln!(text, "|---|---|---:|---:|---:|---:|---:|");
    let mut costs = String::new();
    for (trouble, night) in [(true, "trouble"), (false, "calm")] {
        for (way, name) in WAYS {
            let tally = nights(way, seeds, trouble);
            let count = |what| tally.outcomes.get(what).copied().unwrap_or_default();
            let wrong = tally.wrong.len();
            let (ran, not, unknown) = (count("ran"), count("not run"), count("unknown"));
            let lost = count("session lost");
            let _ = writeln!(text, "| {night} | {name} | {ran} | {not} | {unknown} | {lost} | {wrong} |");
            if way == Way::Travelling {
                tally.wrong.iter().take(5).for_each(|wrong| eprintln!("WRONG {wrong}"));
                eprintln!("{night}: {} repeats answered, {} seats filled again", tally.repeats, tally.healed);
            }
            for (kind, label) in [(0, "lookups"), (1, "confirmations")] {
                for (crossing, when) in [(0, "outside"), (1, "crossing")] {
                    let list = &tally.added[kind][crossing];
                    let (p50, p99, worst) = (part(list, 0.5), part(list, 0.99), part(list, 1.0));
                    let _ = writeln!(
                        costs,
                        "| {night} | {name} | {label} | {when} | {p50:.1} | {p99:.1} | {worst:.1} |"
                    );
                    if !trouble && kind == 1 {
                        bars.push((format!("{name}, {when}"), p99));
                    }
                }
            }
            let per = |sum: u64, of: u64| sum as f64 / of.max(1) as f64;
            let confirms = ran + not + unknown;
            let _ = writeln!(
                costs,
                "| {night} | {name} | per crossing | {:.1} messages | {:.0} bytes | per confirmation {:.1} messages | {:.0} bytes |",
                per(tally.messages[0], tally.crossings),
                per(tally.bytes[0], tally.crossings),
                per(tally.messages[1], confirms),
                per(tally.bytes[1], confirms),
            );
        }
    }
    let careless = nights(Way::Careless, seeds.min(20), true);
    let _ = writeln!(
        text,
        "\nThe judge itself: at a gateway that takes unknown outcomes for such as did not run, the ledger finds {} \
         wrong in {} nights of trouble.\n",
        careless.wrong.len(),
        seeds.min(20)
    );
    let _ = writeln!(
        text,
        "Added to the host's own time, in ms (the claim of a session's first site counts as outside):\n"
    );
    let _ = writeln!(
        text,
        "| night | way | requests | when | p50 | p99 | worst |\n|---|---|---|---|---:|---:|---:|"
    );
    text.push_str(&costs);
    (text, bars)
}

fn chart(path: &str, bars: &[(String, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (760, 40 + 36 * bars.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let most = bars.iter().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let style = ("sans-serif", 15).into_font();
    root.draw(&Text::new("added to a confirmation on a calm night, p99, ms", (10, 8), style.clone()))?;
    for (at, (name, ms)) in bars.iter().enumerate() {
        let y = 36 + 36 * at as i32;
        let wide = (ms / most * 420.0) as i32;
        root.draw(&Text::new(name.as_str(), (10, y + 4), style.clone()))?;
        root.draw(&Rectangle::new([(220, y), (220 + wide.max(1), y + 22)], BLUE.mix(0.6).filled()))?;
        root.draw(&Text::new(format!("{ms:.1}"), (228 + wide, y + 4), style.clone()))?;
    }
    root.present()?;
    Ok(())
}

const BEGIN: &str = "<!-- night: begin -->\n";
const END: &str = "<!-- night: end -->";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let page = args.next();
    let seeds = args.next().and_then(|seeds| seeds.parse().ok()).unwrap_or(200);
    let (text, bars) = tables(seeds);
    let Some(page) = page.filter(|page| page != "-") else {
        print!("{text}");
        return Ok(());
    };
    let old = std::fs::read_to_string(&page)?;
    let (before, rest) = old.split_once(BEGIN).ok_or("the page has no place for the tables")?;
    let (_, after) = rest.split_once(END).ok_or("the page's place for the tables has no end")?;
    std::fs::write(&page, format!("{before}{BEGIN}{text}{END}{after}"))?;
    chart(&page.replace(".md", ".svg"), &bars)?;
    Ok(())
}
