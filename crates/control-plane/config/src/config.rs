//! A configuration of the operator: read whole, checked, made into a table of routes.
//!
//! What the protocol calls invalid is refused, and nothing else. Where it is silent: of two rows with the same name of
//! a service, or with the same domain and prefix, the last counts; `shares` go before `backend`; a route that names no
//! service is one with an unknown service; a kind of route that isn't known is not repeated.
use crate::field::{
    any, filled, flag, fraction, list, maybe, must, object, or, table, text, time, whole, FieldError,
};
use crate::field::{Row, Source};
use serde_json::Value;
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The longest `giveUp` that is valid.
const GIVE_UP_MAX: Duration = Duration::from_secs(600);
/// How far above `giveUp` a `target_time` is invalid.
const TARGET_ABOVE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub caps: Caps,
}

table! {
    /// What a client may send, and how long it may take.
    pub struct Caps {
        head_size: usize = "headSizeBytes", whole, or(16384), any;
        body_size: u64 = "bodySizeBytes", whole, or(67108864), any;
        head_wait: Duration = "headWait", time, or(Duration::from_secs(3)), any;
        quiet: Duration = "quiet", time, or(Duration::from_secs(15)), any;
    }
}

table! {
    pub struct Route {
        name: String = "name", text, or(String::new()), any;
        domain: String = "domain", text, must(), filled;
        path_start: String = "pathStart", text, or("/".into()), any;
        repeatable: bool = "sort", repeatable, or(false), any;
        give_up: Option<Duration> = "giveUp", maybe(time), or(None), bounded;
        target_time: Option<Duration> = "target_time", maybe(time), or(None), any;
        rank: u32 = "rank", whole, or(0), any;
        /// The most hosts that one try may be sent to; at least 1.
        tries: u32 = "tries", tries, or(1), any;
        /// (service, share): one entry of share 1 where the route names a `backend`.
        shares: Vec<(String, f64)> = "shares", list(share), or(Vec::new()), any;
    }
}

table! {
    pub struct Service {
        name: String = "name", text, must(), any;
        check_path: Option<String> = "checkPath", maybe(text), or(None), any;
        /// No bound where none is given.
        max_connections: u32 = "maxConnections", whole, or(u32::MAX), any;
        split_up: bool = "splitUp", flag, or(false), any;
        /// For how long keys are slow that come without a handover.
        heat: Duration = "heat", time, or(Duration::ZERO), any;
    }
}

table! {
    /// The other way to name a route's service.
    struct Whither {
        backend: Option<String> = "backend", maybe(text), or(None), any;
    }
}

fn repeatable(value: &Value) -> Result<bool, FieldError> {
    Ok(text(value)? == "repeatable")
}

fn tries(value: &Value) -> Result<u32, FieldError> {
    whole(value).map(|n: u32| n.max(1))
}

fn share(value: &Value) -> Result<(String, f64), FieldError> {
    let table = object(value)?;
    let backend = table.field("backend").ok_or_else(|| FieldError::left_out("a service").under("backend"))?;
    let share = table.field("share").map_or(Ok(1.0), fraction).map_err(|f| f.under("share"))?;
    Ok((text(backend).map_err(|f| f.under("backend"))?, share))
}

fn bounded(time: &Option<Duration>) -> Result<(), &'static str> {
    if time.is_some_and(|t| t > GIVE_UP_MAX) {
        Err("ten minutes at most")
    } else {
        Ok(())
    }
}

/// Reads the body of `POST /settings/replace`.
///
/// ```
/// let body = br#"{"revision": "r7",
///     "routes": {"columns": ["domain", "pathStart", "backend"], "rows": [["a.example", "/x/", "main"]]},
///     "backends": {"columns": ["name"], "rows": [["main"]]}}"#;
/// let config = coppersail_config::config::parse(body).unwrap();
/// assert_eq!((config.revision, config.routes[0].shares[0].1), (7, 1.0));
///
/// let body = String::from_utf8_lossy(body).replace("\"main\"]]},", "\"gone\"]]},");
/// let fault = coppersail_config::config::parse(body.as_bytes()).unwrap_err();
/// assert_eq!(fault.to_string(), "routes.rows[0].backend is \"gone\", expected a service of this configuration");
/// ```
pub fn parse(body: &[u8]) -> Result<Config, FieldError> {
    let whole: Value = serde_json::from_slice(body).map_err(|e| FieldError {
        field: String::new(),
        value: format!("not JSON ({e})"),
        expected: "a configuration as one table",
    })?;
    let top = object(&whole)?;
    let part = |name: &str| top.field(name).ok_or_else(|| FieldError::left_out("it to be given").under(name));
    let revision = revision(part("revision")?).map_err(|f| f.under("revision"))?;
    let services =
        rows(part("backends")?, |row| Service::from_source(row)).map_err(|f| f.under("backends"))?;
    let known: HashSet<&str> = services.iter().map(|service| service.name.as_str()).collect();
    let routes = rows(part("routes")?, |row| route(row, &known)).map_err(|f| f.under("routes"))?;
    let caps = top.field("caps").map_or(Ok(Caps::default()), |caps| Caps::from_source(object(caps)?));
    let caps = caps.map_err(|f| f.under("caps"))?;
    Ok(Config { revision, routes, services, caps })
}

fn revision(value: &Value) -> Result<u64, FieldError> {
    let digits = value.as_str().and_then(|text| text.strip_prefix('r'));
    let digits = digits.filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    digits.and_then(|d| d.parse().ok()).ok_or_else(|| FieldError::new(value, "\"r\" and a whole number"))
}

fn rows<T>(table: &Value, read: impl Fn(&Row) -> Result<T, FieldError>) -> Result<Vec<T>, FieldError> {
    let table = object(table)?;
    let part = |name: &str| {
        let value = table.field(name).ok_or_else(|| FieldError::left_out("a list").under(name))?;
        value.as_array().ok_or_else(|| FieldError::new(value, "a list").under(name))
    };
    let name = |v| Value::as_str(v).ok_or_else(|| FieldError::new(v, "names of fields").under("columns"));
    let columns = part("columns")?.iter().map(name).collect::<Result<Vec<&str>, FieldError>>()?;
    let one = |(at, value): (usize, &Value)| {
        let values = value.as_array().filter(|values| values.len() == columns.len());
        let values = values.ok_or_else(|| FieldError::new(value, "a value for each column"));
        values
            .and_then(|values| read(&Row { columns: &columns, values }))
            .map_err(|f| f.under(&format!("rows[{at}]")))
    };
    part("rows")?.iter().enumerate().map(one).collect()
}

fn route(row: &Row, known: &HashSet<&str>) -> Result<Route, FieldError> {
    let mut route = Route::from_source(row)?;
    let other = Whither::from_source(row)?.backend;
    let field = if other.is_some() || route.shares.is_empty() { "backend" } else { "shares" };
    if route.shares.is_empty() && other.is_none() {
        return Err(FieldError::left_out("a service, here or under shares").under(field));
    }
    let unknown = |name: &&String| !known.contains(name.as_str());
    if let Some(name) = other.iter().chain(route.shares.iter().map(|(name, _)| name)).find(unknown) {
        return Err(
            FieldError::new(&Value::from(name.as_str()), "a service of this configuration").under(field)
        );
    }
    if let (true, Some(name)) = (route.shares.is_empty(), other) {
        route.shares = vec![(name, 1.0)];
    }
    if let (Some(target), Some(give_up)) = (route.target_time, route.give_up) {
        if target >= give_up + TARGET_ABOVE {
            let expected = "less than a minute above giveUp";
            return Err(FieldError {
                field: "target_time".into(),
                value: crate::format_duration(target),
                expected,
            });
        }
    }
    Ok(route)
}

impl Config {
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().rev().find(|service| service.name == name)
    }
}

/// Routes by domain and, within one, by prefix.
///
/// ```
/// use coppersail_config::{Config, Route, Routes};
/// let route = |start: &str| Route { domain: "a.example".into(), path_start: start.into(), ..Default::default() };
/// let routes = Routes::new(&Config { routes: vec![route("/"), route("/x/y/")], ..Default::default() });
/// assert_eq!(routes.lookup("A.example:80", "/x/y/z").unwrap().path_start, "/x/y/");
/// assert_eq!(routes.lookup("a.example", "/x/yz").unwrap().path_start, "/");
/// assert!(routes.lookup("b.example", "/x/y/z").is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Routes {
    /// By domain, then prefix; of equal ones only the last of the configuration.
    all: Vec<Route>,
    /// For each of `all`, the longest other prefix of its domain that begins its own.
    within: Vec<Option<u32>>,
    /// Domain -> its part of `all`.
    domains: HashMap<String, (u32, u32)>,
}

impl Routes {
    pub fn new(config: &Config) -> Routes {
        let domain = |route: &Route| host_of(&route.domain).into_owned();
        // The sort is stable, so the last of equals is the last of the configuration.
        let mut sorted: Vec<(String, &Route)> = config.routes.iter().map(|r| (domain(r), r)).collect();
        sorted.sort_by(|a, b| (&a.0, &a.1.path_start).cmp(&(&b.0, &b.1.path_start)));
        let same =
            |a: &(String, &Route), b: &(String, &Route)| a.0 == b.0 && a.1.path_start == b.1.path_start;
        let mut routes = Routes::default();
        let mut open: Vec<u32> = Vec::new();
        for (at, entry) in sorted.iter().enumerate() {
            if sorted.get(at + 1).is_some_and(|next| same(entry, next)) {
                continue;
            }
            let index = routes.all.len() as u32;
            let part = routes.domains.entry(entry.0.clone()).or_insert((index, index));
            part.1 = index + 1;
            if part.0 == index {
                open.clear();
            }
            let start = &entry.1.path_start;
            while open.last().is_some_and(|&o| !start.starts_with(&routes.all[o as usize].path_start)) {
                open.pop();
            }
            routes.within.push(open.last().copied());
            routes.all.push(entry.1.clone());
            open.push(index);
        }
        routes
    }

    /// The route of a request, by its `Host` header and its path.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        let path = path.split('?').next().unwrap_or_default();
        let &(first, end) = self.domains.get(host_of(host).as_ref())?;
        let part = &self.all[first as usize..end as usize];
        // Whatever begins the path also begins the last prefix that isn't above it: the way leads from there outwards.
        let below = part.partition_point(|route| route.path_start.as_str() <= path);
        let mut at = Some(first + below.checked_sub(1)? as u32);
        while let Some(index) = at {
            let route = &self.all[index as usize];
            if path.starts_with(&route.path_start) {
                return Some(route);
            }
            at = self.within[index as usize];
        }
        None
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// A host without its port, in lower case.
fn host_of(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let end = match host.find(']') {
        Some(end) => end + 1,
        None => host.find(':').unwrap_or(host.len()),
    };
    match &host[..end] {
        name if name.bytes().any(|b| b.is_ascii_uppercase()) => Cow::Owned(name.to_ascii_lowercase()),
        name => Cow::Borrowed(name),
    }
}
