//! One simulated run of the reducer, the channel and the hosts, in steps of `STEP_S`.

use super::super::{host_entry, host_list, lines, CONFIG};
use super::channel::Channel;
use super::random::Random;
use super::scenario::{CallFate, Exodus, Scenario, HOSTS, MAX_MESSAGES, MESSAGE_WINDOW_S, OVERHEAD, SLICES};
use crate::reducer::{Effect, Event, LinkId, ProbeOutcome, Reducer};
use coppersail_protocol::config::Config;
use std::collections::{BTreeMap, VecDeque};

const STEP_S: f64 = 0.02;
const STEPS_PER_SECOND: usize = 50;
/// Steps of each second at which the relay sends a keep-alive, discovery sends one, and a host is replaced.
const RELAY_KEEP_ALIVE_STEP: usize = 0;
const DISCOVERY_KEEP_ALIVE_STEP: usize = 25;
const REPLACEMENT_STEP: usize = 10;
/// Seconds until a host that drains has terminated.
const DRAIN_S: usize = 2;
/// Calls with a fault that are nevertheless carried out, in percent.
const CARRIED_OUT_PERCENT: u32 = 70;
/// Maximum delay of an answer.
const MAX_ANSWER_DELAY_S: f64 = 0.05;
/// Time over which the return of proxies is spread.
const RETURN_SPREAD_S: f64 = 0.6;
const WATCH_LINK: LinkId = LinkId(1);
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The measurements of a run.
#[derive(Debug)]
pub(super) struct Measured {
    /// Most lines that were queued in the channel.
    pub(super) max_queued_lines: f64,
    /// Most messages to a proxy within the window.
    pub(super) max_messages: usize,
    /// Drained hosts that a table still names at the end, and that were not withdrawn.
    pub(super) missed: Vec<String>,
    /// The longest time in seconds from a drain to the withdrawal of its host, if a table named the host; also from
    /// the assignment of a slice whose table names a drained host until the host is withdrawn or no table names it.
    pub(super) slowest_drain_s: f64,
    /// Bytes of the longest call.
    pub(super) longest_call: usize,
}

/// A drained host that the director has to withdraw, since its drain or since the assignment of a slice with it.
struct Drain {
    since: f64,
    host: String,
}

struct TimedEvent {
    at: f64,
    event: Event,
}

struct ReturningProxy {
    at: f64,
    proxy: u16,
}

struct Run<'a> {
    scenario: &'a Scenario,
    config: Config,
    random: Random,
    reducer: Reducer,
    channel: Channel,
    /// Entries of the hosts in the list of discovery.
    hosts: BTreeMap<usize, String>,
    list_version: usize,
    events: VecDeque<Event>,
    /// Answers that are in transit.
    answers: Vec<TimedEvent>,
    /// The scenario's exoduses that have not happened.
    exoduses: Vec<Exodus>,
    returning: Vec<ReturningProxy>,
    /// How many of the scenario's stream breaks have happened.
    breaks_done: usize,
    drains: Vec<Drain>,
    /// Drained hosts in slices that were taken over.
    taken_over: Vec<Drain>,
    slowest_drain_s: f64,
}

/// Runs a scenario.
pub(super) fn run(scenario: &Scenario) -> Measured {
    let mut run = Run::new(scenario);
    for step in 0..(scenario.end / STEP_S) as usize {
        run.step(step);
    }
    run.measured()
}

fn configuration(scenario: &Scenario) -> Config {
    let max_messages = if scenario.limits_messages { MAX_MESSAGES } else { 0 };
    let specifics = format!(
        "\"slices\":{},\"proxy-count\":{},\"lines-per-s\":{:?},\"backlog\":{:?},\"overhead\":{OVERHEAD:?},\
         \"transit-max-ns\":500000000,\"reloads-max\":{max_messages},\"update-window-ns\":{}",
        5 * SLICES,
        scenario.proxies,
        scenario.lines_per_s(),
        scenario.stated_backlog * scenario.backlog(),
        (MESSAGE_WINDOW_S * NANOSECONDS_PER_SECOND) as u64
    );
    let text = CONFIG.replace("\"slices\":1,\"proxy-count\":2", &specifics);
    Config::parse(text.as_bytes()).unwrap()
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let config = configuration(scenario);
        let mut hosts = BTreeMap::new();
        for host in 0..HOSTS {
            hosts.insert(host, host_entry(&scenario.host_name(host), "in_service", 0));
        }
        let mut run = Run {
            scenario,
            random: Random::new(scenario.seed),
            reducer: Reducer::new(&config, 0).unwrap(),
            config,
            channel: Channel::new(scenario),
            hosts,
            list_version: 1,
            events: VecDeque::new(),
            answers: Vec::new(),
            exoduses: scenario.exoduses.clone(),
            returning: Vec::new(),
            breaks_done: 0,
            drains: Vec::new(),
            taken_over: Vec::new(),
            slowest_drain_s: 0.0,
        };
        run.events = VecDeque::from([Event::EndOfBatch, run.full_list()]);
        run
    }

    fn full_list(&self) -> Event {
        let entries: Vec<String> = self.hosts.values().cloned().collect();
        Event::WatchLines(WATCH_LINK, lines(&[&host_list(self.list_version, true, &entries)]))
    }

    fn step(&mut self, step: usize) {
        let now = step as f64 * STEP_S;
        let has_faults = now < self.scenario.faults_end;
        let passed_lines = STEP_S * self.scenario.speed(now) * self.scenario.lines_per_s();
        let lost_acknowledgements = if has_faults { self.scenario.lost_acknowledgements } else { 0 };
        self.channel.pass(now, passed_lines, lost_acknowledgements, &mut self.random);
        if step % STEPS_PER_SECOND == REPLACEMENT_STEP && has_faults {
            self.replace_host(now, step / STEPS_PER_SECOND);
        }
        if self.scenario.restart.is_some_and(|at| now >= at && at > now - STEP_S) {
            self.restart(now);
        }
        self.move_proxies(now);
        self.move_slices(now);
        self.break_streams(now);
        if step % STEPS_PER_SECOND == RELAY_KEEP_ALIVE_STEP {
            self.channel.publish(now, &mut self.random, "*");
        }
        if step % STEPS_PER_SECOND == DISCOVERY_KEEP_ALIVE_STEP {
            self.events.push_back(Event::WatchLines(WATCH_LINK, lines(&[""])));
        }
        self.collect_due_events(now);
        while let Some(event) = self.events.pop_front() {
            for effect in self.reducer.reduce(now, event) {
                self.handle_effect(now, effect);
            }
        }
        self.measure_taken_over(now);
    }

    /// Part of a release: a host drains, another one starts, and the one that has drained is gone.
    fn replace_host(&mut self, now: f64, second: usize) {
        let name = self.scenario.host_name(second);
        let draining = host_entry(&name, "terminating", 0);
        self.drains.push(Drain { since: now, host: name });
        let started_ms = (MILLISECONDS_PER_SECOND * now) as u64;
        let started = host_entry(&self.scenario.host_name(second + HOSTS), "in_service", started_ms);
        self.hosts.insert(second, draining.clone());
        self.hosts.insert(second + HOSTS, started.clone());
        let mut changes = vec![draining, started];
        if second >= DRAIN_S {
            let gone = second - DRAIN_S;
            changes.push(host_entry(&self.scenario.host_name(gone), "terminated", 0));
            self.hosts.remove(&gone);
        }
        self.list_version = 2 + second;
        let list = host_list(self.list_version, false, &changes);
        self.events.push_back(Event::WatchLines(WATCH_LINK, lines(&[&list])));
    }

    /// The director loses its state, and its time for drains starts again.
    fn restart(&mut self, now: f64) {
        self.measure_drains();
        for drain in &mut self.drains {
            drain.since = now;
        }
        self.reducer = Reducer::new(&self.config, 0).unwrap();
        self.channel.restart();
        self.answers.clear();
        self.taken_over.clear();
        self.events = VecDeque::from([Event::EndOfBatch, self.full_list()]);
    }

    /// Proxies leave together and come back one by one.
    fn move_proxies(&mut self, now: f64) {
        let scenario = self.scenario;
        let (due, later) =
            std::mem::take(&mut self.exoduses).into_iter().partition(|exodus| exodus.at <= now);
        self.exoduses = later;
        let due: Vec<Exodus> = due;
        for exodus in due {
            for proxy in 0..scenario.proxies {
                if self.random.percent(exodus.percent) {
                    self.channel.leave(now, proxy, scenario.keeps_lines_of_leavers, &mut self.random);
                    let at = now + exodus.away_s + RETURN_SPREAD_S * self.random.share();
                    self.returning.push(ReturningProxy { at, proxy });
                }
            }
        }
        let (back, away) = std::mem::take(&mut self.returning).into_iter().partition(|proxy| proxy.at <= now);
        self.returning = away;
        let back: Vec<ReturningProxy> = back;
        for returning in back {
            self.channel.join(now, returning.proxy, &mut self.random);
        }
    }

    /// Slices of other directors are assigned to this one and revoked again.
    fn move_slices(&mut self, now: f64) {
        let is_handed_back = self.scenario.handback.is_some_and(|at| now >= at);
        if is_handed_back && self.channel.has_taken_over() {
            self.channel.hand_back(now, &mut self.random);
        }
        let is_taken_over = self.scenario.takeover.is_some_and(|at| now >= at) && !is_handed_back;
        if is_taken_over && !self.channel.has_taken_over() {
            // Their tables still name the hosts that have drained.
            for drain in &self.drains {
                self.taken_over.push(Drain { since: now, host: drain.host.clone() });
            }
            self.channel.take_over(now, self.scenario, &mut self.random);
        }
    }

    /// Breaks all update streams, at most once per step.
    fn break_streams(&mut self, now: f64) {
        if self.scenario.stream_breaks.get(self.breaks_done).is_some_and(|at| *at <= now) {
            self.breaks_done += 1;
            for link in self.channel.break_streams() {
                self.events.push_back(Event::RelayDisconnected(link, "broken".to_string()));
            }
        }
    }

    fn collect_due_events(&mut self, now: f64) {
        for (link, updates) in self.channel.due_updates(now) {
            self.events.push_back(Event::RelayLines(link, lines(&updates)));
        }
        let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.at <= now);
        self.answers = later;
        let due: Vec<TimedEvent> = due;
        self.events.extend(due.into_iter().map(|answer| answer.event));
        self.events.extend([Event::TimerFired, Event::EndOfBatch]);
    }

    fn answer(&mut self, at: f64, event: Event) {
        self.answers.push(TimedEvent { at, event });
    }

    fn handle_effect(&mut self, now: f64, effect: Effect) {
        match effect {
            Effect::ConnectRelay(link, _) => self.answer(now + STEP_S, Event::RelayConnected(link)),
            Effect::CloseRelay(link) => self.channel.close_stream(link),
            Effect::StartProbe { host, .. } => {
                let outcome = ProbeOutcome::Status(200);
                self.answer(
                    now + STEP_S,
                    Event::ProbeFinished { host, outcome, duration: 0.01, body: vec![] },
                );
            }
            Effect::SendToRelay(link, bytes) if bytes.starts_with(b"txn ") => {
                let call = String::from_utf8(bytes).unwrap();
                self.carry_out_call(now, link, &call);
            }
            Effect::SendToRelay(link, _) => {
                let snapshot = self.channel.subscribe(link);
                self.events.extend([Event::RelayLines(link, lines(&snapshot)), Event::EndOfBatch]);
            }
            _ => {}
        }
    }

    fn carry_out_call(&mut self, now: f64, link: LinkId, call: &str) {
        let fate = self.scenario.call_fate(now, &mut self.random);
        let is_carried_out = self.random.percent(CARRIED_OUT_PERCENT);
        if fate == CallFate::Throttled {
            self.answer(now, Event::RelayLines(link, lines(&["Throttling"])));
            return;
        }
        let answer = if is_carried_out || fate == CallFate::Answered {
            self.channel.carry_out(now, call)
        } else {
            String::new()
        };
        match fate {
            CallFate::Answered => {
                let at = now + MAX_ANSWER_DELAY_S * self.random.share();
                self.answer(at, Event::RelayLines(link, lines(&[&answer])));
            }
            CallFate::Unanswered | CallFate::Throttled => {}
            CallFate::Broken => self.answer(now, Event::RelayDisconnected(link, "reset".to_string())),
            CallFate::Corrupt => self.answer(now, Event::RelayLines(link, lines(&["O?"]))),
        }
    }

    /// Measures drained hosts in slices that were taken over, once they are withdrawn or unused.
    fn measure_taken_over(&mut self, now: f64) {
        let channel = &self.channel;
        let mut slowest = self.slowest_drain_s;
        self.taken_over.retain(|drain| {
            let is_done = channel.is_withdrawn_or_unused(drain.since, &drain.host);
            if is_done {
                slowest = slowest.max(now - drain.since);
            }
            !is_done
        });
        self.slowest_drain_s = slowest;
    }

    /// Updates the longest time from a drain to the withdrawal of its host.
    fn measure_drains(&mut self) {
        for drain in &self.drains {
            if let Some(first) = self.channel.first_withdrawal(&drain.host) {
                self.slowest_drain_s = self.slowest_drain_s.max(first - drain.since);
            }
        }
    }

    fn measured(mut self) -> Measured {
        self.measure_drains();
        let missed = self.drains.iter().filter(|drain| self.channel.is_missed(&drain.host));
        let missed = missed.chain(&self.taken_over).map(|drain| drain.host.clone()).collect();
        Measured {
            max_queued_lines: self.channel.max_queued_lines,
            max_messages: self.channel.max_messages,
            missed,
            slowest_drain_s: self.slowest_drain_s,
            longest_call: self.channel.longest_call,
        }
    }
}
