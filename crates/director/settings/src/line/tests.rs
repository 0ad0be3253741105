//! Tests of the module `line`.
use super::*;

#[test]
fn an_invalid_field_is_reported_with_the_value_found() {
    let invalid = |found: Option<&str>| InvalidField {
        field: "set".to_string(),
        found: found.map(str::to_string),
        expected: "1 or 0",
    };
    assert_eq!(bool::read(&Fields::new("set=2"), "set"), Err(invalid(Some("2"))));
    assert_eq!(bool::read(&Fields::new("set"), "set"), Err(invalid(None)));
    assert_eq!(invalid(None).to_string(), "field set: expected 1 or 0");
}

#[test]
fn an_invalid_optional_field_is_not_treated_as_missing() {
    assert_eq!(Option::<bool>::read(&Fields::new("other=1"), "set"), Ok(None));
    assert!(Option::<bool>::read(&Fields::new("set=2"), "set").is_err());
}
