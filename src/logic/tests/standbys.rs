//! Who stands by, and how much goes there.

use super::*;
use test_case::test_case;

#[test]
fn every_slice_gets_a_standby_elsewhere_and_they_spread() {
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
fn a_young_host_becomes_a_standby_late() {
    let mut tables = tables(&[3, 3, 0]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.2;
    (tables.max_ready_hosts, tables.response_time) = (3, 0.1);
    tables.assign_standbys(&params());
    assert!(tables.slices.values().all(|s| s.standby != Some(id(2))));
}

#[test]
fn a_standby_that_cannot_help_is_replaced() {
    let mut tables = tables(&[1, 1, 1, 1]);
    tables.slices.values_mut().for_each(|s| s.standby = Some(id(if s.owner == Some(id(1)) { 0 } else { 1 })));
    tables.views.get_mut(&id(1)).unwrap().derating = 0.3;
    (tables.relative_loads, tables.mean_relative_load) =
        (PerHost::from([(id(0), 6.0), (id(1), 6.0), (id(2), 1.0), (id(3), 1.0)]), 3.0);
    tables.assign_standbys(&params());
    assert!(tables.slices.values().all(|s| s.owner != Some(id(0)) || s.standby != Some(id(1))));
}

#[test_case(1.0, 1.0, 0.1 ; "a trickle to begin with")]
#[test_case(0.25, 1.0, 3.0 ; "a young owner keeps no more than its age allows")]
#[test_case(1.0, 0.5, 0.2 ; "a slow owner sheds")]
fn standby_weights(ramp: f64, ease: f64, expected: f64) {
    let mut tables = tables(&[1, 0]);
    let view = tables.views.get_mut(&id(0)).unwrap();
    (view.slow_start, view.derating) = (ramp, ease);
    let slice = Slice { standby: Some(id(1)), ..tables.slices[&SliceId(0)].clone() };
    assert!((tables.desired_weights(&slice)[&id(1)] - expected).abs() < 1e-9);
}

#[test]
fn an_overfull_owner_shares() {
    let mut tables = tables(&[6, 1, 1]);
    tables.slices.values_mut().for_each(|s| s.standby = Some(id(if s.owner == Some(id(2)) { 1 } else { 2 })));
    tables.share_load();
    assert!(tables.slices.values().all(|s| s.standby_level == (s.owner == Some(id(0))) as usize));
}

#[test_case(Some(20.0), Some(10.0), 1.0 / 1.5 * 2.0 ; "by reported speed")]
#[test_case(None, None, 1.0 ; "as the others where nothing is known")]
fn ability(fast: Option<f64>, slow: Option<f64>, expected: f64) {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().speed = fast;
    tables.views.get_mut(&id(1)).unwrap().speed = slow;
    assert!((tables.ability(id(0)) - expected).abs() < 1e-9);
}

#[test]
fn an_exclusive_slice_has_one_line() {
    let mut tables = tables(&[1, 0]);
    tables.assign_standbys(&Parameters { exclusive_ownership: true, ..params() });
    assert_eq!(tables.slices[&SliceId(0)].standby, None);
}

#[test]
fn a_standing_line_keeps_its_weight() {
    let mut tables = tables(&[1, 1]);
    let slice = tables.slices.get_mut(&SliceId(0)).unwrap();
    (slice.standby, slice.weights) = (Some(id(1)), PerHost::from([(id(0), 0.4), (id(1), 4.0)]));
    let weights = tables.desired_weights(&tables.slices[&SliceId(0)]);
    assert_eq!((weights[&id(0)], (weights[&id(1)] - 0.04).abs() < 1e-9), (0.4, true));
}
