//! Tests of the module `names`.
use super::*;

#[test]
fn a_host_that_comes_back_under_another_name_is_noticed() {
    let mut names = Names::new(&DirectorSettings::default());
    let (first, second) = (names.host_id("10.0.0.1:80"), names.host_id("10.0.0.2:80"));
    assert_eq!(names.host_id("10.0.0.1:80"), first, "once numbered, always the same");
    assert_eq!((names.host_name(second), names.known_host_id("h")), ("10.0.0.2:80", None));
}

#[test]
fn a_forgotten_host_whose_number_is_reused_is_noticed() {
    let mut names = Names::new(&DirectorSettings::default());
    let first = names.host_id("10.0.0.1:80");
    names.forget(first);
    assert_eq!((names.host_count(), names.known_host_id("10.0.0.1:80")), (0, None));
    assert_ne!(names.host_id("10.0.0.1:80"), first, "what is late for the old one must not meet the new one");
}

#[test]
fn an_unknown_name_without_the_name_found_is_noticed() {
    let top = crate::boot::General { zones: Some(List(vec!["a".into()])), ..Default::default() };
    let names = Names::new(&DirectorSettings { general: top, ..DirectorSettings::default() });
    let expected = UnknownName { name: "x".into(), kind: NameKind::Zone, known: vec!["a".into()] };
    assert_eq!(names.zone("x"), Err(expected));
}
