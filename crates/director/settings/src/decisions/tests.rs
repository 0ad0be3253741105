//! Tests of the module `decisions`.
use super::*;

#[test]
fn absent_settings_permit_the_fewest_actions() {
    let settings = decision_settings(&DirectorSettings {
        classes: vec![RouteClass::default()],
        ..DirectorSettings::default()
    });
    assert_eq!(settings.routes[0].idempotency, api::Idempotency::NotIdempotent);
    assert!(!settings.probes_allowed && settings.routes[0].is_write);
}
