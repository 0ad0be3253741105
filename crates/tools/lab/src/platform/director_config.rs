//! A director's configuration.

use super::context::{nanoseconds, Platform, ServiceAddresses};
use coppersail::interface::{Idempotency, Route, Settings};
use serde_json::{json, Value};

/// What a director may use of memory, megabytes.
const MEMORY_LIMIT_MB: u64 = 64;
/// How many sockets a director may have open.
const SOCKET_LIMIT: u64 = 256;
/// How the configuration calls the default retry policy, `RetryPolicy::IfNotExecuted`.
const RETRY_IF_NEVER_RAN: u64 = 1;

impl Platform {
    /// The configuration of a director, as JSON. `known` is the endpoint list that the director has stored, as JSON;
    /// anything else stands for none.
    pub fn config(&self, name: &str, seed: u64, addresses: &ServiceAddresses, known: &str) -> String {
        let known: Value = serde_json::from_str(known).unwrap_or_default();
        json!({
            "name": name,
            "seed": format!("{seed:016x}"),
            "listen": addresses.listen,
            "discovery": addresses.discovery,
            "relay": {"address": addresses.relay},
            "known": known,
            "limits": {"memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "settings": self.settings_json(),
        })
        .to_string()
    }

    fn settings_json(&self) -> Value {
        let settings = &self.settings;
        let mut classes = Vec::new();
        for (route, name) in settings.routes.iter().zip(&self.routes) {
            classes.push(class_json(name, route));
        }
        json!({
            "me": settings.peer_id.0,
            "balancers": settings.director_count,
            "discovery": "pushed",
            "zones": settings.zone_names,
            "kinds": settings.machine_types,
            "az": settings.zone.map(|zone| self.zone(zone)),
            "classes": classes,
            "report": {"columns": ["q", "lat_ms", "busy", "rate"], "source": "piggyback"},
            "guarantees": guarantees_json(settings),
            "limits": {"may-probe": settings.probes_allowed},
            "specifics": specifics_json(settings),
        })
    }
}

/// A route.
fn class_json(name: &str, route: &Route) -> Value {
    let semantics = match route.idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::Deduplicated { .. } => "keyed",
        Idempotency::NotIdempotent => "unsafe",
    };
    json!({
        "name": name,
        "aim-ns": nanoseconds(route.latency_target),
        "give-up-ns": nanoseconds(route.deadline),
        "worth": route.value,
        "semantics": semantics,
    })
}

/// What hosts can take during slow start, and the grace period.
fn guarantees_json(settings: &Settings) -> Value {
    json!({
        "cold-from": settings.cold_capacity_share,
        "ramp-time-ns": nanoseconds(settings.slow_start_duration),
        "fall-multiple": settings.collapse_multiple,
        "fall-ns": nanoseconds(settings.collapse_time),
        "stop-sending-within-ns": nanoseconds(settings.grace_period),
    })
}

/// The fleet's sizes, and the bounds of its channels.
fn specifics_json(settings: &Settings) -> Value {
    let mutating: Vec<bool> = settings.routes.iter().map(|route| route.is_write).collect();
    json!({
        "slices": settings.slice_count,
        "proxy-count": settings.proxy_count,
        "admission": "fraction",
        "retry-default": RETRY_IF_NEVER_RAN,
        "ejects": settings.proxy_ejection_threshold,
        "overhead": settings.message_overhead_lines,
        "lines-per-s": settings.channel_lines_per_s,
        "backlog": settings.channel_backlog_lines,
        "transit-ns": nanoseconds(settings.typical_transit_time),
        "transit-max-ns": nanoseconds(settings.max_transit_time),
        "interval-ns": nanoseconds(settings.report_interval),
        "in-flight-max-ns": nanoseconds(settings.max_write_in_flight_time),
        "unserved-max-ns": nanoseconds(settings.max_unserved_time),
        "mutating": mutating,
        "warm-keys": settings.hosts_cache_keys,
    })
}
