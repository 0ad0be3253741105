//! Tests of the module `names`.
use super::*;

#[test]
fn a_host_keeps_its_id_and_its_name() {
    let mut names = Names::new(&DirectorSettings::default());
    let (first, second) = (names.host_id("10.0.0.1:80"), names.host_id("10.0.0.2:80"));
    assert_eq!(names.host_id("10.0.0.1:80"), first, "a known host keeps its id");
    assert_eq!((names.host_name(second), names.known_host_id("h")), ("10.0.0.2:80", None));
}

#[test]
fn the_id_of_a_removed_host_is_not_reused() {
    let mut names = Names::new(&DirectorSettings::default());
    let first = names.host_id("10.0.0.1:80");
    names.forget(first);
    assert_eq!((names.host_count(), names.known_host_id("10.0.0.1:80")), (0, None));
    assert_ne!(
        names.host_id("10.0.0.1:80"),
        first,
        "a delayed message about the removed host must not be applied to the new one"
    );
}

#[test]
fn an_unknown_name_is_reported_with_the_name_found() {
    let general = crate::boot::General { zones: Some(List(vec!["a".into()])), ..Default::default() };
    let names = Names::new(&DirectorSettings { general, ..DirectorSettings::default() });
    let expected = UnknownName { name: "x".into(), kind: NameKind::Zone, known: vec!["a".into()] };
    assert_eq!(names.zone("x"), Err(expected));
}
