use crate::placement_gate::PlacementGate;

#[test]
fn hosts_that_still_come_up_are_waited_for() {
    let mut muster = PlacementGate::default();
    // Ten more every 200 ms, for longer than a heartbeat and a half.
    for n in 1..=12u64 {
        assert!(!muster.complete(1_000 + n * 200, n as usize * 10, 800, 5_000), "{n}");
    }
    assert!(!muster.complete(4_599, 120, 800, 5_000));
    assert!(muster.complete(4_600, 120, 800, 5_000));
}

#[test]
fn a_service_whose_hosts_never_stop_coming_is_laid_out_all_the_same() {
    let mut muster = PlacementGate::default();
    let due = (0..100u64).find(|n| muster.complete(7 + n * 500, 1 + *n as usize, 800, 5_000));
    assert_eq!(due, Some(10));
}

#[test]
fn one_that_has_gone_meanwhile_is_no_new_one_and_without_any_it_begins_anew() {
    let mut muster = PlacementGate::default();
    assert!(!muster.complete(0, 3, 800, 5_000) && !muster.complete(600, 2, 800, 5_000));
    assert!(!muster.complete(900, 3, 800, 5_000));
    assert!(muster.complete(1_200, 3, 800, 5_000));
    assert!(!muster.complete(9_000, 0, 800, 5_000), "nobody to lay it on");
    assert!(!muster.complete(9_100, 3, 800, 5_000) && muster.complete(10_300, 3, 800, 5_000));
}
