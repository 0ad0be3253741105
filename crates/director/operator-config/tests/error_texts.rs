//! Operators and their scripts read these texts: each is one line and must not change.
use coppersail_operator_config::{check_edit, Field, RouteName, RouteRetryPolicy, SettingsNames, Value};

#[test]
fn an_unknown_path_lists_all_fields() {
    for path in ["hosts.h", "hosts..weight", "apart.x.h", "zones.z.ceiling", "changes", ""] {
        let expected = format!(
            "field {path}: expected hosts.NAME.weight, hosts.NAME.drained, hosts.NAME.leaves, zones.NAME.weight, \
             routes.NAME.ceiling, routes.NAME.again, apart.SLICE.HOST, changes.trial, changes.judge or guard.mode"
        );
        assert_eq!(path.parse::<Field>().unwrap_err().to_string(), expected);
    }
}

#[test]
fn a_value_out_of_bounds_or_of_another_type_names_what_is_expected() {
    let field = Field::Trial;
    for found in ["4.9", "long", "true", "once"] {
        let error = field.parse_value(found).unwrap_err();
        assert_eq!((error.found.as_str(), error.to_string().as_str()), (found, "seconds from 5 to 3600"));
    }
    assert_eq!(field.parse_value("null"), Ok(None));
}

#[test]
fn an_edit_that_the_settings_do_not_allow_names_the_field() {
    let routes = vec![RouteName { name: "order".into(), idempotent: false }];
    let known = SettingsNames {
        zones: vec!["a".into(), "b".into()],
        routes,
        slices: 8,
        has_admission_control: false,
    };
    let text = |field: Field, value| check_edit(&field, Some(&value), Some(&known)).unwrap_err().to_string();
    let retries = |name: &str, policy| text(Field::RouteRetries(name.into()), Value::RetryPolicy(policy));
    assert_eq!(
        retries("order", RouteRetryPolicy::Once),
        "field routes.order.again: expected never or if-never-ran, as this route's calls must not run twice"
    );
    assert_eq!(
        retries("order", RouteRetryPolicy::Never),
        "field routes.order.again: expected nothing: the settings let no levels be set"
    );
    assert_eq!(
        retries("q", RouteRetryPolicy::Never),
        "field routes.q.again: expected a route of the settings, one of order"
    );
    assert_eq!(
        text(Field::ZoneWeight("q".into()), Value::Number(2.0)),
        "field zones.q.weight: expected a zone of the settings, one of a, b"
    );
    assert_eq!(
        text(Field::AntiAffinity(8, "h".into()), Value::Flag(true)),
        "field apart.8.h: expected a slice below 8"
    );
    assert_eq!(
        text(Field::Trial, Value::Number(1.0)),
        "field changes.trial: expected seconds from 5 to 3600"
    );
    assert_eq!(check_edit(&Field::ZoneWeight("q".into()), None, Some(&known)), Ok(()));
}
