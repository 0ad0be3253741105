//! Translates the bench's events into the inputs of the decisions.

use crate::error::InvalidEvent;
use crate::names::Names;
use coppersail::interface as api;
use coppersail_bench_codec::{Event, Outcome, Scope, Status, Telemetry};
use coppersail_settings::{seconds, Clock};

/// The entry of an endpoint list that an `ITEM` stands for.
///
/// # Errors
/// The event is no `ITEM`, its weight is negative, or the settings do not give its zone or machine kind.
pub(crate) fn listing(item: &Event, names: &mut Names) -> Result<api::Listing, InvalidEvent> {
    let Event::Item { sku, born_ns, host, w, block, zone, status } = item else {
        return Err(InvalidEvent::order("members-list", "as many ITEM lines as it says"));
    };
    if *w < 0.0 {
        return Err(InvalidEvent::value("w", w, "a size of 0 or more"));
    }
    Ok(api::Listing {
        host: names.host(host),
        state: host_state(*status),
        born: start_time(*born_ns, names.clock),
        weight: *w,
        zone: names.zone(zone)?,
        cell: api::CellId(*block),
        kind: names.machine_kind(sku)?,
    })
}

/// The input that an event stands for; none for those of lists and of the start and end of instances.
///
/// # Errors
/// The event names a zone or a route that the settings do not give, or reports about a host that is not known.
pub(crate) fn input(event: &Event, names: &mut Names) -> Result<Option<api::Input>, InvalidEvent> {
    let input = match event {
        Event::Configure { .. } | Event::Members { .. } | Event::Item { .. } | Event::Stop { .. } => {
            return Ok(None);
        }
        Event::Heat { covers_ns, grade, bad, many, table, .. } => api::Input::Demand {
            slice: api::SliceId(*table),
            route: names.route(grade)?,
            calls: *many,
            dropped: *bad,
            span: seconds(*covers_ns),
        },
        Event::Tenure { set: true, table, .. } => api::Input::Given(api::SliceId(*table)),
        Event::Tenure { set: false, table, .. } => api::Input::Taken(api::SliceId(*table)),
        Event::Reminder { token, .. } => api::Input::Wake(api::WakeId(*token)),
        Event::CheckedIn { proxy, zone, w, set, .. } => api::Input::Joined {
            proxy: api::ProxyId(*proxy),
            zone: names.zone(zone)?,
            calls_per_s: *w,
            fresh: *set,
        },
        Event::CurrentOwner { table, w, host, .. } => {
            api::Input::StoredLine { slice: api::SliceId(*table), host: names.host(host), weight: *w }
        }
        Event::Datagram { src, octets, .. } => {
            api::Input::Heard { from: api::PeerId(*src), bytes: octets.0.clone() }
        }
        Event::Receipt { proxy, time_taken_ns, rev, .. } => api::Input::Applied {
            proxy: api::ProxyId(*proxy),
            mark: api::MarkId(*rev),
            took: seconds(*time_taken_ns),
        },
        Event::DroppedOff { proxy, .. } => api::Input::Left(api::ProxyId(*proxy)),
        Event::Intake { proxy, grade, many, bad, covers_ns, .. } => api::Input::Intake {
            proxy: api::ProxyId(*proxy),
            route: names.route(grade)?,
            calls: *many,
            dropped: *bad,
            span: seconds(*covers_ns),
        },
        Event::Pong { host, outcome, time_taken_ns, telemetry, .. } => api::Input::Probed {
            host: names.known_host(host)?,
            outcome: health_check_outcome(*outcome),
            took: seconds(*time_taken_ns),
            load: load(telemetry.as_ref()),
        },
        Event::Roundup { time_taken_ns, zone, covers_ns, host, many, bad, telemetry, .. } => {
            api::Input::Tries {
                host: names.known_host(host)?,
                zone: names.zone(zone)?,
                span: seconds(*covers_ns),
                tries: *many,
                dropped: *bad,
                rt: seconds(*time_taken_ns),
                load: load(telemetry.as_ref()),
            }
        }
    };
    Ok(Some(input))
}

/// The meaning of a list's entries.
pub(crate) fn list_scope(scope: Scope) -> api::ListScope {
    match scope {
        Scope::Delta => api::ListScope::Changes,
        Scope::Full => api::ListScope::Whole,
        Scope::Cached => api::ListScope::Remembered,
        Scope::Failed => api::ListScope::Failed,
    }
}

fn host_state(status: Status) -> api::HostState {
    match status {
        Status::Gone => api::HostState::Gone,
        Status::Draining => api::HostState::Draining,
        Status::Ready => api::HostState::Ready,
    }
}

/// Seconds of the instance's clock; 0 on the wire is an unknown time long ago.
fn start_time(born_ns: Option<u64>, clock: Clock) -> Option<f64> {
    born_ns.filter(|ns| *ns > 0).map(|ns| clock.seconds(ns))
}

fn health_check_outcome(outcome: Outcome) -> api::Outcome {
    match outcome {
        Outcome::Success => api::Outcome::Answered,
        Outcome::Failure => api::Outcome::Error,
        Outcome::Overloaded => api::Outcome::Throttled,
        Outcome::TimedOut => api::Outcome::TimedOut,
        Outcome::Unreachable => api::Outcome::Unreachable,
        Outcome::Broken => api::Outcome::Broken,
        Outcome::Withdrawn => api::Outcome::Withdrawn,
        Outcome::Void => api::Outcome::Void,
    }
}

fn load(telemetry: Option<&Telemetry>) -> api::Load {
    coppersail_settings::load(|name| telemetry.and_then(|report| report.get(name)))
}

#[cfg(test)]
mod tests;
