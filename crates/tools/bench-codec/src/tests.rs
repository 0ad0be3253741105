//! Tests of the codec: lines that are misread or written otherwise than they are read, and batches.
use super::*;
use test_case::test_case;

#[test_case("ROUNDUP who=3 time-taken-ns=48250000 rack-zone=b covers-ns=1000000000 host=10.18.74.7:8003 many=14 bad=1 telemetry=q:3,lat_ms:210.5")]
#[test_case(
    "ITEM sku=four-core born-ns=6100000000 host=10.144.17.242:8044 w=1.5 block=0 rack-zone=b status=3"
)]
#[test_case("CHECKED_IN who=3 proxy=41 rack-zone=b w=6.5 set=1")]
#[test_case("DATAGRAM who=0 src=1 octets=68692037")]
#[test_case("PONG who=0 host=h:1 outcome=unreachable time-taken-ns=0")]
#[test_case("CONFIGURE who=3 init-seed=7 az=b kinds=k zones=a,b classes.count=1 classes.0.aim-ns=8 classes.0.name=r guarantees.cold-from=0.15 specifics.mutating=false,true specifics.pick=p2c")]
fn an_event_that_is_written_otherwise_than_read_is_noticed(line: &str) {
    let mut written = String::new();
    Event::parse(line, 1).unwrap().write(&mut written);
    assert_eq!(written, line);
}

#[test_case("SET_LINE who=3 host=10.144.17.242:8044 table=117 w=0.75")]
#[test_case("ADMIT who=3 table=65535 only=2 level=0.75 resend=1")]
#[test_case("SIGNAL who=3 dst=* octets=-")]
#[test_case("TRACE who=3 reason-text=two servers known w=1")]
fn an_order_that_is_written_otherwise_than_read_is_noticed(line: &str) {
    let mut written = String::new();
    Order::parse(line, 1).unwrap().write(&mut written);
    assert_eq!(written, line);
}

#[test]
fn an_unknown_field_or_another_order_of_fields_is_accepted() {
    let line = "HEAT table=7 bad=0 new=x many=4 grade=r covers-ns=9 who=1";
    assert_eq!(Event::parse(line, 1), Event::parse("HEAT who=1 covers-ns=9 grade=r bad=0 many=4 table=7", 1));
}

#[test_case("HEAT who=1 covers-ns=9 grade=r bad=none many=4 table=7", "bad", "a whole number"; "a word for a number")]
#[test_case("TENURE who=1 set=1", "table", "a whole number below 65536"; "a missing field")]
#[test_case("TENURE who=1 set=2 table=3", "set", "1 or 0"; "a wrong value")]
#[test_case("CONFIGURE who=1 init-seed=2 specifics.slices=many", "specifics.slices", "a whole number"; "a wrong setting")]
#[test_case("HELLO who=1", "(first word)", "a known message"; "an unknown message")]
fn an_invalid_line_is_rejected_with_its_number_and_field(line: &str, field: &str, expected: &str) {
    let error = Event::parse(line, 12).unwrap_err();
    assert_eq!((error.line, error.field.as_str(), error.expected.as_str()), (12, field, expected));
}

fn batches(input: &str) -> Vec<Result<Batch, Vec<InvalidLine>>> {
    let mut reader = Reader::new(input.as_bytes());
    std::iter::from_fn(|| reader.next_batch().unwrap()).collect()
}

#[test]
fn an_invalid_line_does_not_spoil_its_batch() {
    let read = batches("MARK sim-time-ns=5\nSTOP who=x\nSTOP who=1\nCOMMIT\n");
    let batch = read[0].as_ref().unwrap();
    assert_eq!((batch.clock_ns, batch.events.len(), batch.errors[0].line), (5, 1, 2));
}

#[test]
fn a_truncated_batch_is_not_handed_out() {
    let read = batches("MARK sim-time-ns=5\nCOMMIT\nMARK sim-time-ns=6\nSTOP who=1\n");
    assert!(read[0].is_ok());
    assert_eq!(read[1].as_ref().unwrap_err()[0].field, "COMMIT");
    assert_eq!(read.len(), 2);
}

#[test]
fn an_invalid_line_without_the_value_found_is_noticed() {
    let found = |line| Event::parse(line, 1).unwrap_err().found;
    assert_eq!(found("TENURE who=1 set=2 table=3").as_deref(), Some("2"));
    assert_eq!(found("TENURE who=1 set=1"), None);
}
