//! A plan that moves a share of a service's requests onto a new version, as an operator sends it.
use crate::field::{
    any, filled, fraction, list, maybe, must, object, or, table, text, time, whole, FieldError,
};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

/// A plan that was forgotten must not steer for ever.
const ENDS: Duration = Duration::from_secs(4 * 3600);
const ENDS_MAX: Duration = Duration::from_secs(14 * 24 * 3600);
/// An edge in touch has an answer that is up to 0.7 s old from a centre that heard the primary up to 0.5 s before; a
/// shorter lease would come and go by itself.
const LEASE_MIN: Duration = Duration::from_millis(1500);
const LEASE_MAX: Duration = Duration::from_secs(60);

table! {
    pub struct RolloutPlan {
        service: String = "service", text, must(), filled;
        from: Version = "from", version, must(), any;
        to: Version = "to", version, must(), any;
        /// Names of routes; all of the service's where there are none.
        routes: Vec<String> = "routes", list(text), or(Vec::new()), any;
        /// The header that names a session; the client's address where there is none.
        member: Option<String> = "member", maybe(text), or(None), any;
        steps: Vec<Step> = "steps", list(step), must(), rising;
        bounds: Bounds = "bounds", bounds, or(Bounds::default()), any;
        /// The most by which a sound release may be paused in error.
        error: f64 = "error", fraction, or(0.01), probable;
        pause: Pause = "pause", pause, or(Pause::Withdraw), any;
        /// For how long an edge that hears nothing goes on with the new version.
        lease: Duration = "lease", time, or(Duration::from_millis(2500)), leased;
        /// However it stands by then, it is paused.
        ends: Duration = "ends", time, or(ENDS), ending;
    }
}

table! {
    pub struct Step {
        share: f64 = "share", fraction, must(), part;
        least: Duration = "least", time, or(Duration::from_secs(60)), any;
        /// Answers of the new version that must have been counted in this step.
        evidence: u64 = "evidence", whole, or(200), any;
        pass: Pass = "pass", pass, or(Pass::Itself), any;
    }
}

table! {
    /// How much worse than the sound version in the same seconds the new one may be, as a share of its requests.
    pub struct Bounds {
        late: f64 = "late", fraction, or(0.02), part;
        lost: f64 = "lost", fraction, or(0.001), part;
        /// Bookings that were answered twice.
        doubled: u64 = "doubled", whole, or(0), any;
    }
}

/// Versions are told apart by the service that carries them, or by the `revision` that hosts tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Version {
    Backend(String),
    Revision(String),
}

impl Default for Version {
    fn default() -> Self {
        Version::Revision(String::new())
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pass {
    #[default]
    Itself,
    Operator,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pause {
    Freeze,
    #[default]
    Withdraw,
}

fn version(value: &Value) -> Result<Version, FieldError> {
    let given = object(value)?;
    let one =
        |name: &str| given.get(name).and_then(Value::as_str).filter(|t| !t.is_empty()).map(String::from);
    match (one("backend"), one("revision"), given.len()) {
        (Some(name), None, 1) => Ok(Version::Backend(name)),
        (None, Some(name), 1) => Ok(Version::Revision(name)),
        _ => Err(FieldError::new(value, "{\"backend\": name} or {\"revision\": name}")),
    }
}

fn word<T: Copy>(value: &Value, all: &[(&str, T)], expected: &'static str) -> Result<T, FieldError> {
    let found = all.iter().find(|(name, _)| value.as_str() == Some(name));
    found.map(|(_, it)| *it).ok_or_else(|| FieldError::new(value, expected))
}

fn pass(value: &Value) -> Result<Pass, FieldError> {
    word(value, &[("itself", Pass::Itself), ("operator", Pass::Operator)], "\"itself\" or \"operator\"")
}

fn pause(value: &Value) -> Result<Pause, FieldError> {
    word(value, &[("freeze", Pause::Freeze), ("withdraw", Pause::Withdraw)], "\"freeze\" or \"withdraw\"")
}

fn step(value: &Value) -> Result<Step, FieldError> {
    Step::from_source(object(value)?)
}

fn bounds(value: &Value) -> Result<Bounds, FieldError> {
    Bounds::from_source(object(value)?)
}

fn part(share: &f64) -> Result<(), &'static str> {
    if *share > 1.0 {
        Err("a share of 1 at most")
    } else {
        Ok(())
    }
}

fn rising(steps: &[Step]) -> Result<(), &'static str> {
    let shares: Vec<f64> = std::iter::once(0.0).chain(steps.iter().map(|s| s.share)).collect();
    match steps.len() {
        1..=64 if shares.windows(2).all(|two| two[0] < two[1]) => Ok(()),
        _ => Err("1 to 64 steps whose shares rise from above 0"),
    }
}

fn probable(error: &f64) -> Result<(), &'static str> {
    match error {
        e if (1e-6..=0.2).contains(e) => Ok(()),
        _ => Err("between 0.000001 and 0.2"),
    }
}

fn leased(lease: &Duration) -> Result<(), &'static str> {
    match lease {
        l if (LEASE_MIN..=LEASE_MAX).contains(l) => Ok(()),
        _ => Err("between 1.5 s and a minute"),
    }
}

fn ending(ends: &Duration) -> Result<(), &'static str> {
    match ends {
        e if (Duration::from_secs(1)..=ENDS_MAX).contains(e) => Ok(()),
        _ => Err("between a second and two weeks"),
    }
}

/// Reads the body of `POST /rollouts/NAME`.
///
/// ```
/// let body = r#"{"service": "ledger", "from": {"revision": "v1"}, "to": {"revision": "v2"},
///     "steps": [{"share": 0.05, "least": "60s"}, {"share": 0.5, "pass": "operator"}]}"#;
/// assert_eq!(coppersail_config::rollout::parse(body).unwrap().steps[1].share, 0.5);
/// let fault = coppersail_config::rollout::parse(&body.replace("0.05", "0.7")).unwrap_err();
/// assert!(fault.to_string().ends_with("expected 1 to 64 steps whose shares rise from above 0"));
/// let fault = coppersail_config::rollout::parse(&body.replace("\"60s\"", "60")).unwrap_err();
/// assert_eq!(fault.to_string(), "steps[0].least is 60, expected a time such as \"1500ms\" or \"2.5s\"");
/// let fault = coppersail_config::rollout::parse(&body.replace("\"v2\"", "\"v1\"")).unwrap_err();
/// assert_eq!(fault.to_string(), "to is {\"revision\":\"v1\"}, expected another version than `from`, of the same kind");
/// ```
pub fn parse(body: &str) -> Result<RolloutPlan, FieldError> {
    let whole: Value = serde_json::from_str(body).map_err(|e| FieldError {
        field: String::new(),
        value: format!("not JSON ({e})"),
        expected: "a plan as one table",
    })?;
    let top = object(&whole)?;
    // A word that is misspelt would be a default that nobody asked for.
    let known =
        ["service", "from", "to", "routes", "member", "steps", "bounds", "error", "pause", "lease", "ends"];
    if let Some(name) = top.keys().find(|name| !known.contains(&name.as_str())) {
        return Err(FieldError::new(&Value::from(name.as_str()), "no such setting"));
    }
    let plan = RolloutPlan::from_source(top)?;
    let alike = matches!((&plan.from, &plan.to), (Version::Backend(_), Version::Backend(_)))
        || matches!((&plan.from, &plan.to), (Version::Revision(_), Version::Revision(_)));
    if !alike || plan.from == plan.to {
        return Err(
            FieldError::new(&whole["to"], "another version than `from`, of the same kind").under("to")
        );
    }
    if matches!(&plan.from, Version::Backend(name) if *name != plan.service) {
        return Err(FieldError::new(&whole["from"], "the service itself").under("from"));
    }
    Ok(plan)
}

impl RolloutPlan {
    /// Why a configuration does not carry the plan.
    ///
    /// ```
    /// let plan = coppersail_config::rollout::parse(r#"{"service": "a", "from": {"backend": "a"}, "to": {"backend": "b"},
    ///     "steps": [{"share": 0.1}]}"#).unwrap();
    /// let fault = plan.fits(&coppersail_config::Config::default()).unwrap_err();
    /// assert_eq!(fault.to_string(), "service is \"a\", expected a service of the configuration in force");
    /// ```
    pub fn fits(&self, config: &crate::Config) -> Result<(), FieldError> {
        let missing = |name: &str, field: &str, expected| {
            Err(FieldError::new(&Value::from(name), expected).under(field))
        };
        if config.service(&self.service).is_none() {
            return missing(&self.service, "service", "a service of the configuration in force");
        }
        let divided = config.service(&self.service).is_some_and(|s| s.split_up);
        if divided && matches!(self.to, Version::Revision(_)) {
            // Which hosts have its keys is placement's choice, not an edge's.
            return missing(&self.service, "service", "one that isn't split up, or versions by backend");
        }
        let named =
            |route: &crate::Route, name: &str| route.shares.iter().any(|(service, _)| service == name);
        for name in &self.routes {
            if !config.routes.iter().any(|r| r.name == *name && named(r, &self.service)) {
                return missing(name, "routes", "a route to the service in the configuration in force");
            }
        }
        if let Version::Backend(to) = &self.to {
            let of = |r: &&crate::Route| self.covers(&r.name) && named(r, &self.service);
            // A request goes only to a service that some configuration allows for its route.
            let all: BTreeSet<&str> = config.routes.iter().filter(of).map(|r| r.name.as_str()).collect();
            let able = |name: &&str| config.routes.iter().any(|r| r.name == **name && named(r, to));
            if config.service(to).is_none() || !all.iter().all(able) {
                return missing(to, "to", "a service that each of the routes names in its shares");
            }
        }
        Ok(())
    }

    pub fn covers(&self, route: &str) -> bool {
        self.routes.is_empty() || self.routes.iter().any(|r| r == route)
    }
}
