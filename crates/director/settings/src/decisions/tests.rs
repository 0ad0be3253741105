//! Tests of the module `decisions`.
use super::*;

#[test]
fn an_absent_setting_that_allows_more_than_it_must_is_noticed() {
    let settings = decision_settings(&DirectorSettings {
        classes: vec![RouteClass::default()],
        ..DirectorSettings::default()
    });
    assert_eq!(settings.routes[0].idempotency, api::Idempotency::NotIdempotent);
    assert!(!settings.probes_allowed && settings.routes[0].is_write);
}
