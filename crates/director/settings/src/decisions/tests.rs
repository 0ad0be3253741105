//! Tests of the module `decisions`.
use super::*;

#[test]
fn an_absent_setting_that_allows_more_than_it_must_is_noticed() {
    let settings = settings(&Boot { classes: vec![RouteClass::default()], ..Boot::default() });
    assert_eq!(settings.routes[0].semantics, api::Semantics::MustNotRepeat);
    assert!(!settings.may_probe && settings.routes[0].mutating);
}
