//! The operators' bench writes and reads these bytes; a change here breaks the adapter against every bench.
use coppersail_bench_codec::{write_reply, Event, Order, Reader, ALL_SLICES};
use std::fmt::Write;

/// Every event, in the order of its fields when it is written.
const EVENTS: [&str; 15] = [
    "CONFIGURE who=3 init-seed=7 az=b kinds=k zones=a,b classes.count=1 classes.0.name=r",
    "MEMBERS who=3 scope=0 rev=4 members-list=1",
    "ITEM sku=k born-ns=6100000000 host=10.0.0.1:80 w=1.5 block=0 rack-zone=b status=3",
    "HEAT who=3 covers-ns=9 grade=r bad=0 many=4 table=7",
    "TENURE who=3 set=1 table=7",
    "STOP who=3",
    "REMINDER who=3 ref=9",
    "CHECKED_IN who=3 proxy=41 rack-zone=b w=6.5 set=1",
    "CURRENT_OWNER who=3 table=7 w=0.25 host=10.0.0.1:80",
    "DATAGRAM who=3 src=1 octets=68692037",
    "PONG who=3 host=h:1 outcome=success time-taken-ns=5 telemetry=q:3,lat_ms:210.5",
    "RECEIPT who=3 proxy=41 time-taken-ns=5 rev=17",
    "DROPPED_OFF who=3 proxy=41",
    "INTAKE who=3 proxy=41 grade=r many=14 bad=1 covers-ns=9",
    "ROUNDUP who=3 time-taken-ns=5 rack-zone=b covers-ns=9 host=h:1 many=14 bad=1 telemetry=q:3",
];

/// Every order.
const ORDERS: [&str; 13] = [
    "FOLLOW who=3 set=1",
    "GET_LIST who=3",
    "TRACE who=3 reason-text=two servers known w=1",
    "GIVE_IN who=3 reason-text=no",
    "ADMIT who=3 table=65535 only=2 level=0.75 resend=1",
    "WAKE_AT who=3 ref=9 time-ns=5",
    "SAMPLE who=3 host=h:1",
    "SIGNAL who=3 dst=* octets=-",
    "HOLD_BACK who=3 host=h:1 set=0",
    "USE_TABLE who=3 proxy=41 only=2 table=7",
    "SET_LINE who=3 host=h:1 table=117 w=0.75",
    "NONCE who=3 rev=17 set=1",
    "RESET_TABLE who=3 table=7",
];

fn event_text(line: &str) -> String {
    let mut text = String::new();
    Event::parse(line, 1).unwrap().write(&mut text);
    text
}

fn order_text(line: &str) -> String {
    let mut text = String::new();
    Order::parse(line, 1).unwrap().write(&mut text);
    text
}

#[test]
fn each_event_keeps_its_bytes() {
    for line in EVENTS {
        assert_eq!(event_text(line), line);
    }
}

#[test]
fn each_order_keeps_its_bytes() {
    for line in ORDERS {
        assert_eq!(order_text(line), line);
    }
}

#[test]
fn each_code_of_a_field_keeps_its_bytes() {
    for code in ["0", "1", "2", "3"] {
        let members = format!("MEMBERS who=3 scope={code} rev=4");
        assert_eq!(event_text(&members), members);
        let admit = format!("ADMIT who=3 table=1 only=2 level=1 resend={code}");
        assert_eq!(order_text(&admit), admit);
    }
    for code in ["1", "2", "3"] {
        let item = format!("ITEM sku=k host=h:1 w=1 block=0 rack-zone=b status={code}");
        assert_eq!(event_text(&item), item);
    }
    let outcomes =
        ["success", "failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"];
    for word in outcomes {
        let pong = format!("PONG who=3 host=h:1 outcome={word} time-taken-ns=0");
        assert_eq!(event_text(&pong), pong);
    }
    for receiver in ["*", "0", "17"] {
        let signal = format!("SIGNAL who=3 dst={receiver} octets=00ff");
        assert_eq!(order_text(&signal), signal);
    }
}

#[test]
fn a_line_break_in_a_text_is_written_as_a_space() {
    let mut text = String::new();
    let reason = coppersail_bench_codec::Text("a\nb\rc".to_string());
    Order::Log { instance: 3, reason }.write(&mut text);
    assert_eq!(text, "TRACE who=3 reason-text=a b c");
}

#[test]
fn a_reply_keeps_its_bytes() {
    let orders = [
        Order::FetchList { instance: 3 },
        Order::RequestAcknowledgement { instance: 4, version: 1, set: false },
    ];
    let mut text = String::new();
    write_reply(&orders, &mut text);
    assert_eq!(text, "GET_LIST who=3\nNONCE who=4 rev=1 set=0\nREADY\n");
    assert_eq!(ALL_SLICES, 65535);
}

#[test]
fn each_error_of_a_line_keeps_its_text() {
    let table = [
        ("HELLO who=1", "line 12: HELLO: field (first word): expected a known message"),
        ("TENURE who=x set=1 table=0", "line 12: TENURE: field who: expected a whole number"),
        ("TENURE who=1 set=2 table=0", "line 12: TENURE: field set: expected 1 or 0"),
        (
            "TENURE who=1 set=1 table=65536",
            "line 12: TENURE: field table: expected a whole number below 65536",
        ),
        (
            "MEMBERS who=1 scope=4 rev=1",
            "line 12: MEMBERS: field scope: expected 0 (delta), 1 (full), 2 (cached) or 3 (failed)",
        ),
        (
            "CHECKED_IN who=1 proxy=1 rack-zone= w=1 set=1",
            "line 12: CHECKED_IN: field rack-zone: expected a word",
        ),
        (
            "CHECKED_IN who=1 proxy=1 rack-zone=a w=nan set=1",
            "line 12: CHECKED_IN: field w: expected a number",
        ),
        (
            "DATAGRAM who=1 src=1 octets=0",
            "line 12: DATAGRAM: field octets: expected hex digits, or - if empty",
        ),
        (
            "PONG who=1 host=h outcome=x time-taken-ns=1",
            "line 12: PONG: field outcome: expected an outcome code",
        ),
        (
            "PONG who=1 host=h outcome=void time-taken-ns=1 telemetry=q",
            "line 12: PONG: field telemetry: expected name:number pairs set apart by commas",
        ),
        (
            "ITEM sku=k host=h:1 w=1 block=0 rack-zone=b status=4",
            "line 12: ITEM: field status: expected 1 (gone), 2 (draining) or 3 (ready)",
        ),
        (
            "CONFIGURE who=1 init-seed=2 specifics.pick=best",
            "line 12: CONFIGURE: field specifics.pick: expected random, rotate or p2c",
        ),
    ];
    for (line, text) in table {
        assert_eq!(Event::parse(line, 12).unwrap_err().to_string(), text);
    }
    let order = Order::parse("ADMIT who=3 table=1 only=2 level=1 resend=4", 2).unwrap_err().to_string();
    assert_eq!(order, "line 2: ADMIT: field resend: expected 0, 1, 2 or 3");
    let order = Order::parse("SIGNAL who=3 dst=all octets=-", 2).unwrap_err().to_string();
    assert_eq!(order, "line 2: SIGNAL: field dst: expected a whole number, or * for all others");
    let order = Order::parse("TRACE who=3", 2).unwrap_err().to_string();
    assert_eq!(order, "line 2: TRACE: field reason-text: expected text to the end of the line");
    let long = Event::parse(&"x".repeat(50), 1).unwrap_err().to_string();
    assert_eq!(long, format!("line 1: {}: field (first word): expected a known message", "x".repeat(40)));
}

/// All batches of an input, each as its clock, the number of events and the texts of its errors.
fn transcript(input: &[u8]) -> String {
    let mut reader = Reader::new(input);
    let mut text = String::new();
    while let Some(batch) = reader.next_batch().unwrap() {
        let (head, errors) = match batch {
            Ok(batch) => (format!("clock {} events {}", batch.clock_ns, batch.events.len()), batch.errors),
            Err(errors) => ("incomplete".to_string(), errors),
        };
        writeln!(text, "{head}").unwrap();
        for error in errors {
            writeln!(text, "  {error}").unwrap();
        }
    }
    text
}

#[test]
fn each_error_of_the_framing_keeps_its_text() {
    let input = b"STOP who=1\nCOMMIT\n\nMARK sim-time-ns=9\r\nSTOP who=1\r\nCOMMIT\r\nMARK sim-time-ns=5\n\xff\nCOMMIT\nMARK x=1\nSTOP who=1\nMARK sim-time-ns=10\nCOMMIT\nMARK sim-time-ns=11\nSTOP who=2\n";
    let expected = "\
clock 9 events 1
  line 1: STOP: field (first word): expected MARK to open a batch
  line 2: COMMIT: field (first word): expected MARK to open a batch
clock 9 events 0
  line 7: MARK: field sim-time-ns: expected a clock that goes forward
  line 8: (line): field (all): expected UTF-8 text
clock 10 events 0
  line 10: MARK: field sim-time-ns: expected a whole number
  line 12: MARK: field COMMIT: expected the end of the batch before it
incomplete
  line 15: (end of input): field COMMIT: expected the rest of the batch
";
    assert_eq!(transcript(input), expected);
}
