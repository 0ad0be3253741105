//! A director's configuration.

use super::context::{nanoseconds, Places, Platform};
use coppersail::interface::{Route, Semantics, Settings};
use serde_json::{json, Value};

/// What a director may use of memory, megabytes.
const MEMORY_LIMIT_MB: u64 = 64;
/// How many sockets a director may have open.
const SOCKET_LIMIT: u64 = 256;
/// How the configuration calls the default retry policy, `Retry::IfNeverRan`.
const RETRY_IF_NEVER_RAN: u64 = 1;

impl Platform {
    /// The configuration of a director, as JSON. `known` is the endpoint list that the director has stored, as JSON;
    /// anything else stands for none.
    pub fn config(&self, name: &str, seed: u64, addresses: &Places, known: &str) -> String {
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
            "me": settings.me.0,
            "balancers": settings.directors,
            "discovery": "pushed",
            "zones": settings.zones,
            "kinds": settings.kinds,
            "az": settings.zone.map(|zone| self.zone(zone)),
            "classes": classes,
            "report": {"columns": ["q", "lat_ms", "busy", "rate"], "source": "piggyback"},
            "guarantees": guarantees_json(settings),
            "limits": {"may-probe": settings.may_probe},
            "specifics": specifics_json(settings),
        })
    }
}

/// A route.
fn class_json(name: &str, route: &Route) -> Value {
    let semantics = match route.semantics {
        Semantics::Repeatable => "safe",
        Semantics::Keyed { .. } => "keyed",
        Semantics::MustNotRepeat => "unsafe",
    };
    json!({
        "name": name,
        "aim-ns": nanoseconds(route.slo_time),
        "give-up-ns": nanoseconds(route.time_limit),
        "worth": route.importance,
        "semantics": semantics,
    })
}

/// What hosts can take during slow start, and the grace period.
fn guarantees_json(settings: &Settings) -> Value {
    json!({
        "cold-from": settings.cold_from,
        "ramp-time-ns": nanoseconds(settings.ramp_time),
        "fall-multiple": settings.fall_multiple,
        "fall-ns": nanoseconds(settings.fall_time),
        "stop-sending-within-ns": nanoseconds(settings.grace),
    })
}

/// The fleet's sizes, and the bounds of its channels.
fn specifics_json(settings: &Settings) -> Value {
    let mutating: Vec<bool> = settings.routes.iter().map(|route| route.mutating).collect();
    json!({
        "slices": settings.slices,
        "proxy-count": settings.proxies,
        "admission": "fraction",
        "retry-default": RETRY_IF_NEVER_RAN,
        "ejects": settings.ejects_after,
        "overhead": settings.message_overhead,
        "lines-per-s": settings.lines_per_s,
        "backlog": settings.backlog_lines,
        "transit-ns": nanoseconds(settings.transit),
        "transit-max-ns": nanoseconds(settings.transit_most),
        "interval-ns": nanoseconds(settings.report_interval),
        "in-flight-max-ns": nanoseconds(settings.in_flight_most),
        "unserved-max-ns": nanoseconds(settings.unserved_most),
        "mutating": mutating,
        "warm-keys": settings.warm_keys,
    })
}
