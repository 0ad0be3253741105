//! Tests of the module `collector`.
use super::*;
use test_case::test_case;

#[test]
fn each_field_of_an_attempt_report_is_parsed() {
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
    assert!(matches!(host, Cow::Borrowed("s-5")), "a name without escapes borrows from the line");
}

#[test]
fn each_field_of_a_demand_report_and_of_a_registration_is_parsed() {
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
#[test_case(br#"{"msg":"agent""#, false ; "truncated")]
#[test_case(b"7", false ; "not an object")]
#[test_case(b"", false ; "an empty line")]
fn an_invalid_message_is_distinguished_from_a_line_that_is_not_a_json_object(line: &[u8], expected: bool) {
    assert_eq!(is_message(line), expected);
}

#[test_case(b" {\"msg\":", false ; "the start of a message")]
#[test_case(b"GET / HT", true ; "HTTP")]
#[test_case(b"\x00\x00\x00\x20{", true ; "a binary length prefix")]
#[test_case(b"{\"msg\":\x01", true ; "a control character")]
#[test_case(b"", false ; "no bytes yet")]
fn a_line_that_cannot_become_a_message_is_rejected_early(line: &[u8], expected: bool) {
    assert_eq!(cannot_become_message(line, line), expected);
}

#[test_case(b"{", "EOF" ; "truncated")]
#[test_case(b"\xff\xff", "expected value" ; "not UTF-8")]
#[test_case(br#"[]"#, "invalid length" ; "not an object")]
#[test_case(br#"{"msg":"news"}"#, "field msg" ; "an unknown kind")]
#[test_case(br#"{"msg":"agent"}"#, "field az: missing" ; "a missing field")]
#[test_case(br#"{"msg":"hot","partition":-1,"kind":"a","n":1,"bad":0,"window":1}"#, "u16" ; "a negative slice")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":"4","bad":0,"window":1}"#, "u64" ; "a text instead of a number")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"avg":-4,"window":1}"#, "field avg" ; "a negative time")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"h","n":1,"bad":0,"window":1}"#, "field avg" ; "answered attempts without a mean time")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":1e30}"#, "field window" ; "a period above the maximum")]
#[test_case(br#"{"msg":"hot","partition":1,"kind":"a","n":1,"bad":0,"window":0}"#, "field window" ; "a period of 0")]
fn an_invalid_message_is_rejected_with_the_reason(line: &[u8], expected: &str) {
    let error = CollectorMessage::parse(line).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}
