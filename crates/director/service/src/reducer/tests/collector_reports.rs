//! Peers that send messages that are not allowed, and corrupt reports.

use super::{new_reducer, DEMAND_LINE, JOIN_LINE, PROBE_LINE};
use crate::reducer::{ConnectionId, Effect, Event, Reducer};
use coppersail::interface::{Input, LoadReport, ZoneId};
use coppersail_protocol::collector::HEALTH_CHECK_RESPONSE;
use test_case::test_case;

const UNREADABLE_LINE: &[u8] = b"\x01{\"\xff\n";

const CONN: ConnectionId = ConnectionId(7);

/// A reducer that has accepted a connection at 0 s and received these bytes on it at 0.1 s, and the effects of the
/// bytes.
fn after_bytes(pieces: &[&[u8]]) -> (Reducer, Vec<Effect>) {
    let mut reducer = new_reducer();
    reducer.reduce(0.0, Event::Accepted(CONN));
    let mut effects = Vec::new();
    for piece in pieces {
        effects.extend(reducer.reduce(0.1, Event::Received(CONN, piece.to_vec())));
    }
    (reducer, effects)
}

#[test_case(&[b"GET / HTTP/1.1\r\nHost: a\r\n"] ; "HTTP")]
#[test_case(&[b"\x00\x00\x00\x20{\"msg\":"] ; "a binary length")]
#[test_case(&[&[b'{'; 1025]] ; "a line that is too long")]
#[test_case(&[b"{\"msg\":\n"] ; "half a message")]
#[test_case(&[DEMAND_LINE] ; "a report")]
#[test_case(&[PROBE_LINE, DEMAND_LINE] ; "a report after a liveness probe")]
#[test_case(&[b"txn OUT,h1\r\n"] ; "an order")]
#[test_case(&[b"{\"msg\":\"agent\",\"az\":\"b\"}\n"] ; "an unknown zone")]
#[test_case(&[b"{\"msg\":\"agent\"}\n"] ; "no zone")]
#[test_case(&[b"{\"msg\":\"hello\",\"az\":\"a\",\"sidecar\":0,\"share\":1.0}\n", JOIN_LINE] ; "a proxy")]
fn anything_but_joining_closes_a_new_connection(pieces: &[&[u8]]) {
    let (mut reducer, effects) = after_bytes(pieces);
    assert!(effects.contains(&Effect::CloseConnection(CONN)), "{effects:?}");
    assert!(reducer.outbox.inputs.is_empty());
    assert_eq!(reducer.collectors.count(), 0);
    assert_eq!(
        reducer.reduce(0.2, Event::Received(CONN, DEMAND_LINE.to_vec())),
        [],
        "later bytes are ignored"
    );
}

#[test_case(&[], true ; "that sends nothing")]
#[test_case(&[&JOIN_LINE[..9]], true ; "that sends half a message")]
#[test_case(&[PROBE_LINE], true ; "that sends a liveness probe and stays")]
#[test_case(&[PROBE_LINE, &JOIN_LINE[..9], &JOIN_LINE[9..]], false ; "that joins in pieces")]
fn peer_that_never_joins_is_dropped_after_a_second(pieces: &[&[u8]], dropped: bool) {
    let (mut reducer, effects) = after_bytes(pieces);
    assert_eq!(
        effects.contains(&Effect::SendToConnection(CONN, HEALTH_CHECK_RESPONSE)),
        pieces.contains(&PROBE_LINE)
    );
    assert!(!effects.contains(&Effect::CloseConnection(CONN)));
    let before = reducer.reduce(0.9, Event::EndOfBatch);
    assert!(matches!(before.last(), Some(Effect::SetTimer(at)) if *at <= 1.0));
    assert_eq!(reducer.reduce(1.0, Event::EndOfBatch).contains(&Effect::CloseConnection(CONN)), dropped);
}

#[test]
fn probe_from_a_collector_gets_no_answer() {
    let (reducer, effects) = after_bytes(&[JOIN_LINE, PROBE_LINE, DEMAND_LINE]);
    assert!(effects.is_empty(), "{effects:?}");
    assert_eq!(reducer.outbox.inputs.len(), 1);
}

#[test_case(&[UNREADABLE_LINE, UNREADABLE_LINE, DEMAND_LINE, UNREADABLE_LINE, UNREADABLE_LINE, DEMAND_LINE], None ; "some unreadable lines")]
#[test_case(&[b"{\"msg\":\"hot\"}\n", b"{\"msg\":\"hot\"}\n", b"{\"msg\":\"hot\"}\n", DEMAND_LINE], None ; "messages with invalid fields")]
#[test_case(&[DEMAND_LINE, UNREADABLE_LINE, UNREADABLE_LINE, UNREADABLE_LINE], Some(0.1) ; "consecutive unreadable lines")]
#[test_case(&[DEMAND_LINE, b"\x01\x02"], Some(0.6) ; "an unreadable line that does not end")]
#[test_case(&[DEMAND_LINE, b"\x01", &[b'x'; 20_000]], Some(0.1) ; "a long unreadable line")]
fn stream_that_stays_unreadable_is_closed(pieces: &[&[u8]], at: Option<f64>) {
    let (mut reducer, mut effects) = after_bytes(&[&[JOIN_LINE], pieces].concat());
    for now in [0.1, 0.6, 5.0] {
        effects.extend(reducer.reduce(now, Event::EndOfBatch));
        assert_eq!(effects.contains(&Effect::CloseConnection(CONN)), at.is_some_and(|at| now >= at), "{now}");
    }
    let reports = pieces.iter().filter(|piece| **piece == DEMAND_LINE).count();
    assert_eq!(reducer.outbox.counters.sums_of_calls, reports as u64, "the valid reports are used");
}

/// Fields of a valid report of attempts, and their values as JSON.
const ATTEMPTS: [(&str, &str); 8] = [
    ("msg", "\"outcomes\""),
    ("az", "\"a\""),
    ("host", "\"h\""),
    ("n", "2"),
    ("bad", "1"),
    ("avg", "40.0"),
    ("window", "1000.0"),
    ("report", "{\"q\":1.0,\"lat_ms\":30.0}"),
];

/// Fields of a valid report of demand.
const DEMAND: [(&str, &str); 6] = [
    ("msg", "\"hot\""),
    ("partition", "0"),
    ("kind", "\"r\""),
    ("n", "2"),
    ("bad", "1"),
    ("window", "1000.0"),
];

/// Corrupt values that were observed on sockets; an empty one stands for a missing field.
const CORRUPT_VALUES: [&str; 10] =
    ["", "-3", "1e30", "38654705664", "\"nan\"", "\"\"", "\"s-zz\"", "[1]", "{}", "true"];

#[test]
fn corrupt_field_reaches_no_measurement() {
    for report in [&ATTEMPTS[..], &DEMAND] {
        for corrupt_value in CORRUPT_VALUES {
            for corrupt_field in 0..report.len() {
                check_corrupt_field(report, corrupt_field, corrupt_value);
            }
        }
    }
}

fn check_corrupt_field(report: &[(&str, &str)], corrupt_field: usize, corrupt_value: &str) {
    let name = report[corrupt_field].0;
    let mut fields = report.to_vec();
    fields[corrupt_field] = if corrupt_value.is_empty() { ("x", "0") } else { (name, corrupt_value) };
    let fields: Vec<String> = fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    let line = format!("{{{}}}\n", fields.join(","));
    let (mut reducer, _) = after_bytes(&[JOIN_LINE]);
    let host = reducer.names.host_id("h");
    reducer.reduce(0.1, Event::Received(CONN, [line.as_bytes(), DEMAND_LINE].concat()));
    let mut inputs = reducer.outbox.inputs;
    let following = inputs.pop();
    assert!(
        matches!(following, Some(Input::SliceDemand { requests: 4, .. })),
        "the line after {line} is used"
    );
    // If the load report is corrupt, the rest of the report is used.
    let without_load = Input::AttemptStats {
        host,
        zone: ZoneId(0),
        window: 1.0,
        attempts: 2,
        dropped: 1,
        mean_response_time: 0.04,
        load: LoadReport::default(),
    };
    let expected = if name == "report" { vec![without_load] } else { vec![] };
    assert_eq!(inputs, expected, "{line}");
}
