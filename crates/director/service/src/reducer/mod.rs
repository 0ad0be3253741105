//! All state of the director, and all changes to it: `(now, event) -> effects`. It reads no clock and does no I/O;
//! the effects ask for that. What has come in by `Event::Settle` is one batch: the decisions see it together, and
//! their orders go out as one call.

mod calls;
#[cfg(test)]
mod channel_tests;
mod list;
mod news;
mod operators;
mod ranges;
mod taken;
#[cfg(test)]
mod tests;

use crate::bounds::Bounds;
use crate::counters::Counters;
use crate::framing::Framed;
use calls::{Aim, Calls, Told};
use coppersail::interface as api;
use coppersail_admin_socket::{Answer, Request};
use coppersail_capacity_guard::{Guarded, Mode};
use coppersail_changes::{Record, Version};
use coppersail_operator_config::{Known, Sheet};
use coppersail_protocol::collector::{readable, Line, ALIVE};
use coppersail_protocol::config::Config;
use coppersail_protocol::discovery;
use coppersail_protocol::load::{Report, HEALTH, LOAD};
use coppersail_protocol::relay::{Again, News as NewsLine, Order};
use coppersail_protocol::Fault;
use coppersail_settings::{known as known_by, load, settings, Boot, Clock, Names};
use list::List;
use news::{Item, News};
use operators::{Around, Operators};
use ranges::Ranges;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use taken::{Sender, Taken};
use tracing::Level;

/// A connection that was taken, numbered by the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A connection that was dialled, numbered by the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// A request of an operator's command that is owed an answer, numbered by who takes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControlId(pub u64);

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnd {
    Status(u16),
    TimedOut,
    Unreachable,
    Broken,
    /// What came back is no answer.
    Unreadable,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Accepted(ConnId),
    Heard(ConnId, Vec<u8>),
    Ended(ConnId),
    RelayUp(LinkId),
    RelayLines(LinkId, Vec<Framed>),
    RelayDown(LinkId, String),
    WatchLines(LinkId, Vec<Framed>),
    WatchDown(LinkId, String),
    Probed {
        host: api::HostId,
        end: ProbeEnd,
        took: f64,
        body: Vec<u8>,
    },
    /// An operator's command.
    Asked(ControlId, Box<Request>),
    /// The history holds the change.
    Written(Version),
    /// It does not, or something else of it is not there.
    Unwritten(Option<Version>, String),
    /// The operators' file was read anew.
    Sheet(Box<Result<Sheet, String>>),
    /// The configuration is to be taken anew: what the file holds, or what is wrong with it.
    Reload(Box<Result<Config, String>>),
    /// The moment asked for has come.
    Time,
    /// The batch is complete.
    Settle,
    /// The counters are asked for.
    Count,
    Stop,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Say(ConnId, &'static [u8]),
    Drop(ConnId),
    /// Whether further connections are to be taken.
    Accept(bool),
    Dial(LinkId, SocketAddr),
    Send(LinkId, Vec<u8>),
    HangUp(LinkId),
    Watch(LinkId, SocketAddr, String),
    Unwatch(LinkId),
    Probe {
        host: api::HostId,
        address: SocketAddr,
        path: &'static str,
    },
    Wake(f64),
    /// To be put into the history; `Written` or `Unwritten` follows for a change that was accepted.
    Record(Record),
    Answer(ControlId, Answer),
    /// The change that it is about, if any.
    Log(Level, Option<Version>, String),
    Exit,
}

/// What a message names, if we know it by that name.
fn named<T>(field: &str, found: Result<T, impl std::fmt::Display>) -> Result<T, Fault> {
    found.map_err(|expected| Fault::expected(field, expected))
}

/// The settings of a configuration that can be used in every field, and the list that it remembers.
fn checked(config: &Config) -> Result<(Boot, Option<discovery::List<'_>>), String> {
    let paths = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let boot = Boot::read(&paths)
        .map_err(|bad| format!("field settings.{}: expected {}", bad.field, bad.expected))?;
    // Numbers of two bytes, of which the last one stands for all slices.
    let facts = &boot.specifics;
    for (field, many, most) in [("slices", facts.slices, 65_535), ("proxy-count", facts.proxy_count, 65_536)]
    {
        if let Some(many) = many.filter(|many| *many > most) {
            return Err(format!("field settings.specifics.{field}: {many}, expected {most} at most"));
        }
    }
    let known = config.known.as_deref().map(discovery::List::parse).transpose();
    Ok((boot, known.map_err(|fault| format!("field known: {fault}"))?))
}

/// What the parts give: effects, inputs for the decisions, counts.
#[derive(Default)]
struct Out {
    effects: Vec<Effect>,
    /// What has come in since the decisions were last asked.
    inputs: Vec<api::Input>,
    counters: Counters,
    links: u64,
}

impl Out {
    fn link(&mut self) -> LinkId {
        self.links += 1;
        LinkId(self.links)
    }

    fn warn(&mut self, text: String) {
        self.effects.push(Effect::Log(Level::WARN, None, text));
    }

    fn tell(&mut self, text: String) {
        self.effects.push(Effect::Log(Level::INFO, None, text));
    }
}

/// Between log lines of a kind that may come in floods.
const LOG_PAUSE: f64 = 1.0;

/// A log line now and then; the next one says how many were left out.
#[derive(Default)]
struct Sparing {
    until: f64,
    left_out: u64,
}

impl Sparing {
    fn warn(&mut self, now: f64, text: String, out: &mut Out) {
        if now < self.until {
            self.left_out += 1;
            return;
        }
        self.until = now + LOG_PAUSE;
        match std::mem::take(&mut self.left_out) {
            0 => out.warn(text),
            more => out.warn(format!("{text}; {more} more like it before")),
        }
    }
}

pub struct Reducer {
    director: Guarded,
    names: Names,
    /// Slices and proxies are numbered below these; no figure for proxies: any.
    slices: u64,
    proxies: u64,
    may_follow: bool,
    probe_path: &'static str,
    taken: Taken,
    lines_log: Sparing,
    ranges: Ranges,
    calls: Calls,
    news: News,
    list: List,
    /// None: operators' changes are off.
    operators: Option<Operators>,
    known: Known,
    /// Hosts that the decisions have forgotten; their names are given back when nothing here refers to them.
    forgotten: BTreeSet<api::HostId>,
    wakes: Vec<(f64, api::WakeId)>,
    started: bool,
    /// What stands at the relay was known when last looked.
    told: bool,
    /// Of what only a start can take over, to name what has changed.
    fixed: [(&'static str, u64); 4],
    out: Out,
}

/// What stands now, as operators' changes need it.
fn with_around<R>(reducer: &mut Reducer, act: impl FnOnce(&Around, &mut Out) -> R) -> R {
    let standing = &reducer.news.known;
    let (names, calls_idle, director) = (&reducer.names, reducer.calls.idle(), &reducer.director);
    let around = Around { names, standing, calls_idle, director };
    act(&around, &mut reducer.out)
}

impl Reducer {
    /// `wall_ns`: what the wall clock shows at the zero of all further times.
    pub fn new(config: &Config, wall_ns: u64) -> Result<Self, String> {
        let (boot, known) = checked(config)?;
        let told = settings(&boot);
        let reports = boot.top.report_columns.as_ref().is_some_and(|columns| !columns.0.is_empty());
        let bounds = Bounds::of(&config.limits);
        let may_follow = !told.list_is_pushed;
        let mut reducer = Reducer {
            slices: told.slices,
            proxies: told.proxies,
            ranges: Ranges::new(&told),
            director: Guarded::plain(told, config.seed),
            names: Names::new(&boot),
            may_follow,
            probe_path: if reports { LOAD } else { HEALTH },
            taken: Taken::new(bounds.taken, bounds.begun),
            lines_log: Sparing::default(),
            calls: Calls::new(config.relay),
            news: News::new(config.relay),
            list: List::new(Clock::starting(wall_ns), config.discovery),
            operators: None,
            known: known_by(&boot),
            forgotten: BTreeSet::new(),
            wakes: Vec::new(),
            started: false,
            told: false,
            fixed: config.fixed(),
            out: Out::default(),
        };
        if let Some(known) = known {
            let remembered = reducer.list.remembered(&known, &mut reducer.names, &mut reducer.out);
            reducer.out.inputs.push(remembered);
        }
        Ok(reducer)
    }

    /// What the settings name, against which an operators' file is checked.
    pub fn known(&self) -> &Known {
        &self.known
    }

    /// Takes operators' changes from now on: from their history, if one is kept, and their file.
    pub fn operate(
        &mut self,
        config: &Config,
        wall_ns: u64,
        sheet: &Sheet,
        history: Option<Vec<Record>>,
    ) -> Result<Vec<Effect>, String> {
        let (boot, _) = checked(config)?;
        let told = settings(&boot);
        let mut operators = Operators::new(&config.name, &told, self.known.clone(), wall_ns);
        // Nothing has been decided yet.
        self.director = Guarded::new(told, config.seed, Mode::Off);
        // The list as remembered is all that is known of hosts yet.
        operators.heard(&self.out.inputs);
        let done = with_around(self, |around, out| operators.begin(sheet, history, around, out));
        self.operators = Some(operators);
        done?;
        Ok(std::mem::take(&mut self.out.effects))
    }

    fn operated(&mut self, act: impl FnOnce(&mut Operators, &Around, &mut Out)) {
        if let Some(mut operators) = self.operators.take() {
            with_around(self, |around, out| act(&mut operators, around, out));
            self.operators = Some(operators);
        }
    }

    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Effect> {
        match event {
            Event::Accepted(conn) => self.taken.accepted(now, conn, &mut self.out),
            Event::Heard(conn, bytes) => self.heard(now, conn, &bytes),
            Event::Ended(conn) => self.taken.ended(conn, &mut self.out),
            Event::RelayUp(link) if self.calls.owns(link) => self.calls.up(now, link),
            Event::RelayUp(link) if self.news.owns(link) => {
                self.news.up(now, link, &mut self.out);
            }
            Event::RelayUp(link) => self.out.effects.push(Effect::HangUp(link)),
            Event::RelayLines(link, lines) => {
                lines.into_iter().for_each(|line| self.relay_line(now, link, line));
            }
            Event::RelayDown(link, why) if self.calls.owns(link) => {
                self.calls.down(now, link, &why, &mut self.out);
            }
            Event::RelayDown(link, why) => {
                self.news.down(now, link, &why, &mut self.out);
            }
            Event::WatchLines(link, lines) if self.list.owns(link) => {
                for line in lines {
                    let input = self.list.line(now, link, line, &mut self.names, &mut self.out);
                    self.out.inputs.extend(input);
                }
            }
            Event::WatchDown(link, why) if self.list.owns(link) => {
                self.list.down(now, link, &why, &mut self.out);
                if self.may_follow {
                    self.out.inputs.push(list::failed());
                }
            }
            Event::WatchLines(..) | Event::WatchDown(..) => {}
            Event::Probed { host, end, took, body } => self.probed(now, host, end, took, &body),
            Event::Reload(config) => self.reload(now, *config),
            Event::Asked(who, request) => {
                self.operated(|operators, around, out| operators.asked(now, who, *request, around, out));
            }
            Event::Written(number) => {
                self.operated(|operators, around, out| operators.written(now, number, around, out));
            }
            Event::Unwritten(number, why) => {
                self.operated(|operators, around, out| operators.unwritten(now, number, &why, around, out));
            }
            Event::Sheet(sheet) => {
                self.operated(|operators, around, out| operators.take_file(now, *sheet, around, out));
            }
            Event::Time => {}
            Event::Settle => self.settle(now),
            Event::Count => self.count(),
            Event::Stop => {
                self.count();
                self.out.effects.push(Effect::Exit);
            }
        }
        std::mem::take(&mut self.out.effects)
    }

    fn count(&mut self) {
        self.out.counters.lines_may_wait = self.director.may_wait() as u64;
        let counters = self.out.counters.line();
        self.out.tell(counters);
    }

    /// A new configuration is used whole or not at all. What is connected stays so until the new addresses serve.
    fn reload(&mut self, now: f64, config: Result<Config, String>) {
        let sound = config.and_then(|config| {
            checked(&config).map(drop)?;
            Ok(config)
        });
        let config = match sound {
            Ok(config) => config,
            Err(wrong) => {
                self.out.counters.configurations_bad += 1;
                return self.out.warn(format!("configuration: all stays as it was, {wrong}"));
            }
        };
        self.out.counters.configurations_taken += 1;
        let changed = self.fixed.iter().zip(config.fixed()).filter(|(old, new)| **old != *new);
        let changed: Vec<&str> = changed.map(|(old, _)| old.0).collect();
        let only = if changed.is_empty() {
            String::new()
        } else {
            format!("; only a start takes {}", changed.join(", "))
        };
        let (discovery, relay) = (config.discovery, config.relay);
        self.out.tell(format!("configuration: taken, discovery {discovery}, relay {relay}{only}"));
        self.list.move_to(now, discovery, &mut self.out);
        self.news.move_to(now, relay, &mut self.out);
        self.calls.move_to(relay, &mut self.out);
    }

    fn heard(&mut self, now: f64, conn: ConnId, mut bytes: &[u8]) {
        while let Some((sender, line)) = self.taken.next(now, conn, &mut bytes, &mut self.out) {
            let used = match &line {
                Framed::Line(line) => self.understood(now, conn, sender, line),
                Framed::TooLong => Err(Fault::LineTooLong),
            };
            let Err(fault) = used else {
                self.taken.judged(now, conn, true, &mut self.out);
                continue;
            };
            if sender == Sender::New {
                self.taken.drop(now, conn, &fault.to_string(), &mut self.out);
                return;
            }
            self.out.counters.lines_bad += 1;
            self.lines_log.warn(now, format!("collector: line passed over, {fault}"), &mut self.out);
            let message = matches!(&line, Framed::Line(line) if readable(line));
            self.taken.judged(now, conn, message, &mut self.out);
        }
    }

    fn understood(&mut self, now: f64, conn: ConnId, sender: Sender, line: &[u8]) -> Result<(), Fault> {
        match Line::parse(line)? {
            Line::Probe => self.taken.answer(conn, ALIVE, &mut self.out),
            Line::Zone(zone) => {
                let zone = named("az", self.names.zone(&zone))?;
                self.taken.joined(now, conn, zone, &mut self.out);
            }
            // What anybody may say must not reach the decisions.
            _ if sender == Sender::New => return Err(Fault::ReportBeforeJoining),
            Line::Tries { zone, host, tries, dropped, rt, span, report } => {
                let zone = named("az", self.names.zone(&zone))?;
                let host = self.names.known_host(&host).ok_or("a host that was listed".to_string());
                let (host, rt) = (named("host", host)?, self.ranges.rt(rt)?);
                self.ranges.calls(tries, dropped, span)?;
                let load = self.load(now, &report);
                self.out.counters.sums_of_tries += 1;
                self.out.inputs.push(api::Input::Tries { host, zone, span, tries, dropped, rt, load });
            }
            Line::Demand { slice, route, calls, dropped, span } => {
                let (slice, route) = (self.slice(slice)?, named("kind", self.names.route(&route))?);
                self.ranges.calls(calls, dropped, span)?;
                self.out.counters.sums_of_calls += 1;
                self.out.inputs.push(api::Input::Demand { slice, route, calls, dropped, span });
            }
        }
        Ok(())
    }

    fn load(&mut self, now: f64, report: &Report) -> api::Load {
        self.ranges.load(now, load(|name| report.get(name)), report.odd, &mut self.out)
    }

    fn relay_line(&mut self, now: f64, link: LinkId, line: Framed) {
        if self.calls.owns(link) {
            // A line that is too long is no answer that can be read.
            let line = if let Framed::Line(line) = line { line } else { Vec::new() };
            let sent_at = self.calls.sent_at;
            for told in self.calls.answer(now, link, &line, &mut self.out) {
                match told.aim {
                    Aim::Line(slice, host) => {
                        // Given anew while the call was out: the line stands in a table that it was not meant for.
                        let given = self.news.given_at(slice).is_some_and(|at| at > sent_at);
                        if given && told.weight > 0.0 {
                            self.out.inputs.push(news::stored(slice, host, told.weight));
                        }
                        self.news.wrote(slice, host, told.weight);
                    }
                    Aim::Clear(slice) => self.news.cleared(slice),
                    _ => {}
                }
            }
        } else if self.news.owns(link) {
            self.out.counters.news_lines += 1;
            let news = match &line {
                Framed::Line(line) => NewsLine::parse(line),
                Framed::TooLong => Err(Fault::UnterminatedLine),
            };
            match news.map(|news| self.item(news)) {
                Ok(Ok(item)) => self.news.take(now, link, item, &mut self.out),
                Ok(Err(unknown)) => {
                    self.out.counters.news_bad += 1;
                    self.out.warn(format!("relay: news passed over, {unknown}"));
                }
                Err(fault) => {
                    // What else it would have told can't be relied on; a new connection is told all that stands.
                    self.out.counters.news_bad += 1;
                    self.news.down(now, link, &fault.to_string(), &mut self.out);
                }
            }
        }
    }

    fn item(&mut self, news: NewsLine<'_>) -> Result<Item, Fault> {
        Ok(match news {
            NewsLine::Start => Item::Start,
            NewsLine::Life => Item::Life,
            NewsLine::Joined { proxy, zone, calls_per_s, fresh } => {
                let (proxy, zone) = (self.proxy(proxy)?, named("az", self.names.zone(zone))?);
                Item::Joined { proxy, zone, calls_per_s, fresh }
            }
            NewsLine::Left { proxy } => Item::Left(self.proxy(proxy)?),
            NewsLine::Applied { proxy, mark, took } => {
                Item::Applied { proxy: self.proxy(proxy)?, mark: api::MarkId(mark), took }
            }
            NewsLine::Given { slice } => Item::Given(self.slice(slice)?),
            NewsLine::Taken { slice } => Item::Taken(self.slice(slice)?),
            NewsLine::StoredLine { slice, host, weight } => {
                Item::Line { slice: self.slice(slice)?, host: self.names.host(host), weight }
            }
        })
    }

    fn slice(&self, slice: u16) -> Result<api::SliceId, Fault> {
        let unknown = || Err(format!("a slice below {}", self.slices));
        named("partition", if u64::from(slice) < self.slices { Ok(api::SliceId(slice)) } else { unknown() })
    }

    fn proxy(&self, proxy: u16) -> Result<api::ProxyId, Fault> {
        let unknown = || Err(format!("a proxy below {}", self.proxies));
        named(
            "sidecar",
            if self.proxies == 0 || u64::from(proxy) < self.proxies {
                Ok(api::ProxyId(proxy))
            } else {
                unknown()
            },
        )
    }

    fn probed(&mut self, now: f64, host: api::HostId, end: ProbeEnd, took: f64, body: &[u8]) {
        let (outcome, count) = match end {
            ProbeEnd::Status(200) => (api::Outcome::Answered, &mut self.out.counters.probes_answered),
            ProbeEnd::Status(503) => (api::Outcome::Throttled, &mut self.out.counters.probes_throttled),
            ProbeEnd::Status(_) | ProbeEnd::Unreadable => {
                (api::Outcome::Error, &mut self.out.counters.probes_failed)
            }
            ProbeEnd::TimedOut => (api::Outcome::TimedOut, &mut self.out.counters.probes_timed_out),
            ProbeEnd::Unreachable => (api::Outcome::Unreachable, &mut self.out.counters.probes_unreachable),
            ProbeEnd::Broken => (api::Outcome::Broken, &mut self.out.counters.probes_broken),
        };
        *count += 1;
        let report = Report::text(if outcome == api::Outcome::Answered { body } else { b"" });
        let load = self.load(now, &report);
        self.out.inputs.push(api::Input::Probed { host, outcome, took, load });
    }

    /// The batch is complete: the decisions are asked, and what has become due is done.
    fn settle(&mut self, now: f64) {
        self.taken.pump(now, &mut self.out);
        self.list.pump(now, &mut self.out);
        self.news.pump(now, &mut self.out);
        let due = |(at, _): &(f64, api::WakeId)| *at <= now;
        let (due, later) = std::mem::take(&mut self.wakes).into_iter().partition::<Vec<_>, _>(due);
        self.wakes = later;
        self.out.inputs.extend(due.into_iter().map(|(_, wake)| api::Input::Wake(wake)));
        if let Some(operators) = &mut self.operators {
            operators.heard(&self.out.inputs);
        }
        let mut wishes = None;
        self.operated(|operators, around, out| wishes = operators.pump(now, around, out));
        if let Some(wishes) = wishes {
            self.out.counters.wishes_given += 1;
            self.out.inputs.push(api::Input::Wishes(wishes));
        }
        if !self.out.inputs.is_empty() || !std::mem::replace(&mut self.started, true) {
            let inputs = std::mem::take(&mut self.out.inputs);
            self.counters_of(&inputs);
            if inputs.iter().any(|input| matches!(input, api::Input::Joined { .. })) {
                self.ranges.proxies(self.news.known.proxies.values().map(|(_, joined)| joined));
            }
            for input in &inputs {
                match input {
                    api::Input::Given(slice) | api::Input::Taken(slice) => self.calls.forget(*slice),
                    // The decisions hear of it again.
                    api::Input::StoredLine { host, .. } => _ = self.forgotten.remove(host),
                    api::Input::Hosts { entries, .. } => {
                        entries.iter().for_each(|entry| _ = self.forgotten.remove(&entry.host));
                    }
                    _ => {}
                }
            }
            self.director.mode(self.operators.as_ref().map_or(Mode::Off, Operators::guard));
            let pending = self.operators.as_ref().map(|operators| operators.pending(now, &self.names));
            self.director.pending(pending.unwrap_or_default());
            let orders = self.director.handle(now, &inputs);
            let counts = self.director.counts;
            self.out.counters.guard_judged = counts.judged;
            self.out.counters.guard_least_bad = counts.least_bad;
            self.out.counters.guard_refused = counts.refused;
            self.out.counters.guard_overruled = counts.overruled;
            self.out.counters.decisions += 1;
            self.carry_out(now, orders);
        }
        let told = self.news.told();
        if std::mem::replace(&mut self.told, told) != told {
            self.calls.blind(now, !told);
        }
        self.calls.unheard = !told;
        let director = &self.director;
        let writable = |orders, again, unheard| director.writable(now, orders, again, unheard);
        self.calls.pump(now, writable, &mut self.out);
        self.news.under_way = self.calls.under_way();
        self.give_back_names();
        let wake = self.wakes.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        let parts = [self.calls.next(), self.news.next(), self.list.next(), self.taken.wake_at()];
        let operators = self.operators.as_ref().map_or(f64::INFINITY, Operators::next);
        let wake = parts.into_iter().fold(wake, f64::min).min(operators);
        self.out.effects.push(Effect::Wake(wake));
    }

    /// The one place where what is kept by host is given back.
    fn give_back_names(&mut self) {
        let named = |host: &api::HostId| self.calls.names(*host) || self.news.names(*host);
        let (kept, over): (_, BTreeSet<api::HostId>) =
            std::mem::take(&mut self.forgotten).into_iter().partition(named);
        self.forgotten = kept;
        for host in over {
            self.list.forget(host);
            self.names.forget(host);
            self.out.counters.hosts_forgotten += 1;
        }
    }

    fn counters_of(&mut self, inputs: &[api::Input]) {
        for input in inputs {
            match input {
                api::Input::Joined { .. } => self.out.counters.proxies_joined += 1,
                api::Input::Left(_) => self.out.counters.proxies_left += 1,
                api::Input::Given(_) => self.out.counters.slices_given += 1,
                api::Input::Taken(_) => self.out.counters.slices_taken += 1,
                api::Input::Applied { .. } => self.out.counters.receipts += 1,
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, now: f64, orders: Vec<api::Order>) {
        let mut call = Vec::new();
        for order in orders {
            match order {
                api::Order::WakeAt { wake, at } => self.wakes.push((at, wake)),
                api::Order::Log { text, hosts } => {
                    let text = self.names.said(&text, &hosts);
                    self.out.tell(format!("decided: {text}"));
                }
                api::Order::Probe(host) => self.probe(now, host),
                api::Order::Follow(_) => {}
                api::Order::Forget(host) => _ = self.forgotten.insert(host),
                api::Order::FetchList => self.list.ask_whole(now, &mut self.out),
                api::Order::Bind { .. } | api::Order::Tell { .. } => self.out.counters.orders_unknown += 1,
                order => {
                    if let (Some(operators), api::Order::Line { slice, .. }) = (&mut self.operators, &order) {
                        operators.ordered(now, *slice);
                    }
                    call.extend(self.told(order));
                }
            }
        }
        self.out.counters.orders_given += call.len() as u64;
        self.calls.give(call);
    }

    fn probe(&mut self, now: f64, host: api::HostId) {
        match self.list.address(host) {
            Some(address) => {
                self.out.counters.probes_sent += 1;
                self.out.effects.push(Effect::Probe { host, address, path: self.probe_path });
            }
            // Nobody has told where it is, so it cannot be reached.
            None => self.probed(now, host, ProbeEnd::Unreachable, 0.0, b""),
        }
    }

    /// The order as it stands in a call.
    fn told(&self, order: api::Order) -> Option<Told> {
        let name = |host| self.names.host_name(host);
        let (aim, order, weight) = match &order {
            api::Order::Line { slice, host, weight } => {
                let line = Order::Line { slice: slice.0, host: name(*host), weight: *weight };
                (Aim::Line(*slice, *host), line, *weight)
            }
            api::Order::Clear(slice) => (Aim::Clear(*slice), Order::Clear { slice: slice.0 }, 0.0),
            api::Order::Withdraw { host, out: true } => {
                (Aim::Withdraw(*host), Order::Out { host: name(*host) }, 0.0)
            }
            api::Order::Withdraw { host, out: false } => {
                (Aim::Withdraw(*host), Order::In { host: name(*host) }, 0.0)
            }
            api::Order::Admit { scope, routes, level, retry } => {
                let slice = match scope {
                    api::Scope::Slice(slice) => Some(*slice),
                    api::Scope::Everywhere => None,
                };
                let again = match retry {
                    api::Retry::Never => Again::Never,
                    api::Retry::IfNeverRan => Again::IfNeverRan,
                    api::Retry::Once => Again::Once,
                    api::Retry::Twice => Again::Twice,
                };
                let named = routes.iter().map(|route| self.names.route_name(*route)).collect();
                let order =
                    Order::Admit { slice: slice.map(|slice| slice.0), routes: named, level: *level, again };
                (Aim::Admit(slice, routes.clone()), order, 0.0)
            }
            api::Order::Mark { mark, all } => {
                (Aim::Mark(*mark), Order::Mark { mark: mark.0, all: *all }, 0.0)
            }
            _ => return None,
        };
        Some(Told { aim, weight, text: order.text() })
    }
}
