//! Tests of the initial placement gate.
use crate::placement_gate::PlacementGate;

#[test]
fn assignments_made_before_all_endpoints_are_known_wait_for_the_rest() {
    let mut gate = PlacementGate::default();
    // Ten more every 200 ms, for longer than a heartbeat and a half.
    for n in 1..=12u64 {
        assert!(!gate.update(1_000 + n * 200, n as usize * 10, 800, 5_000), "{n}");
    }
    assert!(!gate.update(4_599, 120, 800, 5_000));
    assert!(gate.update(4_600, 120, 800, 5_000));
}

#[test]
fn endpoints_that_never_stop_coming_hold_up_assignments_only_for_the_maximum_wait() {
    let mut gate = PlacementGate::default();
    let due = (0..100u64).find(|n| gate.update(7 + n * 500, 1 + *n as usize, 800, 5_000));
    assert_eq!(due, Some(10));
}

#[test]
fn an_endpoint_that_returns_is_no_new_one_and_a_loss_of_all_begins_the_wait_anew() {
    let mut gate = PlacementGate::default();
    assert!(!gate.update(0, 3, 800, 5_000) && !gate.update(600, 2, 800, 5_000));
    assert!(!gate.update(900, 3, 800, 5_000));
    assert!(gate.update(1_200, 3, 800, 5_000));
    assert!(!gate.update(9_000, 0, 800, 5_000), "nobody to lay it on");
    assert!(!gate.update(9_100, 3, 800, 5_000) && gate.update(10_300, 3, 800, 5_000));
}
