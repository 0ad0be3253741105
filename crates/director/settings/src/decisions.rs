//! Conversion of the settings to the input of the decisions, and to the names against which operators' files are
//! validated.

use crate::boot::{
    Admission, DirectorSettings, Discovery, Flag, KeyScope, List, RouteClass, Semantics, Specifics,
    WeightSource,
};
use crate::seconds;
use coppersail::interface as api;
use coppersail_operator_config::{RouteName, SettingsNames};

/// Converts the settings to the input of the decisions. An absent setting gets the value that permits the director the
/// fewest actions.
pub fn decision_settings(director_settings: &DirectorSettings) -> api::Settings {
    let DirectorSettings { general, guarantees, limits, specifics, .. } = director_settings;
    let zones = names(&general.zones);
    let is_weighted = |source| source != WeightSource::Silent;
    api::Settings {
        peer_id: api::PeerId(general.director_id.unwrap_or(0)),
        director_count: general.directors.unwrap_or(1),
        zone: zone_id(general.zone.as_deref(), &zones),
        zone_names: zones,
        machine_types: names(&general.kinds),
        routes: routes(&director_settings.classes, specifics),
        host_list_is_pushed: general.discovery != Some(Discovery::OnRequest),
        host_list_max_silence: optional_seconds(guarantees.notified_within_ns),
        listed_weights: general.weight_source.is_some_and(is_weighted),
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
        admission_unit: admission_unit(specifics.admission),
        default_retry_policy: retry_policy(specifics.default_retries),
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

/// The names and limits of the settings, against which an operators' file is validated.
pub fn known_names(director_settings: &DirectorSettings) -> SettingsNames {
    let settings = decision_settings(director_settings);
    let known_route = |(class, route): (&RouteClass, &api::Route)| RouteName {
        name: class.name.clone().unwrap_or_default(),
        idempotent: route.idempotency == api::Idempotency::Idempotent,
    };
    SettingsNames {
        routes: director_settings.classes.iter().zip(&settings.routes).map(known_route).collect(),
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
        let is_write = flag_of_class(&specifics.mutating, index).unwrap_or(true);
        let zone_local = flag_of_class(&specifics.class_own_zone, index).unwrap_or(false);
        routes.push(route(class, is_write, zone_local));
    }
    routes
}

fn flag_of_class(flags: &Option<List<Flag>>, index: usize) -> Option<bool> {
    let flag = flags.as_ref()?.0.get(index)?;
    Some(flag.0)
}

fn route(class: &RouteClass, is_write: bool, zone_local: bool) -> api::Route {
    api::Route {
        latency_target: optional_seconds(class.latency_target_ns),
        deadline: optional_seconds(class.deadline_ns.or(class.latency_target_ns)),
        value: class.weight.unwrap_or(1.0),
        idempotency: idempotency(class),
        is_write,
        zone_local,
    }
}

fn idempotency(class: &RouteClass) -> api::Idempotency {
    match class.semantics {
        Some(Semantics::Idempotent) => api::Idempotency::Idempotent,
        Some(Semantics::IdempotencyKey) => api::Idempotency::Deduplicated {
            scope: deduplication_scope(class.key_scope),
            window: optional_seconds(class.key_window_ns),
        },
        Some(Semantics::NotIdempotent) | None => api::Idempotency::NotIdempotent,
    }
}

fn deduplication_scope(scope: Option<KeyScope>) -> api::DeduplicationScope {
    match scope {
        Some(KeyScope::All) => api::DeduplicationScope::Fleet,
        Some(KeyScope::Zone) => api::DeduplicationScope::Zone,
        Some(KeyScope::Cell) | None => api::DeduplicationScope::Cell,
    }
}

fn admission_unit(admission: Option<Admission>) -> api::AdmissionUnit {
    match admission {
        Some(Admission::Fraction) => api::AdmissionUnit::Fraction,
        Some(Admission::PerSecond) => api::AdmissionUnit::RequestsPerSecond,
        Some(Admission::Silent) | None => api::AdmissionUnit::Unsupported,
    }
}

/// Maps a number of the relay's order `LIMIT` to its retry policy; other numbers mean no retry.
fn retry_policy(number: Option<u64>) -> api::RetryPolicy {
    match number {
        Some(1) => api::RetryPolicy::IfNotExecuted,
        Some(2) => api::RetryPolicy::Once,
        Some(3) => api::RetryPolicy::Twice,
        _ => api::RetryPolicy::Never,
    }
}

#[cfg(test)]
mod tests;
