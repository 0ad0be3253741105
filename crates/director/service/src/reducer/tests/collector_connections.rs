//! Accepted connections at the limits of their number and of their buffered bytes.

use crate::framing::FramedLine;
use crate::reducer::collector_connections::{CollectorConnections, Sender};
use crate::reducer::outbox::Outbox;
use crate::reducer::{ConnectionId, Effect};
use coppersail::interface::ZoneId;
use coppersail_protocol::collector::HEALTH_CHECK_RESPONSE;
use test_case::test_case;

/// Connections with these ids, accepted at time 0. The limits are four connections, and buffers for one and a half
/// lines of the maximum length.
fn accepted_connections(ids: &[u64]) -> (CollectorConnections, Outbox) {
    let mut connections = CollectorConnections::new(4, 3 << 19);
    let mut outbox = Outbox::default();
    for id in ids {
        connections.accepted(0.0, ConnectionId(*id), &mut outbox);
    }
    (connections, outbox)
}

/// Ids of the connections that were closed, in order.
fn dropped_connections(outbox: &Outbox) -> Vec<u64> {
    let drop = |effect: &Effect| if let Effect::CloseConnection(conn) = effect { Some(conn.0) } else { None };
    outbox.effects.iter().filter_map(drop).collect()
}

#[test]
fn flood_of_connections_evicts_no_collector_and_no_peer_before_its_grace_time() {
    let (mut connections, mut outbox) = accepted_connections(&[1, 2, 3, 4]);
    connections.joined(0.0, ConnectionId(1), ZoneId(0), &mut outbox);
    connections.poll(0.1, &mut outbox);
    assert_eq!(outbox.effects, [Effect::SetAccepting(false)], "no peer may be evicted yet");
    connections.answer(ConnectionId(3), HEALTH_CHECK_RESPONSE, &mut outbox);
    connections.poll(0.1, &mut outbox);
    assert_eq!(dropped_connections(&outbox), [3], "its probe is answered");
    assert_eq!(outbox.effects.last(), Some(&Effect::SetAccepting(true)));
    connections.accepted(0.2, ConnectionId(5), &mut outbox);
    connections.poll(0.25, &mut outbox);
    assert_eq!(dropped_connections(&outbox), [3, 2], "the oldest one that has sent nothing");
}

#[test]
fn longest_silent_collector_is_evicted_if_collectors_use_all_connections() {
    let (mut connections, mut outbox) = accepted_connections(&[1, 2, 3, 4]);
    for id in 1..=4u32 {
        connections.joined(f64::from(id), ConnectionId(id.into()), ZoneId(0), &mut outbox);
    }
    for id in 1..=4u32 {
        let last_activity = 5.0 - f64::from(id);
        connections.next_line(last_activity, ConnectionId(id.into()), &mut &b" "[..], &mut outbox);
    }
    connections.poll(5.0, &mut outbox);
    assert_eq!(dropped_connections(&outbox), [4], "the one that was silent longest");
}

#[test_case(9.0, &[] ; "that was active recently")]
#[test_case(11.0, &[1] ; "that was silent for long")]
fn returning_collector_replaces_its_stale_connection(at: f64, expected: &[u64]) {
    let (mut connections, mut outbox) = accepted_connections(&[1]);
    connections.joined(0.0, ConnectionId(1), ZoneId(0), &mut outbox);
    connections.accepted(at, ConnectionId(2), &mut outbox);
    connections.joined(at, ConnectionId(2), ZoneId(0), &mut outbox);
    assert_eq!(dropped_connections(&outbox), expected);
}

#[test]
fn incomplete_lines_stay_within_their_memory_limit() {
    let (mut connections, mut outbox) = accepted_connections(&[1, 2]);
    let long = [&b"{\"msg\":\""[..], &[b'x'; 1 << 20][..(1 << 20) - 100]].concat();
    let lines = [1, 2].map(|conn| {
        connections.joined(0.0, ConnectionId(conn), ZoneId(0), &mut outbox);
        connections.next_line(0.1, ConnectionId(conn), &mut &long[..], &mut outbox)
    });
    assert_eq!(lines, [None, Some((Sender::Joined, FramedLine::TooLong))]);
    let completed = connections.next_line(0.1, ConnectionId(1), &mut &b"\"}\n"[..], &mut outbox);
    assert!(completed.is_some_and(|(_, line)| line != FramedLine::TooLong));
}
