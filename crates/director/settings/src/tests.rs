//! Tests of the module `settings`.
use super::*;

#[test]
fn absent_settings_allow_least() {
    let settings = settings(&Boot { classes: vec![Class::default()], ..Boot::default() });
    assert_eq!(settings.routes[0].semantics, api::Semantics::MustNotRepeat);
    assert!(!settings.may_probe && settings.routes[0].mutating);
}
