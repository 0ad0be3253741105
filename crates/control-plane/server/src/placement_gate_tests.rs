//! Tests of the initial placement gate.
use crate::placement_gate::PlacementGate;

#[test]
fn assignments_wait_until_no_more_endpoints_appear() {
    let mut gate = PlacementGate::default();
    // Ten more every 200 ms, for longer than one and a half heartbeat intervals.
    for n in 1..=12u64 {
        assert!(!gate.update(1_000 + n * 200, n as usize * 10, 800, 5_000), "{n}");
    }
    assert!(!gate.update(4_599, 120, 800, 5_000));
    assert!(gate.update(4_600, 120, 800, 5_000));
}

#[test]
fn endpoints_that_keep_appearing_delay_assignments_only_for_the_maximum_wait() {
    let mut gate = PlacementGate::default();
    let due = (0..100u64).find(|n| gate.update(7 + n * 500, 1 + *n as usize, 800, 5_000));
    assert_eq!(due, Some(10));
}

#[test]
fn a_returning_endpoint_is_not_new_and_a_loss_of_all_restarts_the_wait() {
    let mut gate = PlacementGate::default();
    assert!(!gate.update(0, 3, 800, 5_000) && !gate.update(600, 2, 800, 5_000));
    assert!(!gate.update(900, 3, 800, 5_000));
    assert!(gate.update(1_200, 3, 800, 5_000));
    assert!(!gate.update(9_000, 0, 800, 5_000), "no endpoint to assign shards to");
    assert!(!gate.update(9_100, 3, 800, 5_000) && gate.update(10_300, 3, 800, 5_000));
}
