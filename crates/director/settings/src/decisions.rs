//! The settings as the decisions take them, and as operators' files are checked against them.

use crate::boot::{
    Admission, DirectorSettings, Discovery, Flag, KeyScope, List, RouteClass, Semantics, Specifics,
    WeightSource,
};
use crate::seconds;
use coppersail::interface as api;
use coppersail_operator_config::{RouteName, SettingsNames};

/// The settings as the decisions take them. An absent setting gets the value under which the director may do least.
pub fn decision_settings(boot: &DirectorSettings) -> api::Settings {
    let DirectorSettings { general: top, guarantees, limits, specifics, .. } = boot;
    let zones = names(&top.zones);
    let is_weighted = |source| source != WeightSource::Silent;
    api::Settings {
        peer_id: api::PeerId(top.director_id.unwrap_or(0)),
        director_count: top.directors.unwrap_or(1),
        zone: zone_id(top.zone.as_deref(), &zones),
        zone_names: zones,
        machine_types: names(&top.kinds),
        routes: routes(&boot.classes, specifics),
        host_list_is_pushed: top.discovery != Some(Discovery::OnRequest),
        host_list_max_silence: optional_seconds(guarantees.notified_within_ns),
        listed_weights: top.weight_source.is_some_and(is_weighted),
        probes_allowed: is_set(limits.health_checks),
        peer_messages_allowed: is_set(limits.peer_messages),
        cold_capacity_share: guarantees.cold_capacity_share.unwrap_or(0.0),
        slow_start_duration: optional_seconds(guarantees.slow_start_ns),
        collapse_multiple: guarantees.collapse_multiple.unwrap_or(1.0),
        collapse_time: optional_seconds(guarantees.collapse_time_ns),
        grace_period: optional_seconds(guarantees.stop_sending_within_ns),
        throttled_may_have_executed: is_set(guarantees.rejected_may_have_run),
        removal_is_advisory: is_set(guarantees.gone_is_advisory),
        max_unserved_time: optional_seconds(specifics.max_unserved_ns),
        slice_count: specifics.slices.unwrap_or(0),
        proxy_count: specifics.proxy_count.unwrap_or(0),
        exclusive_ownership: is_set(specifics.exclusive),
        admission_unit: admission(specifics.admission),
        default_retry_policy: default_retry(specifics.default_retries),
        proxy_ejection_threshold: specifics.eject_after_failures.unwrap_or(0),
        message_overhead_lines: specifics.message_overhead.unwrap_or(0.0),
        channel_lines_per_s: specifics.lines_per_s.unwrap_or(0.0),
        channel_backlog_lines: specifics.backlog_lines.unwrap_or(0.0),
        max_messages_per_window: specifics.max_updates.unwrap_or(0),
        message_window: optional_seconds(specifics.update_window_ns),
        typical_transit_time: optional_seconds(specifics.propagation_ns),
        max_transit_time: optional_seconds(specifics.max_propagation_ns),
        report_interval: optional_seconds(specifics.report_interval_ns),
        max_write_in_flight_time: optional_seconds(specifics.max_in_flight_ns),
        hosts_cache_keys: is_set(specifics.warm_keys),
    }
}

/// The names and limits of the settings, against which an operators' file is checked.
pub fn known_names(boot: &DirectorSettings) -> SettingsNames {
    let settings = decision_settings(boot);
    let known_route = |(class, route): (&RouteClass, &api::Route)| RouteName {
        name: class.name.clone().unwrap_or_default(),
        idempotent: route.idempotency == api::Idempotency::Idempotent,
    };
    SettingsNames {
        routes: boot.classes.iter().zip(&settings.routes).map(known_route).collect(),
        has_admission_control: settings.admission_unit == api::AdmissionUnit::Fraction,
        slices: settings.slice_count,
        zones: settings.zone_names,
    }
}

fn is_set(flag: Option<Flag>) -> bool {
    flag.is_some_and(|flag| flag.0)
}

fn optional_seconds(nanoseconds: Option<u64>) -> f64 {
    seconds(nanoseconds.unwrap_or(0))
}

fn names(list: &Option<List<String>>) -> Vec<String> {
    list.clone().unwrap_or_default().0
}

fn zone_id(name: Option<&str>, zones: &[String]) -> Option<api::ZoneId> {
    let index = zones.iter().position(|zone| Some(zone.as_str()) == name)?;
    Some(api::ZoneId(index as u16))
}

fn routes(classes: &[RouteClass], specifics: &Specifics) -> Vec<api::Route> {
    let mut routes = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mutating = flag_of_class(&specifics.mutating, index).unwrap_or(true);
        let own_zone_only = flag_of_class(&specifics.class_own_zone, index).unwrap_or(false);
        routes.push(route(class, mutating, own_zone_only));
    }
    routes
}

fn flag_of_class(flags: &Option<List<Flag>>, index: usize) -> Option<bool> {
    let flag = flags.as_ref()?.0.get(index)?;
    Some(flag.0)
}

fn route(class: &RouteClass, mutating: bool, own_zone_only: bool) -> api::Route {
    api::Route {
        latency_target: optional_seconds(class.latency_target_ns),
        deadline: optional_seconds(class.deadline_ns.or(class.latency_target_ns)),
        value: class.weight.unwrap_or(1.0),
        idempotency: semantics(class),
        is_write: mutating,
        zone_local: own_zone_only,
    }
}

fn semantics(class: &RouteClass) -> api::Idempotency {
    match class.semantics {
        Some(Semantics::Idempotent) => api::Idempotency::Idempotent,
        Some(Semantics::IdempotencyKey) => api::Idempotency::Deduplicated {
            scope: keyed_group(class.key_scope),
            window: optional_seconds(class.key_window_ns),
        },
        Some(Semantics::NotIdempotent) | None => api::Idempotency::NotIdempotent,
    }
}

fn keyed_group(scope: Option<KeyScope>) -> api::DeduplicationScope {
    match scope {
        Some(KeyScope::All) => api::DeduplicationScope::Fleet,
        Some(KeyScope::Zone) => api::DeduplicationScope::Zone,
        Some(KeyScope::Cell) | None => api::DeduplicationScope::Cell,
    }
}

fn admission(admission: Option<Admission>) -> api::AdmissionUnit {
    match admission {
        Some(Admission::Fraction) => api::AdmissionUnit::Fraction,
        Some(Admission::PerSecond) => api::AdmissionUnit::RequestsPerSecond,
        Some(Admission::Silent) | None => api::AdmissionUnit::Unsupported,
    }
}

/// Numbers are those of the relay's `LIMIT`.
fn default_retry(number: Option<u64>) -> api::RetryPolicy {
    match number {
        Some(1) => api::RetryPolicy::IfNotExecuted,
        Some(2) => api::RetryPolicy::Once,
        Some(3) => api::RetryPolicy::Twice,
        _ => api::RetryPolicy::Never,
    }
}

#[cfg(test)]
mod tests;
