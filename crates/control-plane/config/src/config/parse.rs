//! Reading and checking a configuration.
use super::model::{ClientLimits, Config, Route, Service};
use crate::checks::accept_any;
use crate::error::FieldError;
use crate::format_duration;
use crate::readers::{object, optional, text};
use crate::source::{read_field, read_rows, FieldSource, Row};
use crate::table::default_to;
use serde_json::Value;
use std::collections::HashSet;
use std::time::Duration;

/// The distance above `giveUp` from which on a `target_time` is invalid.
const MAX_TARGET_ABOVE_DEADLINE: Duration = Duration::from_secs(60);

/// Reads the body of `POST /settings/replace`.
///
/// # Errors
/// The body is not JSON, or a field is not valid; the error is about the first such field.
///
/// ```
/// let body = br#"{"revision": "r7",
///     "routes": {"columns": ["domain", "pathStart", "backend"], "rows": [["a.example", "/x/", "main"]]},
///     "backends": {"columns": ["name"], "rows": [["main"]]}}"#;
/// let config = coppersail_config::config::parse(body).unwrap();
/// assert_eq!((config.revision, config.routes[0].weighted_services[0].1), (7, 1.0));
///
/// let body = String::from_utf8_lossy(body).replace("\"main\"]]},", "\"gone\"]]},");
/// let error = coppersail_config::config::parse(body.as_bytes()).unwrap_err();
/// assert_eq!(error.to_string(), "routes.rows[0].backend is \"gone\", expected a service of this configuration");
/// ```
pub fn parse(body: &[u8]) -> Result<Config, FieldError> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| FieldError::not_json(&error, "a configuration as one table"))?;
    let document = object(&value)?;
    let required =
        |name: &str| document.field(name).ok_or_else(|| FieldError::missing("it to be given").within(name));
    let revision = revision(required("revision")?).map_err(|error| error.within("revision"))?;
    let services = read_rows(required("backends")?, |row| Service::from_source(row))
        .map_err(|error| error.within("backends"))?;
    let names: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let routes =
        read_rows(required("routes")?, |row| route(row, &names)).map_err(|error| error.within("routes"))?;
    let client_limits = document
        .field("caps")
        .map_or(Ok(ClientLimits::default()), |limits| ClientLimits::from_source(object(limits)?))
        .map_err(|error| error.within("caps"))?;
    Ok(Config { revision, routes, services, client_limits })
}

/// "r" and a number.
fn revision(value: &Value) -> Result<u64, FieldError> {
    let digits = value.as_str().and_then(|text| text.strip_prefix('r'));
    let digits = digits.filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()));
    digits
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| FieldError::new(value, "\"r\" and a whole number"))
}

fn route(row: &Row, service_names: &HashSet<&str>) -> Result<Route, FieldError> {
    let mut route = Route::from_source(row)?;
    let backend = read_field(row, "backend", optional(text), default_to(None), accept_any)?;
    check_services(&route, backend.as_deref(), service_names)?;
    if let (true, Some(service)) = (route.weighted_services.is_empty(), backend) {
        route.weighted_services = vec![(service, 1.0)];
    }
    check_target_time(&route)?;
    Ok(route)
}

/// A route names at least one service, as `backend` or in `shares`, and all of them exist.
fn check_services(
    route: &Route,
    backend: Option<&str>,
    service_names: &HashSet<&str>,
) -> Result<(), FieldError> {
    let field = if backend.is_some() || route.weighted_services.is_empty() { "backend" } else { "shares" };
    if route.weighted_services.is_empty() && backend.is_none() {
        return Err(FieldError::missing("a service, here or under shares").within(field));
    }
    let named =
        backend.into_iter().chain(route.weighted_services.iter().map(|(service, _)| service.as_str()));
    for service in named {
        if !service_names.contains(service) {
            let expected = "a service of this configuration";
            return Err(FieldError::new(&Value::from(service), expected).within(field));
        }
    }
    Ok(())
}

fn check_target_time(route: &Route) -> Result<(), FieldError> {
    let (Some(target), Some(deadline)) = (route.latency_target, route.deadline) else { return Ok(()) };
    if target < deadline + MAX_TARGET_ABOVE_DEADLINE {
        return Ok(());
    }
    let expected = "less than a minute above giveUp";
    Err(FieldError { field: "target_time".into(), value: format_duration(target), expected })
}
