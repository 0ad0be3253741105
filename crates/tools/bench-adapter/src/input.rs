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
pub(crate) fn listing(item: &Event, names: &mut Names) -> Result<api::HostListEntry, InvalidEvent> {
    let Event::Item { machine_kind, born_ns, host, weight, cell, zone, status } = item else {
        return Err(InvalidEvent::order("members-list", "as many ITEM lines as it says"));
    };
    if *weight < 0.0 {
        return Err(InvalidEvent::value("w", weight, "a size of 0 or more"));
    }
    Ok(api::HostListEntry {
        host: names.host(host),
        state: host_state(*status),
        started_at: start_time(*born_ns, names.clock),
        weight: *weight,
        zone: names.zone(zone)?,
        cell: api::CellId(*cell),
        machine_type: names.machine_kind(machine_kind)?,
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
        Event::Demand { window_ns, route, dropped, requests, slice, .. } => api::Input::SliceDemand {
            slice: api::SliceId(*slice),
            route: names.route(route)?,
            requests: *requests,
            dropped: *dropped,
            window: seconds(*window_ns),
        },
        Event::SliceOwnership { set, slice, .. } => slice_ownership(*set, api::SliceId(*slice)),
        Event::TimerFired { token, .. } => api::Input::TimerFired(api::TimerId(*token)),
        Event::ProxyJoined { proxy, zone, weight, set, .. } => api::Input::ProxyJoined {
            proxy: api::ProxyId(*proxy),
            zone: names.zone(zone)?,
            requests_per_s: *weight,
            without_tables: *set,
        },
        Event::StoredWeight { slice, weight, host, .. } => {
            api::Input::StoredWeight { slice: api::SliceId(*slice), host: names.host(host), weight: *weight }
        }
        Event::Datagram { sender, payload, .. } => {
            api::Input::PeerMessage { from: api::PeerId(*sender), payload: payload.0.clone() }
        }
        Event::Acknowledged { proxy, duration_ns, version, .. } => api::Input::RoundAcknowledged {
            proxy: api::ProxyId(*proxy),
            round: api::RoundId(*version),
            latency: seconds(*duration_ns),
        },
        Event::ProxyLeft { proxy, .. } => api::Input::ProxyLeft(api::ProxyId(*proxy)),
        Event::Intake { proxy, route, requests, dropped, window_ns, .. } => api::Input::ProxyDemand {
            proxy: api::ProxyId(*proxy),
            route: names.route(route)?,
            requests: *requests,
            dropped: *dropped,
            window: seconds(*window_ns),
        },
        Event::HealthCheckResult { host, outcome, duration_ns, telemetry, .. } => api::Input::ProbeFinished {
            host: names.known_host(host)?,
            outcome: health_check_outcome(*outcome),
            duration: seconds(*duration_ns),
            load: load(telemetry.as_ref()),
        },
        Event::AttemptReport { duration_ns, zone, window_ns, host, requests, dropped, telemetry, .. } => {
            api::Input::AttemptStats {
                host: names.known_host(host)?,
                zone: names.zone(zone)?,
                window: seconds(*window_ns),
                attempts: *requests,
                dropped: *dropped,
                mean_response_time: seconds(*duration_ns),
                load: load(telemetry.as_ref()),
            }
        }
    };
    Ok(Some(input))
}

fn slice_ownership(is_owner: bool, slice: api::SliceId) -> api::Input {
    if is_owner {
        api::Input::SliceAssigned(slice)
    } else {
        api::Input::SliceRevoked(slice)
    }
}

/// The meaning of a list's entries.
pub(crate) fn list_scope(scope: Scope) -> api::ListScope {
    match scope {
        Scope::Delta => api::ListScope::Delta,
        Scope::Full => api::ListScope::Snapshot,
        Scope::Cached => api::ListScope::CachedSnapshot,
        Scope::Failed => api::ListScope::Failed,
    }
}

fn host_state(status: Status) -> api::HostState {
    match status {
        Status::Gone => api::HostState::Removed,
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
        Outcome::Success => api::Outcome::Succeeded,
        Outcome::Failure => api::Outcome::ErrorResponse,
        Outcome::Overloaded => api::Outcome::Throttled,
        Outcome::TimedOut => api::Outcome::TimedOut,
        Outcome::Unreachable => api::Outcome::ConnectFailed,
        Outcome::Broken => api::Outcome::ConnectionLost,
        Outcome::Withdrawn => api::Outcome::Withdrawn,
        Outcome::Void => api::Outcome::Discarded,
    }
}

fn load(telemetry: Option<&Telemetry>) -> api::LoadReport {
    coppersail_settings::load_from_report(|name| telemetry.and_then(|report| report.get(name)))
}

#[cfg(test)]
mod tests;
