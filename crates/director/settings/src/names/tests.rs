//! Tests of the module `names`.
use super::*;
use test_case::test_case;

#[test_case(0, 1 ; "from zero")]
#[test_case(1_766_000_000_123_456_789, 86_400_000_000_001 ; "a day after a clock of this century")]
#[test_case(5_000, 4_999 ; "before the start")]
fn times_come_back_to_the_nanosecond(origin: u64, ahead: u64) {
    let clock = Clock::starting(origin);
    assert_eq!(clock.nanoseconds(clock.seconds(origin + ahead)), origin + ahead);
    assert_eq!(clock.nanoseconds(clock.seconds(origin - origin.min(ahead))), origin - origin.min(ahead));
}

#[test]
fn hosts_come_back_as_named() {
    let mut names = Names::new(&Boot::default());
    let (first, second) = (names.host("10.0.0.1:80"), names.host("10.0.0.2:80"));
    assert_eq!(names.host("10.0.0.1:80"), first, "once numbered, always the same");
    assert_eq!((names.host_name(second), names.known_host("h")), ("10.0.0.2:80", None));
}

#[test]
fn a_name_that_was_given_back_gets_another_number() {
    let mut names = Names::new(&Boot::default());
    let first = names.host("10.0.0.1:80");
    names.forget(first);
    assert_eq!((names.count(), names.known_host("10.0.0.1:80")), (0, None));
    assert_ne!(names.host("10.0.0.1:80"), first, "what is late for the old one must not meet the new one");
}
