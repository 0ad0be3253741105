//! Tests of the module `health`.
use super::*;

#[test]
fn one_reset_is_none_and_pauses_grow() {
    let mut health = Health::default();
    health.record_failure(FailureSign::Broken, 0);
    assert!(!health.is_ejected(false, 0));
    health.record_failure(FailureSign::Broken, 0);
    assert!(health.is_ejected(true, 100) && !health.is_ejected(true, 300));
    assert!(health.is_ejected(false, 300), "no single try is risked on a doubtful host");
    health.begin();
    assert!(health.is_ejected(true, 300), "one trial at a time");
    health.record_failure(FailureSign::Broken, 300);
    assert!(health.is_ejected(true, 700) && !health.is_ejected(true, 801));
    health.record_success();
    assert!(!health.is_ejected(false, 301));
}
