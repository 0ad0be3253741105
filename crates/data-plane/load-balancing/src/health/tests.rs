//! Tests of the ejection and probing of endpoints.
use super::*;

#[test]
fn a_single_reset_does_not_eject_and_ejections_double_with_each_further_failure() {
    let mut health = Health::default();
    health.record_failure(FailureKind::Broken, 0);
    assert!(!health.is_ejected(false, 0));
    health.record_failure(FailureKind::Broken, 0);
    assert!(health.is_ejected(true, 100) && !health.is_ejected(true, 300));
    assert!(health.is_ejected(false, 300), "a non-idempotent request is not used as a probe");
    health.begin_request();
    assert!(health.is_ejected(true, 300), "one probe at a time");
    health.record_failure(FailureKind::Broken, 300);
    assert!(health.is_ejected(true, 700) && !health.is_ejected(true, 801));
    health.record_success();
    assert!(!health.is_ejected(false, 301));
}
