//! Tests of the module `line`.
use super::*;

#[test]
fn an_invalid_field_without_the_value_found_is_noticed() {
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
fn an_optional_field_that_is_invalid_does_not_pass_for_a_missing_one() {
    assert_eq!(Option::<bool>::read(&Fields::new("other=1"), "set"), Ok(None));
    assert!(Option::<bool>::read(&Fields::new("set=2"), "set").is_err());
}
