//! All proxies of a large deployment join one director at the same time.

use super::{host_entry, host_list, lines, CONFIG, UPDATES_LINK};
use crate::reducer::{Effect, Event, LinkId, Reducer};
use coppersail_protocol::config::Config;
use std::collections::VecDeque;

const PROXIES: usize = 400;
const SLICES: usize = 190;
const HOSTS: usize = 30;
/// Lines that pass the channel to the proxies in a second.
const LINES_PER_S: f64 = 60_000.0;
/// Lines that may wait in the channel.
const BACKLOG: f64 = 120_000.0;
/// Lines that each message costs on top of its orders.
const OVERHEAD: f64 = 12.0;
const STEPS_PER_SECOND: f64 = 20.0;
const STEPS: u32 = 200;
/// The step in which a host begins to drain: five seconds after the start.
const DRAIN_STEP: u32 = 100;
/// The time by which the host must be withdrawn.
const DRAIN_DEADLINE_S: f64 = 5.5;
const WATCH_LINK: LinkId = LinkId(1);

/// The relay with its channel to the proxies.
struct Relay {
    snapshot: Vec<String>,
    /// Lines that wait in the channel.
    queued_lines: f64,
    max_queued_lines: f64,
    /// When the draining host was withdrawn.
    withdrawn_at: Option<f64>,
}

impl Relay {
    fn new() -> Self {
        let mut snapshot = vec!["OK".to_string()];
        for proxy in 0..PROXIES {
            snapshot.push(format!("* hello {proxy} a 1.5 0"));
        }
        for slice in 0..SLICES {
            snapshot.push(format!("* lease {slice} 1"));
            snapshot.push(format!("* line {slice} h{} 1.0", slice % HOSTS));
        }
        snapshot.push("*".to_string());
        Relay { snapshot, queued_lines: 0.0, max_queued_lines: 0.0, withdrawn_at: None }
    }

    /// Lines pass the channel for the time of one step.
    fn pass_step(&mut self) {
        self.queued_lines = f64::max(self.queued_lines - LINES_PER_S / STEPS_PER_SECOND, 0.0);
    }

    /// Carries out a call and returns the events that follow.
    fn carry_out_call(&mut self, now: f64, link: LinkId, call: &str) -> [Event; 3] {
        let orders = call.matches(';').count() + 1;
        self.queued_lines += PROXIES as f64 * (OVERHEAD + orders as f64);
        self.max_queued_lines = self.max_queued_lines.max(self.queued_lines);
        if call.contains("OUT,h3") {
            self.withdrawn_at.get_or_insert(now);
        }
        let round = call.split_once("SYNC,").and_then(|(_, rest)| rest.split(',').next()).unwrap_or("0");
        let acknowledgements: Vec<String> =
            (0..PROXIES).map(|proxy| format!("* ack {proxy} {round} 90.0")).collect();
        [
            Event::RelayLines(link, lines(&[&format!("OK {orders}")])),
            Event::EndOfBatch,
            Event::RelayLines(UPDATES_LINK, lines(&acknowledgements)),
        ]
    }

    fn handle_effect(&mut self, now: f64, effect: Effect, events: &mut VecDeque<Event>) {
        match effect {
            Effect::ConnectRelay(link, _) => events.extend([Event::RelayConnected(link), Event::EndOfBatch]),
            Effect::SendToRelay(link, bytes) if bytes.starts_with(b"txn ") => {
                let call = String::from_utf8(bytes).unwrap();
                events.extend(self.carry_out_call(now, link, &call));
            }
            Effect::SendToRelay(link, _) => {
                events.push_back(Event::RelayLines(link, lines(&self.snapshot)));
            }
            _ => {}
        }
    }
}

fn large_reducer() -> Reducer {
    let specifics = format!(
        "\"slices\":{SLICES},\"proxy-count\":{PROXIES},\"lines-per-s\":{LINES_PER_S:?},\"backlog\":{BACKLOG:?},\
         \"overhead\":{OVERHEAD:?}"
    );
    let text = CONFIG.replace("\"slices\":1,\"proxy-count\":2", &specifics);
    Reducer::new(&Config::parse(text.as_bytes()).unwrap(), 0).unwrap()
}

fn events_of_step(reducer: &Reducer, step: u32) -> VecDeque<Event> {
    let mut events = VecDeque::new();
    if step == DRAIN_STEP {
        let drain = host_list(2, false, &[host_entry("h3", "terminating", 0)]);
        events.push_back(Event::WatchLines(WATCH_LINK, lines(&[&drain])));
    }
    if step == 0 {
        events.push_back(Event::RelayConnected(UPDATES_LINK));
    }
    events.push_back(Event::WatchLines(WATCH_LINK, lines(&[""])));
    events.extend([Event::TimerFired, Event::EndOfBatch]);
    for link in (1..=reducer.outbox.last_link).map(LinkId) {
        if reducer.subscription.owns(link) {
            events.push_back(Event::RelayLines(link, lines(&["*"])));
        }
    }
    events
}

/// The director holds every slice when all proxies join at once; then a host drains.
#[test]
fn mass_joining_keeps_the_channel_backlog_short() {
    let mut reducer = large_reducer();
    let mut relay = Relay::new();
    let hosts: Vec<String> =
        (0..HOSTS).map(|host| host_entry(&format!("h{host}"), "in_service", 0)).collect();
    let list = host_list(1, true, &hosts);
    reducer.reduce(0.0, Event::EndOfBatch);
    reducer.reduce(0.0, Event::WatchLines(WATCH_LINK, lines(&[&list])));
    for step in 0..STEPS {
        let now = f64::from(step) / STEPS_PER_SECOND;
        relay.pass_step();
        let mut events = events_of_step(&reducer, step);
        while let Some(event) = events.pop_front() {
            for effect in reducer.reduce(now, event) {
                relay.handle_effect(now, effect, &mut events);
            }
        }
    }
    let max_queued_lines = relay.max_queued_lines;
    assert_eq!(reducer.outbox.counters.proxies_joined, PROXIES as u64);
    assert!(max_queued_lines > 0.1 * BACKLOG && max_queued_lines < BACKLOG, "{max_queued_lines}");
    let withdrawn_at = relay.withdrawn_at;
    assert!(
        withdrawn_at.is_some_and(|at| at < DRAIN_DEADLINE_S),
        "the drain is ordered in time: {withdrawn_at:?}"
    );
}
