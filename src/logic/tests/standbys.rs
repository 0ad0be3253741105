//! Who stands by, and how much goes there.

use super::*;
use test_case::test_case;

#[test]
fn every_slice_gets_a_standby_elsewhere_and_they_spread() {
    let mut tables = tables(&[4, 4, 4, 4]);
    tables.standbys(&figures());
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
    tables.views.get_mut(&id(2)).unwrap().ramp = 0.2;
    (tables.most, tables.rt) = (3, 0.1);
    tables.standbys(&figures());
    assert!(tables.slices.values().all(|s| s.standby != Some(id(2))));
}

#[test]
fn a_standby_that_cannot_help_is_replaced() {
    let mut tables = tables(&[1, 1, 1, 1]);
    tables.slices.values_mut().for_each(|s| s.standby = Some(id(if s.owner == Some(id(1)) { 0 } else { 1 })));
    tables.views.get_mut(&id(1)).unwrap().ease = 0.3;
    (tables.full, tables.mean) = (Sums::from([(id(0), 6.0), (id(1), 6.0), (id(2), 1.0), (id(3), 1.0)]), 3.0);
    tables.standbys(&figures());
    assert!(tables.slices.values().all(|s| s.owner != Some(id(0)) || s.standby != Some(id(1))));
}

#[test_case(1.0, 1.0, 0.1 ; "a trickle to begin with")]
#[test_case(0.25, 1.0, 3.0 ; "a young owner keeps no more than its age allows")]
#[test_case(1.0, 0.5, 0.2 ; "a slow owner sheds")]
fn standby_weights(ramp: f64, ease: f64, expected: f64) {
    let mut tables = tables(&[1, 0]);
    let view = tables.views.get_mut(&id(0)).unwrap();
    (view.ramp, view.ease) = (ramp, ease);
    let slice = Slice { standby: Some(id(1)), ..tables.slices[&SliceId(0)].clone() };
    assert!((tables.desired(&slice)[&id(1)] - expected).abs() < 1e-9);
}

#[test]
fn an_overfull_owner_shares() {
    let mut tables = tables(&[6, 1, 1]);
    tables.slices.values_mut().for_each(|s| s.standby = Some(id(if s.owner == Some(id(2)) { 1 } else { 2 })));
    tables.share();
    assert!(tables.slices.values().all(|s| s.notch == (s.owner == Some(id(0))) as usize));
}

#[test_case(Some(20.0), Some(10.0), 1.0 / 1.5 * 2.0 ; "by reported speed")]
#[test_case(None, None, 1.0 ; "as the others where nothing is known")]
fn ability(fast: Option<f64>, slow: Option<f64>, expected: f64) {
    let mut tables = tables(&[1, 1]);
    tables.views.get_mut(&id(0)).unwrap().speed = fast;
    tables.views.get_mut(&id(1)).unwrap().speed = slow;
    assert!((tables.able(id(0)) - expected).abs() < 1e-9);
}

#[test]
fn an_exclusive_slice_has_one_line() {
    let mut tables = tables(&[1, 0]);
    tables.standbys(&Figures { exclusive: true, ..figures() });
    assert_eq!(tables.slices[&SliceId(0)].standby, None);
}

#[test]
fn a_standing_line_keeps_its_weight() {
    let mut tables = tables(&[1, 1]);
    let slice = tables.slices.get_mut(&SliceId(0)).unwrap();
    (slice.standby, slice.lines) = (Some(id(1)), Sums::from([(id(0), 0.4), (id(1), 4.0)]));
    let lines = tables.desired(&tables.slices[&SliceId(0)]);
    assert_eq!((lines[&id(0)], (lines[&id(1)] - 0.04).abs() < 1e-9), (0.4, true));
}
