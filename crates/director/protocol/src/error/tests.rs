//! Tests of the module `error`.
use super::*;
use crate::relay::RelayEvent;
use std::error::Error;

#[test]
fn an_invalid_field_keeps_the_value_found() {
    let parts = |error| match error {
        ParseError::InvalidField { field, found, expected } => (field, found, expected),
        other => panic!("{other:?}"),
    };
    let expected = ("yes".to_string(), Some("2".to_string()), "1 or 0".to_string());
    assert_eq!(parts(RelayEvent::parse(b"* lease 88 2").unwrap_err()), expected);
    let expected = ("weight".to_string(), Some("x".to_string()), "a number of 0 or more".to_string());
    assert_eq!(parts(RelayEvent::parse(b"* line 88 s-5 x").unwrap_err()), expected);
}

#[test]
fn a_long_value_is_truncated() {
    let line = "\u{e4}".repeat(1000);
    let found = "\u{e4}".repeat(MAX_EXCERPT_CHARS);
    assert_eq!(RelayEvent::parse(line.as_bytes()), Err(ParseError::UnknownUpdate { found: found.clone() }));
    let error = ParseError::invalid("field", line, "less");
    assert_eq!(
        error,
        ParseError::InvalidField { field: "field".into(), found: Some(found), expected: "less".into() }
    );
}

#[test]
fn an_update_that_is_not_utf_8_keeps_its_source_error() {
    let error = RelayEvent::parse(b"* \xff").unwrap_err();
    assert_eq!(
        error.source().map(ToString::to_string).unwrap(),
        "invalid utf-8 sequence of 1 bytes from index 2"
    );
}

#[test]
fn malformed_json_keeps_its_position() {
    let error = ParseError::from(serde_json::from_str::<u8>("\n x").unwrap_err());
    assert!(matches!(error, ParseError::MalformedJson { line: 2, column: 2, .. }), "{error:?}");
}
