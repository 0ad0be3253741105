//! Tests of the module `load`.
use super::*;
use test_case::test_case;

#[test_case(b"TEXT q=2, lat_ms=181.685", Some(2.0), Some(181.685), 0 ; "both")]
#[test_case(b"TEXT q=-1, lat_ms=NaN", None, None, 2 ; "a negative value and one that is not a number")]
#[test_case(b"TEXT q, lat_ms=3", None, Some(3.0), 1 ; "a name without a value")]
#[test_case(b"", None, None, 0 ; "an empty text")]
#[test_case(b"\xff\xfe<html>", None, None, 1 ; "not a report")]
fn invalid_entries_of_a_text_are_counted(body: &[u8], q: Option<f64>, time: Option<f64>, invalid: u64) {
    let report = Report::parse_text(body);
    assert_eq!((report.get("q"), report.get("lat_ms"), report.invalid_entries), (q, time, invalid));
}

#[test_case(r#"{"q":2,"lat_ms":"slow"}"#, Some(2.0), 1 ; "a text instead of a number")]
#[test_case(r#"[1]"#, None, 1 ; "not an object")]
#[test_case("null", None, 0 ; "null")]
fn invalid_entries_of_an_object_are_counted(json: &str, q: Option<f64>, invalid: u64) {
    let report = Report::from_json(&serde_json::from_str(json).unwrap());
    assert_eq!((report.get("q"), report.invalid_entries), (q, invalid));
}
