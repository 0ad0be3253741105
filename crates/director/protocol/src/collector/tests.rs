//! Tests of the module `collector`.
use super::*;
use test_case::test_case;

#[test]
fn a_report_of_outcomes_that_loses_a_field_is_noticed() {
    let line = br#"{"avg":41.5,"az":"a","bad":3,"host":"s-5","msg":"outcomes","n":212,"new":[1],"report":{"q":7},"window":1000.0}"#;
    let Ok(CollectorMessage::AttemptReport {
        attempts: 212,
        dropped: 3,
        mean_response_time,
        window,
        host,
        report,
        ..
    }) = CollectorMessage::parse(line)
    else {
        panic!("{:?}", CollectorMessage::parse(line));
    };
    assert_eq!((mean_response_time, window, report.get("q")), (0.0415, 1.0, Some(7.0)));
    assert!(matches!(host, Cow::Borrowed("s-5")), "a name stays the bytes that came");
}

#[test]
fn a_report_of_demand_or_a_zone_that_loses_a_field_is_noticed() {
    let line = br#"{"msg":"hot","partition":88,"kind":"lookup","n":40,"bad":1,"window":500.0}"#;
    let demand = CollectorMessage::DemandReport {
        slice: 88,
        route: "lookup".into(),
        requests: 40,
        dropped: 1,
        window: 0.5,
    };
    assert_eq!(CollectorMessage::parse(line), Ok(demand));
    assert_eq!(
        CollectorMessage::parse(br#"{"msg":"agent","az":"a"}"#),
        Ok(CollectorMessage::Register("a".into()))
    );
}

#[test]
fn a_report_with_more_dropped_than_received_is_accepted() {
    let line = br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":2,"window":1000.0}"#;
    assert!(matches!(
        CollectorMessage::parse(line),
        Ok(CollectorMessage::DemandReport { requests: 1, dropped: 2, .. })
    ));
}

#[test_case(br#"{"msg":"news"}"#, true ; "an unknown kind")]
#[test_case(br#"{"msg":"agent","az":7}"#, true ; "a wrong type")]
#[test_case(br#"{"msg":"agent""#, false ; "cut off")]
#[test_case(b"7", false ; "no object")]
#[test_case(b"", false ; "nothing")]
fn an_invalid_message_is_told_from_a_line_that_is_no_json(line: &[u8], expected: bool) {
    assert_eq!(is_message(line), expected);
}

#[test_case(b" {\"msg\":", false ; "a message so far")]
#[test_case(b"GET / HT", true ; "HTTP")]
#[test_case(b"\x00\x00\x00\x20{", true ; "a binary length")]
#[test_case(b"{\"msg\":\x01", true ; "a control character")]
#[test_case(b"", false ; "nothing yet")]
fn a_line_that_cannot_become_a_message_is_rejected_early(begun: &[u8], expected: bool) {
    assert_eq!(cannot_become_message(begun, begun), expected);
}

#[test_case(b"{", "EOF" ; "cut off")]
#[test_case(b"\xff\xff", "expected value" ; "no text")]
#[test_case(br#"[]"#, "invalid length" ; "no object")]
#[test_case(br#"{"msg":"news"}"#, "field msg" ; "an unknown kind")]
#[test_case(br#"{"msg":"agent"}"#, "field az: missing" ; "a missing field")]
#[test_case(br#"{"msg":"hot","partition":-1,"kind":"a","n":1,"bad":0,"window":1}"#, "u16" ; "a negative slice")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":"4","bad":0,"window":1}"#, "u64" ; "a word for a number")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"avg":-4,"window":1}"#, "field avg" ; "a negative time")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"window":1}"#, "field avg" ; "no time of answered tries")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":1e30}"#, "field window" ; "an endless span")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":0}"#, "field window" ; "no span")]
fn an_invalid_message_is_rejected_with_the_reason(line: &[u8], expected: &str) {
    let error = CollectorMessage::parse(line).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
