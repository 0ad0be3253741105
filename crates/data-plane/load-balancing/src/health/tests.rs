//! Tests of the module `health`.
use super::*;

#[test]
fn one_reset_is_none_and_pauses_grow() {
    let mut health = Health::default();
    health.bad(Sign::Broken, 0);
    assert!(!health.aside(false, 0));
    health.bad(Sign::Broken, 0);
    assert!(health.aside(true, 100) && !health.aside(true, 300));
    assert!(health.aside(false, 300), "no single try is risked on a doubtful host");
    health.begin();
    assert!(health.aside(true, 300), "one trial at a time");
    health.bad(Sign::Broken, 300);
    assert!(health.aside(true, 700) && !health.aside(true, 801));
    health.good();
    assert!(!health.aside(false, 301));
}
