//! Tests of planned shutdowns.

use super::*;
use test_case::test_case;

#[test_case(50.0, None, ShutdownPhase::Scheduled ; "long before")]
#[test_case(90.0, None, ShutdownPhase::Draining ; "while its slices are moved")]
#[test_case(110.0, Some(3.0), ShutdownPhase::Draining ; "while it shuts down")]
#[test_case(110.0, Some(105.0), ShutdownPhase::Over ; "it has restarted")]
#[test_case(96.0, Some(95.0), ShutdownPhase::Over ; "it has restarted early")]
#[test_case(221.0, None, ShutdownPhase::Over ; "it has expired")]
fn a_shutdown_is_in_the_phase_of_its_announcement(
    now: f64,
    started_at: Option<f64>,
    expected: ShutdownPhase,
) {
    assert_eq!(ShutdownPhase::of(now, 100.0, started_at), expected);
}

#[test]
fn hosts_that_shut_down_within_one_second_are_down_together() {
    // In the order of names, the earlier shutdown comes last; both must still count as down together.
    let leaves = |host: &str, at| (format!("hosts.{host}.leaves").parse().unwrap(), Value::Number(at));
    let document = Document::from([leaves("a", 1.7e9 + 0.7), leaves("b", 1.7e9 + 0.2)]);
    assert!(down_together(&document).contains(&vec!["a", "b"]));
}

#[test]
fn phases_change_in_order() {
    assert_eq!(ShutdownPhase::next_transition_at(0.0, 100.0), 90.0);
    assert_eq!(ShutdownPhase::next_transition_at(90.0, 100.0), 220.0);
    assert_eq!(ShutdownPhase::next_transition_at(220.0, 100.0), f64::INFINITY);
}
