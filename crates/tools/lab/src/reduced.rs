//! A director's reducer in simulated time: what the world tells comes to it as the bytes that sockets would bring, and
//! what it sends is read as the relay reads it. So a play goes through all of the daemon but its I/O.

use crate::platform::{Places, Platform, Standing};
use crate::truth::Truth;
use coppersail::interface::*;
use coppersail_admin_socket::{Answer, Request};
use coppersail_changes::{Submission, Version};
use coppersail_director::framing::Framed;
use coppersail_director::reducer::{ConnId, ControlId, Effect, Event, LinkId, ProbeEnd, Reducer};
use coppersail_operator_config::Sheet;
use coppersail_protocol::config::Config;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// The relay's signs of life come so often, seconds.
const LIFE: f64 = 1.0;
/// Hosts are at this port and above, each at its own; nothing is dialled.
const PORT: u16 = 10_000;
/// Effects that bring new events in one moment; a circle among them would be a fault of ours.
const ROUNDS_MOST: usize = 10_000;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub struct Reduced {
    platform: Platform,
    seed: u64,
    /// Operators' changes are on.
    operated: bool,
    run: Option<Box<Run>>,
    waiting: Vec<Submission>,
    /// What the log says of changes, and when.
    pub told: Vec<(f64, String)>,
    /// The newest change that was heard of.
    head: u64,
}

struct Run {
    reducer: Reducer,
    standing: Standing,
    version: u64,
    list: BTreeMap<HostId, Listing>,
    news: Vec<LinkId>,
    links: Vec<LinkId>,
    watches: Vec<LinkId>,
    conns: Vec<ConnId>,
    next_conn: u64,
    probes: BTreeMap<HostId, VecDeque<HostId>>,
    down: bool,
    life_at: f64,
    wake_at: f64,
    asked: u64,
}

/// A configuration of the lab's that the director refuses: a fault of the lab.
#[derive(Debug, thiserror::Error)]
enum BeginError {
    /// By the configuration's codec.
    #[error("{0}")]
    Config(coppersail_protocol::Fault),
    /// By the director's reducer.
    #[error("{0}")]
    Reducer(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl BeginError {
    fn reducer(source: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        BeginError::Reducer(source.into())
    }
}

impl Reduced {
    pub fn new(platform: Platform, seed: u64, operated: bool) -> Self {
        Reduced { platform, seed, operated, run: None, waiting: Vec::new(), told: Vec::new(), head: 0 }
    }

    /// An operator who knows the newest version submits a change; it is heard at the next turn.
    pub fn submit(&mut self, submission: Submission) {
        self.waiting.push(submission);
    }

    /// Of an undoing only the text names the number.
    fn heard_of(&mut self, now: f64, number: u64, text: &str) {
        let undoing =
            text.split("undone by change ").nth(1).and_then(|rest| rest.split(',').next()?.parse().ok());
        self.head = self.head.max(number).max(undoing.unwrap_or(0));
        self.told.push((now, text.to_string()));
    }

    fn begin(&mut self, now: f64, inputs: &[Input]) -> Result<Run, BeginError> {
        let (mut standing, mut list, mut version) = (Standing::default(), BTreeMap::new(), 0);
        for input in inputs {
            standing.hear(input);
            if let Input::Hosts { version: known, entries, .. } = input {
                version = *known;
                list.extend(entries.iter().map(|entry| (entry.host, entry.clone())));
            }
        }
        let entries: Vec<Listing> = list.values().cloned().collect();
        let known = self.platform.list(version, true, &entries, &|host| loopback(PORT + host.0 as u16));
        let places = Places { listen: loopback(1), discovery: loopback(2), relay: loopback(3) };
        let text = self.platform.config("lab", self.seed, &places, &known);
        let config = Config::parse(text.as_bytes()).map_err(BeginError::Config)?;
        let wall_ns = self.platform.began_ms * 1_000_000;
        let mut reducer = Reducer::new(&config, wall_ns).map_err(BeginError::reducer)?;
        if self.operated {
            reducer.operate(&config, wall_ns, &Sheet::default(), None).map_err(BeginError::reducer)?;
        }
        Ok(Run {
            reducer,
            standing,
            version,
            list,
            news: vec![],
            links: vec![],
            watches: vec![],
            conns: vec![],
            next_conn: 0,
            probes: BTreeMap::new(),
            down: false,
            life_at: now + LIFE,
            wake_at: now,
            asked: 0,
        })
    }

    pub fn handle(&mut self, now: f64, inputs: &[Input], truth: &Truth) -> Vec<Order> {
        let mut events = VecDeque::from([Event::Time]);
        let mut run = match self.run.take() {
            Some(mut run) => {
                for input in inputs {
                    run.hear(&self.platform, input, &mut events);
                }
                run
            }
            None => match self.begin(now, inputs) {
                Ok(mut run) => {
                    for zone in 0..self.platform.settings.zones.len() {
                        run.join(&self.platform, ZoneId(zone as u16), &mut events);
                    }
                    Box::new(run)
                }
                // The lab writes the configuration itself: one that cannot be used is a fault of its own.
                Err(wrong) => panic!("the lab's configuration: {wrong}"),
            },
        };
        for submission in self.waiting.drain(..) {
            run.asked += 1;
            let request =
                Request::Submit { submission: Submission { base: Version(self.head), ..submission } };
            events.push_back(Event::Asked(ControlId(run.asked), Box::new(request)));
        }
        run.relay(truth.store_down, &mut events);
        if now >= run.life_at && !run.down {
            run.life_at = now + LIFE;
            let life = |link: &LinkId| Event::RelayLines(*link, vec![Framed::Line(b"*".to_vec())]);
            events.extend(run.news.iter().map(life));
        }
        let mut orders = Vec::new();
        let mut settled = false;
        for _ in 0..ROUNDS_MOST {
            let event = match events.pop_front() {
                Some(event) => event,
                None if settled => break,
                None => Event::Settle,
            };
            settled = event == Event::Settle;
            for effect in run.reducer.reduce(now, event) {
                match &effect {
                    Effect::Log(_, Some(number), text) => self.heard_of(now, number.0, text),
                    Effect::Answer(_, Answer::Rejected { reason: why }) => {
                        self.heard_of(now, 0, &format!("refused: {why}"))
                    }
                    _ => {}
                }
                run.carry_out(&self.platform, effect, &mut events, &mut orders);
            }
        }
        let at = run.wake_at.min(run.life_at).max(now + 1e-3);
        orders.push(Order::WakeAt { wake: WakeId(1), at });
        self.run = Some(run);
        orders
    }
}

fn line(text: String) -> Framed {
    Framed::Line(text.into_bytes())
}

impl Run {
    fn join(&mut self, platform: &Platform, zone: ZoneId, events: &mut VecDeque<Event>) {
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        match self.conns.get_mut(zone.0 as usize) {
            Some(old) => *old = conn,
            None => self.conns.push(conn),
        }
        events.push_back(Event::Accepted(conn));
        events.push_back(Event::Heard(conn, platform.joining(zone).into_bytes()));
    }

    /// The relay goes, or is back: its connections break, and it takes no others meanwhile.
    fn relay(&mut self, down: bool, events: &mut VecDeque<Event>) {
        if std::mem::replace(&mut self.down, down) == down || !down {
            return;
        }
        let broken = self.links.drain(..).map(|link| Event::RelayDown(link, "closed by the relay".into()));
        events.extend(broken);
        self.news.clear();
    }

    fn hear(&mut self, platform: &Platform, input: &Input, events: &mut VecDeque<Event>) {
        self.standing.hear(input);
        if let Some(text) = platform.news(input) {
            let news = |link: &LinkId| Event::RelayLines(*link, vec![line(text.clone())]);
            events.extend(self.news.iter().map(news));
        }
        if let Some((zone, text)) = platform.collected(input) {
            let conn = self.conns[zone.0 as usize];
            events.push_back(Event::Heard(conn, text.into_bytes()));
        }
        match input {
            Input::Hosts { version, entries, .. } => {
                self.version = *version;
                self.list.extend(entries.iter().map(|entry| (entry.host, entry.clone())));
                let text = platform.list(*version, false, entries, &|host| loopback(PORT + host.0 as u16));
                let lines = |link: &LinkId| Event::WatchLines(*link, vec![line(text.clone())]);
                events.extend(self.watches.iter().map(lines));
            }
            Input::Probed { host, outcome, took, load } => {
                let Some(own) = self.probes.get_mut(host).and_then(VecDeque::pop_front) else { return };
                let (end, body) = match outcome {
                    Outcome::Answered => (ProbeEnd::Status(200), Platform::load_text(load)),
                    Outcome::Throttled => (ProbeEnd::Status(503), String::new()),
                    Outcome::TimedOut => (ProbeEnd::TimedOut, String::new()),
                    Outcome::Unreachable => (ProbeEnd::Unreachable, String::new()),
                    Outcome::Broken => (ProbeEnd::Broken, String::new()),
                    _ => (ProbeEnd::Unreadable, String::new()),
                };
                events.push_back(Event::Probed { host: own, end, took: *took, body: body.into_bytes() });
            }
            _ => {}
        }
    }

    fn carry_out(
        &mut self,
        platform: &Platform,
        effect: Effect,
        events: &mut VecDeque<Event>,
        orders: &mut Vec<Order>,
    ) {
        match effect {
            Effect::Dial(link, _) if self.down => {
                events.push_back(Event::RelayDown(link, "Connection refused".into()));
            }
            Effect::Dial(link, _) => {
                self.links.push(link);
                events.push_back(Event::RelayUp(link));
            }
            Effect::Send(link, bytes) if self.links.contains(&link) => {
                let text = String::from_utf8_lossy(&bytes);
                if text.trim() == "follow" {
                    self.news.push(link);
                    let lines = self.standing.lines(platform).into_iter().map(line).collect();
                    events.push_back(Event::RelayLines(link, lines));
                } else {
                    // A call that is none would be a fault of the director's, which a play must not hide.
                    let taken = platform.orders(text.trim()).unwrap_or_else(|wrong| panic!("{wrong}"));
                    let answer = format!("OK {}", taken.len());
                    self.standing.carry_out(&taken);
                    orders.extend(taken);
                    events.push_back(Event::RelayLines(link, vec![line(answer)]));
                }
            }
            Effect::HangUp(link) => {
                self.links.retain(|known| *known != link);
                self.news.retain(|known| *known != link);
            }
            Effect::Watch(link, _, _) => {
                self.watches.push(link);
                let entries: Vec<Listing> = self.list.values().cloned().collect();
                let text =
                    platform.list(self.version, true, &entries, &|host| loopback(PORT + host.0 as u16));
                events.push_back(Event::WatchLines(link, vec![line(text)]));
            }
            Effect::Unwatch(link) => self.watches.retain(|known| *known != link),
            Effect::Probe { host, address, .. } => {
                let there = HostId(u32::from(address.port() - PORT));
                self.probes.entry(there).or_default().push_back(host);
                orders.push(Order::Probe(there));
            }
            Effect::Wake(at) => self.wake_at = at,
            Effect::Drop(conn) => {
                // A collector whose connection is closed joins again.
                let zone = self.conns.iter().position(|known| *known == conn);
                if let Some(zone) = zone {
                    self.join(platform, ZoneId(zone as u16), events);
                }
            }
            _ => {}
        }
    }
}
