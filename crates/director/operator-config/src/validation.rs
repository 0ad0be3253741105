//! Validation of a field's value: against its bounds, and against the names in the director's settings.

use crate::error::EditError;
use crate::field::Field;
use crate::value::{RouteRetryPolicy, Value};

/// A route in the director's settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteName {
    /// Its name.
    pub name: String,
    /// Its calls are idempotent: they may be executed more than once.
    pub idempotent: bool,
}

/// The names and limits in the director's settings against which fields are validated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The routes.
    pub routes: Vec<RouteName>,
    /// Number of slices; slice numbers are below this.
    pub slices: u64,
    /// Whether admission limits and retry policies can be set at all.
    pub has_admission_control: bool,
}

/// Validates an edit from a command line or a socket; `None` unsets the field, which is always valid.
///
/// # Errors
///
/// The value is out of the field's bounds or, where `known` is given, contradicts the director's settings.
pub fn check_edit(
    field: &Field,
    value: Option<&Value>,
    known: Option<&SettingsNames>,
) -> Result<(), EditError> {
    let Some(value) = value else { return Ok(()) };
    match unmet_expectation(field, value, known) {
        None => Ok(()),
        Some(expected) => Err(EditError { field: field.clone(), expected }),
    }
}

/// A description of the valid values if the value is invalid; `None` for a valid value.
pub(crate) fn unmet_expectation(
    field: &Field,
    value: &Value,
    known: Option<&SettingsNames>,
) -> Option<String> {
    if !field.accepts(value) {
        return Some(field.expected().to_string());
    }
    expected_by_settings(field, value, known?)
}

/// A description of the values that the settings allow, if they do not allow a value that is within the
/// field's bounds.
fn expected_by_settings(field: &Field, value: &Value, known: &SettingsNames) -> Option<String> {
    match field {
        Field::ZoneWeight(zone) if !known.zones.contains(zone) => {
            Some(one_of("a zone", known.zones.iter().map(String::as_str).collect()))
        }
        Field::RouteAdmissionLimit(route) | Field::RouteRetries(route) => {
            expected_of_route(route, value, known)
        }
        Field::AntiAffinity(slice, _) if u64::from(*slice) >= known.slices => {
            Some(format!("a slice below {}", known.slices))
        }
        _ => None,
    }
}

fn expected_of_route(name: &str, value: &Value, known: &SettingsNames) -> Option<String> {
    let Some(route) = known.routes.iter().find(|route| route.name == name) else {
        return Some(one_of("a route", known.routes.iter().map(|route| route.name.as_str()).collect()));
    };
    let retries = matches!(value, Value::RetryPolicy(policy) if *policy > RouteRetryPolicy::IfNeverRan);
    if retries && !route.idempotent {
        // The director must not let proxies retry calls that are not idempotent, as they could be executed
        // twice.
        return Some("never or if-never-ran, as this route's calls must not run twice".to_string());
    }
    (!known.has_admission_control).then(|| "nothing: the settings let no levels be set".to_string())
}

fn one_of(what: &str, names: Vec<&str>) -> String {
    format!("{what} of the settings, one of {}", names.join(", "))
}
