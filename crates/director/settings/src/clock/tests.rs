//! Tests of the module `clock`.
use super::*;
use test_case::test_case;

#[test_case(0, 1 ; "from zero")]
#[test_case(1_766_000_000_123_456_789, 86_400_000_000_001 ; "a day after a present-day Unix time")]
#[test_case(5_000, 4_999 ; "before the start")]
fn a_time_is_converted_back_to_the_same_nanosecond(origin: u64, ahead: u64) {
    let clock = Clock::starting_at(origin);
    assert_eq!(clock.nanoseconds(clock.seconds(origin + ahead)), origin + ahead);
    assert_eq!(clock.nanoseconds(clock.seconds(origin - origin.min(ahead))), origin - origin.min(ahead));
}
