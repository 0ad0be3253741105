//! Tests of the module `format`.
use super::*;
use test_case::test_case;

#[test_case(0.0, "1970-01-01 00:00:00Z" ; "the first second")]
#[test_case(951_782_399.0, "2000-02-28 23:59:59Z" ; "before a leap day")]
#[test_case(951_782_400.5, "2000-02-29 00:00:00Z" ; "the leap day")]
#[test_case(1_796_083_200.0, "2026-12-01 00:00:00Z" ; "a december")]
fn dates_are_utc_with_leap_days(unix_seconds: f64, expected: &str) {
    assert_eq!(date(unix_seconds), expected);
}
