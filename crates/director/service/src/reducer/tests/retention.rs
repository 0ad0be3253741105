//! State of hosts and connections that are gone is released.

use super::{host_entry, host_list, lines, CONFIG, DEMAND_LINE, JOIN_LINE};
use crate::reducer::{ConnectionId, Effect, Event, LinkId, ProbeOutcome, Reducer};
use coppersail_protocol::config::Config;
use std::collections::VecDeque;

const STEPS_PER_SECOND: i32 = 5;
/// Each second a host is added, and the one that was added this many seconds before is removed.
const HOST_LIFETIME_S: i32 = 4;
/// How many of the newest connections are searched for update streams.
const RECENT_LINKS: usize = 9;
/// Most entries that may be kept of any kind.
const MAX_KEPT: usize = 50;

/// Handles an event with a relay and hosts that answer every effect at once and successfully.
fn reduce_with_peers(reducer: &mut Reducer, now: f64, event: Event) {
    let mut events = VecDeque::from([event, Event::EndOfBatch]);
    while let Some(event) = events.pop_front() {
        for effect in reducer.reduce(now, event) {
            if let Some(answer) = answer(effect) {
                events.extend([answer, Event::EndOfBatch]);
            }
        }
    }
}

fn answer(effect: Effect) -> Option<Event> {
    match effect {
        Effect::ConnectRelay(link, _) => Some(Event::RelayConnected(link)),
        Effect::SendToRelay(link, bytes) if bytes.starts_with(b"txn ") => {
            let orders = bytes.iter().filter(|byte| **byte == b';').count() + 1;
            Some(Event::RelayLines(link, lines(&[&format!("OK {orders}")])))
        }
        Effect::SendToRelay(link, _) => {
            let snapshot = ["OK", "* hello 0 a 5.0 0", "* lease 0 1", "* line 0 h0 1.0", "*"];
            Some(Event::RelayLines(link, lines(&snapshot)))
        }
        Effect::StartProbe { host, .. } => Some(Event::ProbeFinished {
            host,
            outcome: ProbeOutcome::Status(200),
            duration: 0.01,
            body: Vec::new(),
        }),
        _ => None,
    }
}

/// Lists a new host as in service and an older one as terminated.
fn replace_host(reducer: &mut Reducer, now: f64, second: i32) {
    let entries = [
        host_entry(&format!("h{second}"), "in_service", 0),
        host_entry(&format!("h{}", second - HOST_LIFETIME_S), "terminated", 0),
    ];
    let list = host_list(second as usize + 1, false, &entries);
    let mut links = (1..=reducer.outbox.last_link).rev().map(LinkId);
    let watch = links.find(|link| reducer.discovery.owns(*link)).expect("a watch");
    reduce_with_peers(reducer, now, Event::WatchLines(watch, lines(&[&list])));
}

/// A collector joins and reports; every second one closes its connection.
fn connect_collector(reducer: &mut Reducer, now: f64, second: i32) {
    let conn = ConnectionId(second as u64);
    reduce_with_peers(reducer, now, Event::Accepted(conn));
    reduce_with_peers(reducer, now, Event::Received(conn, JOIN_LINE.to_vec()));
    reduce_with_peers(reducer, now, Event::Received(conn, DEMAND_LINE.to_vec()));
    if second % 2 == 0 {
        reduce_with_peers(reducer, now, Event::ConnectionClosed(conn));
    }
}

/// Delivers a line on each update stream.
fn send_update(reducer: &mut Reducer, now: f64, line: &str) {
    let links = (1..=reducer.outbox.last_link).rev().take(RECENT_LINKS).map(LinkId);
    let streams: Vec<LinkId> = links.filter(|link| reducer.subscription.owns(*link)).collect();
    for link in streams {
        reduce_with_peers(reducer, now, Event::RelayLines(link, lines(&[line])));
    }
}

/// A thousand hosts are replaced by new ones with new names, and a thousand connections come and go.
#[test]
fn replaced_hosts_and_closed_connections_leak_nothing() {
    let text = CONFIG
        .replace("\"slices\"", "\"lines-per-s\":60000.0,\"backlog\":120000.0,\"overhead\":12.0,\"slices\"");
    let mut reducer = Reducer::new(&Config::parse(text.as_bytes()).unwrap(), 0).unwrap();
    reduce_with_peers(&mut reducer, 0.0, Event::TimerFired);
    for step in 0..5000 {
        let second = step / STEPS_PER_SECOND;
        let now = f64::from(step) / f64::from(STEPS_PER_SECOND);
        if step % STEPS_PER_SECOND == 0 {
            replace_host(&mut reducer, now, second);
            connect_collector(&mut reducer, now, second);
        }
        let line = if step % 1000 == 999 { "gone" } else { "*" };
        send_update(&mut reducer, now, line);
        reduce_with_peers(&mut reducer, now, Event::TimerFired);
    }
    let kept = [
        reducer.names.host_count(),
        reducer.discovery.count(),
        reducer.forgotten.count(),
        reducer.collectors.count(),
        reducer.timers.count(),
    ];
    assert!(kept.iter().all(|count| *count < MAX_KEPT), "{kept:?}");
    assert!(reducer.outbox.counters.hosts_forgotten > 900);
    assert!(reducer.outbox.counters.orders_taken > 1000);
    let gone = br#"{"msg":"outcomes","az":"a","host":"h3","n":1,"bad":0,"avg":1.0,"window":1.0}"#;
    reducer.reduce(1000.0, Event::Received(ConnectionId(999), [&gone[..], b"\n"].concat()));
    assert!(reducer.outbox.inputs.is_empty(), "a late report for a host that is gone changes nothing");
}
