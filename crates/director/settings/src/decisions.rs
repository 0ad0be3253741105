//! The settings as the decisions take them, and as operators' files are checked against them.

use crate::boot::{
    Admission, Boot, Discovery, Flag, KeyScope, List, RouteClass, Semantics, Specifics, WeightSource,
};
use crate::seconds;
use coppersail::interface as api;
use coppersail_operator_config::{Known, KnownRoute};

/// The settings as the decisions take them. An absent setting gets the value under which the director may do least.
pub fn settings(boot: &Boot) -> api::Settings {
    let Boot { top, guarantees, limits, specifics, .. } = boot;
    let zones = names(&top.zones);
    let is_weighted = |source| source != WeightSource::Silent;
    api::Settings {
        me: api::PeerId(top.director_id.unwrap_or(0)),
        directors: top.directors.unwrap_or(1),
        zone: zone_id(top.zone.as_deref(), &zones),
        zones,
        kinds: names(&top.kinds),
        routes: routes(&boot.classes, specifics),
        list_is_pushed: top.discovery != Some(Discovery::OnRequest),
        ask_within: optional_seconds(guarantees.notified_within_ns),
        listed_weights: top.weight_source.is_some_and(is_weighted),
        may_probe: is_set(limits.health_checks),
        may_tell_peers: is_set(limits.peer_messages),
        cold_from: guarantees.cold_capacity_share.unwrap_or(0.0),
        ramp_time: optional_seconds(guarantees.slow_start_ns),
        fall_multiple: guarantees.collapse_multiple.unwrap_or(1.0),
        fall_time: optional_seconds(guarantees.collapse_time_ns),
        grace: optional_seconds(guarantees.stop_sending_within_ns),
        throttled_may_have_run: is_set(guarantees.rejected_may_have_run),
        gone_is_advice: is_set(guarantees.gone_is_advisory),
        unserved_most: optional_seconds(specifics.max_unserved_ns),
        slices: specifics.slices.unwrap_or(0),
        proxies: specifics.proxy_count.unwrap_or(0),
        exclusive: is_set(specifics.exclusive),
        admission: admission(specifics.admission),
        retry_default: default_retry(specifics.default_retries),
        ejects_after: specifics.eject_after_failures.unwrap_or(0),
        message_overhead: specifics.message_overhead.unwrap_or(0.0),
        lines_per_s: specifics.lines_per_s.unwrap_or(0.0),
        backlog_lines: specifics.backlog_lines.unwrap_or(0.0),
        messages_most: specifics.max_updates.unwrap_or(0),
        messages_span: optional_seconds(specifics.update_window_ns),
        transit: optional_seconds(specifics.propagation_ns),
        transit_most: optional_seconds(specifics.max_propagation_ns),
        report_interval: optional_seconds(specifics.report_interval_ns),
        in_flight_most: optional_seconds(specifics.max_in_flight_ns),
        warm_keys: is_set(specifics.warm_keys),
    }
}

/// The names and limits of the settings, against which an operators' file is checked.
pub fn known(boot: &Boot) -> Known {
    let settings = settings(boot);
    let known_route = |(class, route): (&RouteClass, &api::Route)| KnownRoute {
        name: class.name.clone().unwrap_or_default(),
        repeatable: route.semantics == api::Semantics::Repeatable,
    };
    Known {
        routes: boot.classes.iter().zip(&settings.routes).map(known_route).collect(),
        admits: settings.admission == api::Admission::Share,
        slices: settings.slices,
        zones: settings.zones,
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
        slo_time: optional_seconds(class.latency_target_ns),
        time_limit: optional_seconds(class.deadline_ns.or(class.latency_target_ns)),
        importance: class.weight.unwrap_or(1.0),
        semantics: semantics(class),
        mutating,
        own_zone_only,
    }
}

fn semantics(class: &RouteClass) -> api::Semantics {
    match class.semantics {
        Some(Semantics::Idempotent) => api::Semantics::Repeatable,
        Some(Semantics::IdempotencyKey) => api::Semantics::Keyed {
            group: keyed_group(class.key_scope),
            window: optional_seconds(class.key_window_ns),
        },
        Some(Semantics::NotIdempotent) | None => api::Semantics::MustNotRepeat,
    }
}

fn keyed_group(scope: Option<KeyScope>) -> api::KeyedGroup {
    match scope {
        Some(KeyScope::All) => api::KeyedGroup::All,
        Some(KeyScope::Zone) => api::KeyedGroup::Zone,
        Some(KeyScope::Cell) | None => api::KeyedGroup::Cell,
    }
}

fn admission(admission: Option<Admission>) -> api::Admission {
    match admission {
        Some(Admission::Fraction) => api::Admission::Share,
        Some(Admission::PerSecond) => api::Admission::PerSecond,
        Some(Admission::Silent) | None => api::Admission::None,
    }
}

/// Numbers are those of the relay's `LIMIT`.
fn default_retry(number: Option<u64>) -> api::Retry {
    match number {
        Some(1) => api::Retry::IfNeverRan,
        Some(2) => api::Retry::Once,
        Some(3) => api::Retry::Twice,
        _ => api::Retry::Never,
    }
}

#[cfg(test)]
mod tests;
