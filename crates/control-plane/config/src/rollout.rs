//! A rollout plan, as an operator submits it: it moves a service's requests to a new version step by step.
use crate::checks::{accept_any, expect, not_blank, share_limit};
use crate::config::{Config, Route};
use crate::error::FieldError;
use crate::readers::{list, non_negative, object, optional, text, time, unsigned};
use crate::table::{default_to, required, table};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A plan that was forgotten must not route requests forever.
const DEFAULT_MAX_DURATION: Duration = Duration::from_secs(4 * 3600);
const MAX_DURATION_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_secs(14 * 24 * 3600);
/// The latest answer at a connected edge is up to 0.7 s old, and comes from a node whose last contact with
/// the leader was up to 0.5 s earlier. A shorter lease would expire without any failure.
const LEASE_RANGE: RangeInclusive<Duration> = Duration::from_millis(1500)..=Duration::from_secs(60);
const FALSE_ALARM_RATE_RANGE: RangeInclusive<f64> = 1e-6..=0.2;
const MAX_STEPS: usize = 64;

/// The fields of a plan.
const FIELDS: [&str; 11] =
    ["service", "from", "to", "routes", "member", "steps", "bounds", "error", "pause", "lease", "ends"];

table! {
    /// A progressive rollout of one version of a service, as an operator submits it.
    pub struct RolloutPlan {
        /// The service whose requests are moved.
        service: String = "service", text, required(), not_blank;
        /// The version in service, which the new one is compared with.
        from: Version = "from", version, required(), accept_any;
        /// The new version.
        to: Version = "to", version, required(), accept_any;
        /// The names of the routes; empty for all routes of the service.
        routes: Vec<String> = "routes", list(text), default_to(Vec::new()), accept_any;
        /// The header whose value assigns a client to a version; if it is absent, the client's address does.
        session_header: Option<String> = "member", optional(text), default_to(None), accept_any;
        /// 1 to 64 steps with increasing shares.
        steps: Vec<Step> = "steps", list(step), required(), increasing_shares;
        /// How much worse the new version may be.
        bounds: Bounds = "bounds", bounds, default_to(Bounds::default()), accept_any;
        /// The highest probability of pausing a version that is not worse (significance level).
        false_alarm_rate: f64 = "error", non_negative, default_to(0.01), false_alarm_rate_range;
        /// What a pause does.
        pause_action: PauseAction = "pause", pause_action, default_to(PauseAction::Withdraw), accept_any;
        /// How long an edge without contact to the leader continues to use the new version.
        lease: Duration = "lease", time, default_to(Duration::from_millis(2500)), lease_range;
        /// How long the rollout may take; after that it is paused.
        max_duration: Duration = "ends", time, default_to(DEFAULT_MAX_DURATION), max_duration_range;
    }
}

table! {
    /// A step of a rollout.
    pub struct Step {
        /// The share of requests that go to the new version, above 0 and up to 1.
        share: f64 = "share", non_negative, required(), share_limit;
        /// The least duration of the step.
        min_duration: Duration = "least", time, default_to(Duration::from_secs(60)), accept_any;
        /// The least number of answers of the new version in this step.
        min_answers: u64 = "evidence", unsigned, default_to(200), accept_any;
        /// What ends the step.
        approval: StepApproval = "pass", step_approval, default_to(StepApproval::Automatic), accept_any;
    }
}

table! {
    /// How much worse the new version may be than the other one in the same period.
    pub struct Bounds {
        /// The additional answers after the latency target, as a share of its requests.
        late: f64 = "late", non_negative, default_to(0.02), share_limit;
        /// The additional failed requests, as a share of its requests.
        lost: f64 = "lost", non_negative, default_to(0.001), share_limit;
        /// The number of requests that were run twice.
        doubled: u64 = "doubled", unsigned, default_to(0), accept_any;
    }
}

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Version {
    /// All endpoints of the service with this name.
    Backend(String),
    /// The endpoints that report this revision.
    Revision(String),
}

impl Default for Version {
    fn default() -> Self {
        Version::Revision(String::new())
    }
}

/// What ends a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StepApproval {
    /// The step ends by itself after its least duration and number of answers.
    #[default]
    Automatic,
    /// The operator ends the step after these.
    Operator,
}

/// What a pause does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PauseAction {
    /// The share stays as it is.
    Freeze,
    /// All requests go to the version in service.
    #[default]
    Withdraw,
}

fn version(value: &Value) -> Result<Version, FieldError> {
    let given = object(value)?;
    let name = |kind: &str| {
        given.get(kind).and_then(Value::as_str).filter(|name| !name.is_empty()).map(String::from)
    };
    match (name("backend"), name("revision"), given.len()) {
        (Some(service), None, 1) => Ok(Version::Backend(service)),
        (None, Some(revision), 1) => Ok(Version::Revision(revision)),
        _ => Err(FieldError::new(value, "{\"backend\": name} or {\"revision\": name}")),
    }
}

fn one_of<T: Copy>(value: &Value, choices: &[(&str, T)], expected: &'static str) -> Result<T, FieldError> {
    let choice = choices.iter().find(|(name, _)| value.as_str() == Some(name));
    choice.map(|(_, choice)| *choice).ok_or_else(|| FieldError::new(value, expected))
}

fn step_approval(value: &Value) -> Result<StepApproval, FieldError> {
    one_of(
        value,
        &[("itself", StepApproval::Automatic), ("operator", StepApproval::Operator)],
        "\"itself\" or \"operator\"",
    )
}

fn pause_action(value: &Value) -> Result<PauseAction, FieldError> {
    one_of(
        value,
        &[("freeze", PauseAction::Freeze), ("withdraw", PauseAction::Withdraw)],
        "\"freeze\" or \"withdraw\"",
    )
}

fn step(value: &Value) -> Result<Step, FieldError> {
    Step::from_source(object(value)?)
}

fn bounds(value: &Value) -> Result<Bounds, FieldError> {
    Bounds::from_source(object(value)?)
}

fn increasing_shares(steps: &[Step]) -> Result<(), &'static str> {
    let shares: Vec<f64> = std::iter::once(0.0).chain(steps.iter().map(|step| step.share)).collect();
    let rise = shares.windows(2).all(|pair| pair[0] < pair[1]);
    expect((1..=MAX_STEPS).contains(&steps.len()) && rise, "1 to 64 steps whose shares rise from above 0")
}

fn false_alarm_rate_range(rate: &f64) -> Result<(), &'static str> {
    expect(FALSE_ALARM_RATE_RANGE.contains(rate), "between 0.000001 and 0.2")
}

fn lease_range(lease: &Duration) -> Result<(), &'static str> {
    expect(LEASE_RANGE.contains(lease), "between 1.5 s and a minute")
}

fn max_duration_range(duration: &Duration) -> Result<(), &'static str> {
    expect(MAX_DURATION_RANGE.contains(duration), "between a second and two weeks")
}

/// Reads the body of `POST /rollouts/NAME`.
///
/// # Errors
/// The body is not JSON, a field is unknown or not valid, or the versions don't fit together.
///
/// ```
/// let body = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"},
///     "steps": [{"share": 0.05, "least": "60s"}, {"share": 0.5, "pass": "operator"}]}"#;
/// assert_eq!(coppersail_config::rollout::parse(body).unwrap().steps[1].share, 0.5);
/// let error = coppersail_config::rollout::parse(&body.replace("0.05", "0.7")).unwrap_err();
/// assert!(error.to_string().ends_with("expected 1 to 64 steps whose shares rise from above 0"));
/// let error = coppersail_config::rollout::parse(&body.replace("\"60s\"", "60")).unwrap_err();
/// assert_eq!(error.to_string(), "steps[0].least is 60, expected a time such as \"1500ms\" or \"2.5s\"");
/// let error = coppersail_config::rollout::parse(&body.replace("\"v2\"", "\"v1\"")).unwrap_err();
/// assert_eq!(error.to_string(), "to is {\"revision\":\"v1\"}, expected another version than `from`, of the same kind");
/// ```
pub fn parse(body: &str) -> Result<RolloutPlan, FieldError> {
    let value: Value =
        serde_json::from_str(body).map_err(|error| FieldError::not_json(&error, "a plan as one table"))?;
    let document = object(&value)?;
    reject_unknown_fields(document)?;
    let plan = RolloutPlan::from_source(document)?;
    if !plan.versions_are_comparable() {
        let expected = "another version than `from`, of the same kind";
        return Err(FieldError::new(&value["to"], expected).within("to"));
    }
    if matches!(&plan.from, Version::Backend(name) if *name != plan.service) {
        return Err(FieldError::new(&value["from"], "the service itself").within("from"));
    }
    Ok(plan)
}

/// Rejects unknown fields: a misspelt one would silently get its default.
fn reject_unknown_fields(document: &Map<String, Value>) -> Result<(), FieldError> {
    match document.keys().find(|name| !FIELDS.contains(&name.as_str())) {
        Some(name) => Err(FieldError::new(&Value::from(name.as_str()), "no such setting")),
        None => Ok(()),
    }
}

impl RolloutPlan {
    /// Whether both versions are of the same kind, and different.
    fn versions_are_comparable(&self) -> bool {
        let same_kind = std::mem::discriminant(&self.from) == std::mem::discriminant(&self.to);
        same_kind && self.from != self.to
    }

    /// Checks that the plan can be carried out with a configuration.
    ///
    /// # Errors
    /// Why it can't: a service or route is missing, or the service is sharded and its versions are revisions.
    ///
    /// ```
    /// let plan = coppersail_config::rollout::parse(r#"{"service": "a", "from": {"backend": "a"}, "to": {"backend": "b"},
    ///     "steps": [{"share": 0.1}]}"#).unwrap();
    /// let error = plan.fits(&coppersail_config::Config::default()).unwrap_err();
    /// assert_eq!(error.to_string(), "service is \"a\", expected a service of the configuration in force");
    /// ```
    pub fn fits(&self, config: &Config) -> Result<(), FieldError> {
        self.check_service(config)?;
        self.check_routes(config)?;
        match &self.to {
            Version::Backend(target) => self.check_target(config, target),
            Version::Revision(_) => Ok(()),
        }
    }

    fn check_service(&self, config: &Config) -> Result<(), FieldError> {
        let Some(service) = config.service(&self.service) else {
            return Err(mismatch("service", &self.service, "a service of the configuration in force"));
        };
        if service.sharded && matches!(self.to, Version::Revision(_)) {
            // The owners of slices are assigned by the control plane, so an edge can't choose endpoints by
            // revision.
            return Err(mismatch(
                "service",
                &self.service,
                "one that isn't split up, or versions by backend",
            ));
        }
        Ok(())
    }

    fn check_routes(&self, config: &Config) -> Result<(), FieldError> {
        for name in &self.routes {
            let exists =
                config.routes.iter().any(|route| route.name == *name && has_share(route, &self.service));
            if !exists {
                return Err(mismatch("routes", name, "a route to the service in the configuration in force"));
            }
        }
        Ok(())
    }

    /// Checks that the configuration allows the target service for each route of the plan.
    fn check_target(&self, config: &Config, target: &str) -> Result<(), FieldError> {
        let covered = |route: &&Route| self.covers(&route.name) && has_share(route, &self.service);
        let names: BTreeSet<&str> =
            config.routes.iter().filter(covered).map(|route| route.name.as_str()).collect();
        let allows =
            |name: &&str| config.routes.iter().any(|route| route.name == **name && has_share(route, target));
        if config.service(target).is_none() || !names.iter().all(allows) {
            return Err(mismatch("to", target, "a service that each of the routes names in its shares"));
        }
        Ok(())
    }

    /// Whether the plan applies to the requests of the route with this name.
    pub fn covers(&self, route: &str) -> bool {
        self.routes.is_empty() || self.routes.iter().any(|name| name == route)
    }
}

fn has_share(route: &Route, service: &str) -> bool {
    route.weighted_services.iter().any(|(name, _)| name == service)
}

fn mismatch(field: &str, name: &str, expected: &'static str) -> FieldError {
    FieldError::new(&Value::from(name), expected).within(field)
}
