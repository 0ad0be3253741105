//! What a director is told at its start: the names under which it comes, and the settings made of them.

pub mod boot;
mod names;
mod values;

pub use boot::Boot;
pub use names::{load, Clock, Names};
pub use values::{Bad, Field, Parts, Value};

use boot::{Admission, Class, Discovery, Flag, Group, List, Semantics, WeightSource};
use coppersail::interface as api;
use coppersail_operator_config::{Known, KnownRoute};

pub fn span(ns: u64) -> f64 {
    ns as f64 / 1e9
}

fn route(class: &Class, mutating: bool, own_zone_only: bool) -> api::Route {
    let window = span(class.window_ns.unwrap_or(0));
    let group = match class.group.unwrap_or(Group::Cell) {
        Group::All => api::KeyedGroup::All,
        Group::Zone => api::KeyedGroup::Zone,
        Group::Cell => api::KeyedGroup::Cell,
    };
    api::Route {
        slo_time: span(class.aim_ns.unwrap_or(0)),
        time_limit: span(class.give_up_ns.or(class.aim_ns).unwrap_or(0)),
        importance: class.worth.unwrap_or(1.0),
        semantics: match class.semantics.unwrap_or(Semantics::Unsafe) {
            Semantics::Safe => api::Semantics::Repeatable,
            Semantics::Keyed => api::Semantics::Keyed { group, window },
            Semantics::Unsafe => api::Semantics::MustNotRepeat,
        },
        mutating,
        own_zone_only,
    }
}

/// The settings as a director takes them. What is absent becomes the reading under which least is allowed.
pub fn settings(boot: &Boot) -> api::Settings {
    let (top, rules, limits, facts) = (&boot.top, &boot.guarantees, &boot.limits, &boot.specifics);
    let on = |flag: &Option<Flag>| flag.is_some_and(|flag| flag.0);
    let seconds = |ns: &Option<u64>| span(ns.unwrap_or(0));
    let by_class = |list: &Option<List<Flag>>, k: usize, absent: bool| {
        list.as_ref().and_then(|list| list.0.get(k)).map_or(absent, |flag| flag.0)
    };
    let names = |list: &Option<List<String>>| list.clone().unwrap_or_default().0;
    let zones = names(&top.zones);
    let zone = top.az.as_ref().and_then(|az| zones.iter().position(|name| name == az));
    api::Settings {
        me: api::PeerId(top.me.unwrap_or(0)),
        directors: top.balancers.unwrap_or(1),
        zone: zone.map(|at| api::ZoneId(at as u16)),
        zones,
        kinds: names(&top.kinds),
        routes: (boot.classes.iter().enumerate())
            .map(|(k, class)| {
                route(class, by_class(&facts.mutating, k, true), by_class(&facts.class_own_zone, k, false))
            })
            .collect(),
        list_is_pushed: top.discovery != Some(Discovery::OnRequest),
        ask_within: seconds(&rules.ask_within_ns),
        listed_weights: top.weight_source.is_some_and(|source| source != WeightSource::Silent),
        may_probe: on(&limits.may_probe),
        may_tell_peers: on(&limits.peers),
        cold_from: rules.cold_from.unwrap_or(0.0),
        ramp_time: seconds(&rules.ramp_time_ns),
        fall_multiple: rules.fall_multiple.unwrap_or(1.0),
        fall_time: seconds(&rules.fall_ns),
        grace: seconds(&rules.stop_sending_within_ns),
        throttled_may_have_run: on(&rules.full_may_have_run),
        gone_is_advice: on(&rules.gone_is_advice),
        unserved_most: seconds(&facts.unserved_max_ns),
        slices: facts.slices.unwrap_or(0),
        proxies: facts.proxy_count.unwrap_or(0),
        exclusive: on(&facts.exclusive),
        admission: match facts.admission {
            Some(Admission::Fraction) => api::Admission::Share,
            Some(Admission::PerSecond) => api::Admission::PerSecond,
            Some(Admission::Silent) | None => api::Admission::None,
        },
        retry_default: match facts.retry_default {
            Some(1) => api::Retry::IfNeverRan,
            Some(2) => api::Retry::Once,
            Some(3) => api::Retry::Twice,
            _ => api::Retry::Never,
        },
        ejects_after: facts.ejects.unwrap_or(0),
        message_overhead: facts.overhead.unwrap_or(0.0),
        lines_per_s: facts.lines_per_s.unwrap_or(0.0),
        backlog_lines: facts.backlog.unwrap_or(0.0),
        messages_most: facts.reloads_max.unwrap_or(0),
        messages_span: seconds(&facts.update_window_ns),
        transit: seconds(&facts.transit_ns),
        transit_most: seconds(&facts.transit_max_ns),
        report_interval: seconds(&facts.interval_ns),
        in_flight_most: seconds(&facts.in_flight_max_ns),
        warm_keys: on(&facts.warm_keys),
    }
}

/// What the settings name, against which an operators' file is checked.
pub fn known(boot: &Boot) -> Known {
    let settings = settings(boot);
    let route = |(class, route): (&Class, &api::Route)| KnownRoute {
        name: class.name.clone().unwrap_or_default(),
        repeatable: route.semantics == api::Semantics::Repeatable,
    };
    Known {
        routes: boot.classes.iter().zip(&settings.routes).map(route).collect(),
        admits: settings.admission == api::Admission::Share,
        slices: settings.slices,
        zones: settings.zones,
    }
}

#[cfg(test)]
mod tests;
