//! The parts of a configuration, as the operator writes them.
use crate::checks::{accept_any, expect, not_blank};
use crate::error::FieldError;
use crate::readers::{boolean, list, non_negative, object, optional, text, time, unsigned};
use crate::source::FieldSource;
use crate::table::{default_to, required, table};
use serde_json::Value;
use std::time::Duration;

/// The longest valid deadline of a request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A configuration that has been checked: each service that a route names exists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// The number after the `r`; the higher one is newer.
    pub revision: u64,
    /// In the order of the configuration.
    pub routes: Vec<Route>,
    /// In the order of the configuration.
    pub services: Vec<Service>,
    /// Limits for clients.
    pub client_limits: ClientLimits,
}

table! {
    /// What a client may send, and how long it may take.
    pub struct ClientLimits {
        /// The size of the request line and headers, in bytes.
        max_header_bytes: usize = "headSizeBytes", unsigned, default_to(16384), accept_any;
        /// The size of a request body, in bytes.
        max_body_bytes: u64 = "bodySizeBytes", unsigned, default_to(67108864), accept_any;
        /// How long the request line and headers may take.
        header_timeout: Duration = "headWait", time, default_to(Duration::from_secs(3)), accept_any;
        /// How long a connection may be idle, or a body may pause.
        idle_timeout: Duration = "quiet", time, default_to(Duration::from_secs(15)), accept_any;
    }
}

table! {
    /// A route: which requests go to which services, and how.
    pub struct Route {
        /// The name, by which rollout plans refer to the route.
        name: String = "name", text, default_to(String::new()), accept_any;
        /// The domain, compared without case and port.
        domain: String = "domain", text, required(), not_blank;
        /// The path prefix; of several that match, the longest counts.
        path_prefix: String = "pathStart", text, default_to("/".into()), accept_any;
        /// Requests are idempotent and may be sent again after an indeterminate outcome.
        idempotent: bool = "sort", is_repeatable, default_to(false), accept_any;
        /// The deadline of a request; ten minutes at most.
        deadline: Option<Duration> = "giveUp", optional(time), default_to(None), deadline_limit;
        /// The latency target, within which an answer has its full value. It is less than a minute above
        /// `deadline`.
        latency_target: Option<Duration> = "target_time", optional(time), default_to(None), accept_any;
        /// The priority; 0 is the highest.
        priority: u32 = "rank", unsigned, default_to(0), accept_any;
        /// How many endpoints one request may be sent to; at least 1.
        max_attempts: u32 = "tries", at_least_one, default_to(1), accept_any;
        /// The services with their weights; one entry of weight 1 if the route names a `backend` instead.
        weighted_services: Vec<(String, f64)> = "shares", list(weighted_service), default_to(Vec::new()), accept_any;
    }
}

table! {
    /// A backend service.
    pub struct Service {
        /// The name that routes refer to.
        name: String = "name", text, required(), accept_any;
        /// The path of its health check; absent without one.
        health_check_path: Option<String> = "checkPath", optional(text), default_to(None), accept_any;
        /// The limit of connections to one endpoint, of all edges together; the greatest number if there is
        /// no limit.
        max_connections: u32 = "maxConnections", unsigned, default_to(u32::MAX), accept_any;
        /// Whether its key space is sharded, so that each key has one endpoint.
        sharded: bool = "splitUp", boolean, default_to(false), accept_any;
        /// How long requests for a key are slow after its transfer without a handover.
        slow_after_transfer: Duration = "heat", time, default_to(Duration::ZERO), accept_any;
    }
}

impl Config {
    /// A service by its name; of several the last.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().rev().find(|service| service.name == name)
    }
}

fn is_repeatable(value: &Value) -> Result<bool, FieldError> {
    Ok(text(value)? == "repeatable")
}

fn at_least_one(value: &Value) -> Result<u32, FieldError> {
    unsigned(value).map(|number: u32| number.max(1))
}

fn weighted_service(value: &Value) -> Result<(String, f64), FieldError> {
    let entry = object(value)?;
    let service = entry.field("backend").ok_or_else(|| FieldError::missing("a service").within("backend"))?;
    let weight = entry.field("share").map_or(Ok(1.0), non_negative).map_err(|error| error.within("share"))?;
    Ok((text(service).map_err(|error| error.within("backend"))?, weight))
}

fn deadline_limit(time: &Option<Duration>) -> Result<(), &'static str> {
    expect(time.is_none_or(|time| time <= MAX_DEADLINE), "ten minutes at most")
}
