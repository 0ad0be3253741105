//! What a director is told of the fleet at its start.

use super::table_check::MAX_UNSERVED;
use crate::scenario::{self, Scenario};
use coppersail::interface::{Admission, PeerId, Retry, Route, Semantics, Settings, ZoneId};

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
        me: PeerId(director.into()),
        directors: fleet.directors as u64,
        zone: Some(ZoneId(director % fleet.zones)),
        zones: (0..fleet.zones).map(|zone| format!("z{zone}")).collect(),
        kinds: vec!["k".into()],
        routes: routes.iter().map(route_settings).collect(),
        list_is_pushed: true,
        ask_within: 0.0,
        listed_weights: false,
        may_probe: true,
        may_tell_peers: false,
        cold_from: fleet.cold_from,
        ramp_time: fleet.ramp_time,
        fall_multiple: fleet.fall_multiple,
        fall_time: fleet.fall_time,
        grace: fleet.grace,
        throttled_may_have_run: false,
        gone_is_advice: false,
        unserved_most: MAX_UNSERVED,
        slices: fleet.slices.into(),
        proxies: fleet.proxies.into(),
        exclusive: false,
        admission: Admission::Share,
        retry_default: Retry::IfNeverRan,
        ejects_after: fleet.ejects_after.into(),
        message_overhead: channel.overhead,
        lines_per_s: channel.lines_per_s,
        backlog_lines: channel.backlog,
        messages_most: 0,
        messages_span: MESSAGE_LIMIT_SPAN,
        transit: channel.transit,
        transit_most: MAX_TRANSIT_FACTOR * channel.transit,
        report_interval: scenario.reports.interval,
        in_flight_most: routes.iter().map(|route| route.limit).fold(0.0, f64::max),
        warm_keys: fleet.memory_saves > 0.0,
    }
}

fn route_settings(route: &scenario::Route) -> Route {
    let semantics = if route.repeatable { Semantics::Repeatable } else { Semantics::MustNotRepeat };
    Route {
        slo_time: route.slo,
        time_limit: route.limit,
        importance: route.importance,
        semantics,
        mutating: !route.repeatable,
        own_zone_only: false,
    }
}
