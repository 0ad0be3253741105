//! Every message truncated at every byte.

use super::{host_entry, host_list, new_reducer, JOIN_LINE};
use crate::framing::FramedLine;
use crate::reducer::{ConnectionId, Event, LinkId, Reducer};

const COLLECTOR: ConnectionId = ConnectionId(0);
/// How many of the newest outgoing connections receive a message.
const RECENT_LINKS: usize = 6;
const STEP_S: f64 = 0.5;

const ATTEMPTS: &str =
    r#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"avg":1.0,"window":1.0,"report":{"q":1}}"#;
const RELAY_LINES: [&str; 5] =
    ["* hello 1 a 2.0 1", "* lease 0 1", "* line 0 h 1.0", "* ack 1 2 3.0", "OK 3"];

#[test]
fn reducer_survives_messages_truncated_at_any_byte() {
    let mut reducer = new_reducer();
    let list = host_list(3, true, &[host_entry("h", "in_service", 9)]);
    reducer.reduce(0.0, Event::Accepted(COLLECTOR));
    reducer.reduce(0.0, Event::Received(COLLECTOR, JOIN_LINE.to_vec()));
    let mut now = 0.0;
    for message in [list.as_str(), ATTEMPTS].into_iter().chain(RELAY_LINES) {
        for end in (0..=message.len()).rev() {
            deliver_everywhere(&mut reducer, now, &message.as_bytes()[..end]);
            now += STEP_S;
        }
    }
    assert!(reducer.outbox.counters.lists > 0);
    assert!(reducer.outbox.counters.sums_of_tries > 0);
    assert!(reducer.outbox.counters.slices_given > 0);
}

/// Delivers a message to the collector's connection, to a new one and to all outgoing connections that may be in use.
fn deliver_everywhere(reducer: &mut Reducer, now: f64, message: &[u8]) {
    reducer.reduce(now, Event::EndOfBatch);
    let line = vec![FramedLine::Line(message.to_vec())];
    reducer.reduce(now, Event::Received(COLLECTOR, [message, b"\n"].concat()));
    let new = ConnectionId(message.len() as u64 + 1);
    reducer.reduce(now, Event::Accepted(new));
    reducer.reduce(now, Event::Received(new, message.to_vec()));
    reducer.reduce(now, Event::Accepted(COLLECTOR));
    reducer.reduce(now, Event::Received(COLLECTOR, JOIN_LINE.to_vec()));
    // Link ids start at 1. Some messages close their connection, and its successor gets a new id, so the newest are
    // used.
    for link in (0..=reducer.outbox.last_link).rev().take(RECENT_LINKS).map(LinkId) {
        reducer.reduce(now, Event::RelayConnected(link));
        reducer.reduce(now, Event::RelayLines(link, line.clone()));
        reducer.reduce(now, Event::WatchLines(link, line.clone()));
    }
}
