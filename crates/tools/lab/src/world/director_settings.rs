//! What a director is told of the fleet at its start.

use super::table_check::MAX_UNSERVED;
use crate::scenario::{self, Scenario};
use coppersail::interface::{AdmissionUnit, Idempotency, PeerId, RetryPolicy, Route, Settings, ZoneId};

/// The span in seconds of the limit on messages, which the lab leaves unlimited.
const MESSAGE_LIMIT_SPAN: f64 = 10.0;
/// The longest transit of a message, relative to the mean.
const MAX_TRANSIT_FACTOR: f64 = 2.0;

/// The settings of a director in a scenario.
pub fn director_settings(scenario: &Scenario, director: u16) -> Settings {
    let fleet = &scenario.fleet;
    let channel = &scenario.channel;
    let routes = &scenario.load.routes;
    Settings {
        peer_id: PeerId(director.into()),
        director_count: fleet.directors as u64,
        zone: Some(ZoneId(director % fleet.zones)),
        zone_names: (0..fleet.zones).map(|zone| format!("z{zone}")).collect(),
        machine_types: vec!["k".into()],
        routes: routes.iter().map(route_settings).collect(),
        host_list_is_pushed: true,
        host_list_max_silence: 0.0,
        listed_weights: false,
        probes_allowed: true,
        peer_messages_allowed: false,
        cold_capacity_share: fleet.slow_start_speed,
        slow_start_duration: fleet.slow_start_duration,
        collapse_multiple: fleet.collapse_multiple,
        collapse_time: fleet.collapse_time,
        grace_period: fleet.grace,
        throttled_may_have_executed: false,
        removal_is_advisory: false,
        max_unserved_time: MAX_UNSERVED,
        slice_count: fleet.slices.into(),
        proxy_count: fleet.proxies.into(),
        exclusive_ownership: false,
        admission_unit: AdmissionUnit::Fraction,
        default_retry_policy: RetryPolicy::IfNotExecuted,
        proxy_ejection_threshold: fleet.eject_after_failures.into(),
        message_overhead_lines: channel.message_overhead,
        channel_lines_per_s: channel.lines_per_s,
        channel_backlog_lines: channel.max_backlog,
        max_messages_per_window: 0,
        message_window: MESSAGE_LIMIT_SPAN,
        typical_transit_time: channel.transit,
        max_transit_time: MAX_TRANSIT_FACTOR * channel.transit,
        report_interval: scenario.reports.interval,
        max_write_in_flight_time: routes.iter().map(|route| route.deadline).fold(0.0, f64::max),
        hosts_cache_keys: fleet.cache_saving > 0.0,
    }
}

fn route_settings(route: &scenario::Route) -> Route {
    let semantics = if route.idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
    Route {
        latency_target: route.latency_target,
        deadline: route.deadline,
        value: route.importance,
        idempotency: semantics,
        is_write: !route.idempotent,
        zone_local: false,
    }
}
