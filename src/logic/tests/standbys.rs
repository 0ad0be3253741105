//! Tests of which host is the standby of a slice, and which share of the calls it gets.

use super::*;
use test_case::test_case;

#[test]
fn every_slice_has_a_standby_and_standbys_are_spread() {
    let mut tables = tables(&[4, 4, 4, 4]);
    tables.assign_standbys(&params());
    let of = |n: usize| tables.slices.values().filter(move |s| s.owner == Some(id(n)));
    assert!(tables.slices.values().all(|s| s.standby.is_some() && s.standby != s.owner));
    let across = tables.slices.values().filter(|s| {
        tables.views[s.standby.as_ref().unwrap()].zone != tables.views[s.owner.as_ref().unwrap()].zone
    });
    assert!(across.count() > 12, "mostly in the other zone");
    assert!(of(0).map(|s| s.standby).collect::<BTreeSet<_>>().len() > 1, "not all on one host");
}

#[test]
fn host_in_slow_start_does_not_become_a_standby() {
    let mut tables = tables(&[3, 3, 0]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.2;
    tables.max_ready_hosts = 3;
    tables.response_time = 0.1;
    tables.assign_standbys(&params());
    assert!(tables.slices.values().all(|s| s.standby != Some(id(2))));
}

#[test]
fn overloaded_standby_of_an_overloaded_owner_is_replaced() {
    let mut tables = tables(&[1, 1, 1, 1]);
    for s in tables.slices.values_mut() {
        s.standby = Some(id(if s.owner == Some(id(1)) { 0 } else { 1 }));
    }
    tables.views.get_mut(&id(1)).unwrap().derating = 0.3;
    (tables.relative_loads, tables.mean_relative_load) =
        (PerHost::from([(id(0), 6.0), (id(1), 6.0), (id(2), 1.0), (id(3), 1.0)]), 3.0);
    tables.assign_standbys(&params());
    assert!(tables.slices.values().all(|s| s.owner != Some(id(0)) || s.standby != Some(id(1))));
}

#[test_case(1.0, 1.0, 0.1 ; "the lowest share initially")]
#[test_case(0.25, 1.0, 3.0 ; "an owner in slow start gets no more than its share")]
#[test_case(1.0, 0.5, 0.2 ; "a slow owner gets less")]
fn standby_share_depends_on_the_owners_slow_start_and_derating(
    slow_start: f64,
    derating: f64,
    expected: f64,
) {
    let mut tables = tables(&[1, 0]);
    let view = tables.views.get_mut(&id(0)).unwrap();
    view.slow_start = slow_start;
    view.derating = derating;
    let slice = Slice { standby: Some(id(1)), ..tables.slices[&SliceId(0)].clone() };
    assert!((tables.desired_weights(&slice)[&id(1)] - expected).abs() < 1e-9);
}

#[test]
fn overloaded_owner_shares_calls_with_its_standby() {
    let mut tables = tables(&[6, 1, 1]);
    for s in tables.slices.values_mut() {
        s.standby = Some(id(if s.owner == Some(id(2)) { 1 } else { 2 }));
    }
    tables.share_load();
    assert!(tables.slices.values().all(|s| s.standby_level == (s.owner == Some(id(0))) as usize));
}

#[test_case(Some(20.0), Some(10.0), 1.0 / 1.5 * 2.0 ; "by reported speed")]
#[test_case(None, None, 1.0 ; "equal if no speed is known")]
fn throughput_follows_reported_speed(fast: Option<f64>, slow: Option<f64>, expected: f64) {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().speed = fast;
    tables.views.get_mut(&id(1)).unwrap().speed = slow;
    assert!((tables.throughput(id(0)) - expected).abs() < 1e-9);
}

#[test]
fn exclusive_slice_has_no_standby() {
    let mut tables = tables(&[1, 0]);
    tables.assign_standbys(&Parameters { exclusive_ownership: true, ..params() });
    assert_eq!(tables.slices[&SliceId(0)].standby, None);
}

#[test]
fn owner_keeps_the_weight_that_was_sent() {
    let mut tables = tables(&[1, 1]);
    let slice = tables.slices.get_mut(&SliceId(0)).unwrap();
    slice.standby = Some(id(1));
    slice.weights = PerHost::from([(id(0), 0.4), (id(1), 4.0)]);
    let weights = tables.desired_weights(&tables.slices[&SliceId(0)]);
    assert_eq!((weights[&id(0)], (weights[&id(1)] - 0.04).abs() < 1e-9), (0.4, true));
}
