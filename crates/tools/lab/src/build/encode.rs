//! Inputs of a director as events on the simulator's wire.

use super::clock::{duration_ns, time_ns};
use crate::platform::{host_name, Platform, ServiceAddresses};
use coppersail::interface::{
    HostListEntry, HostState, Input, ListScope, LoadReport, Outcome, ProxyId, RouteId, SliceId, ZoneId,
};
use coppersail_bench_codec as wire;
use coppersail_protocol::config::Config;
use coppersail_settings::DirectorSettings;
use std::net::{Ipv4Addr, SocketAddr};

/// The one director of a process.
const DIRECTOR: u64 = 1;
/// The director's name in its configuration.
const DIRECTOR_NAME: &str = "lab";
/// The port of everything that a director on this wire does not dial.
const UNUSED_PORT: u16 = 1;

/// Writes the event that configures the director: the same settings as a director's configuration names, by the same
/// code. Nothing if they cannot be read.
pub(super) fn write_configuration(platform: &Platform, seed: u64, text: &mut String) {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, UNUSED_PORT));
    let places = ServiceAddresses { listen: nowhere, discovery: nowhere, relay: nowhere };
    let config = platform.config(DIRECTOR_NAME, seed, &places, "null");
    let Ok(config) = Config::parse(config.as_bytes()) else { return };
    let settings = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let Ok(boot) = DirectorSettings::read(&settings) else { return };
    write(wire::Event::Configure { instance: DIRECTOR, seed, boot: Box::new(boot) }, text);
}

/// Writes the events that tell an input.
pub(super) fn write_input(platform: &Platform, input: &Input, text: &mut String) {
    let event = match input {
        Input::HostListUpdate { scope, version, entries } => {
            write(membership_header(*scope, *version, entries.len()), text);
            for entry in entries {
                write(membership_entry(platform, entry), text);
            }
            return;
        }
        Input::SliceAssigned(_) | Input::SliceRevoked(_) | Input::StoredWeight { .. } => table_event(input),
        Input::ProxyJoined { .. } | Input::ProxyLeft(_) | Input::RoundAcknowledged { .. } => {
            proxy_event(platform, input)
        }
        Input::SliceDemand { .. } | Input::AttemptStats { .. } => report_event(platform, input),
        Input::ProbeFinished { .. } | Input::TimerFired(_) => requested_event(input),
        // The lab's world has no intake and no peers; operators' wishes and refused orders are not on this wire.
        Input::ProxyDemand { .. }
        | Input::PeerMessage { .. }
        | Input::WeightsRejected { .. }
        | Input::OverridesChanged(_)
        | Input::RelayCall(_) => None,
    };
    if let Some(event) = event {
        write(event, text);
    }
}

fn write(event: wire::Event, text: &mut String) {
    event.write(text);
    text.push('\n');
}

fn zone_name(platform: &Platform, zone: ZoneId) -> String {
    platform.settings.zone_names[usize::from(zone.0)].clone()
}

fn membership_header(scope: ListScope, version: u64, entries: usize) -> wire::Event {
    let scope = match scope {
        ListScope::Delta => wire::Scope::Delta,
        ListScope::Snapshot => wire::Scope::Full,
        ListScope::CachedSnapshot => wire::Scope::Cached,
        ListScope::Failed => wire::Scope::Failed,
    };
    wire::Event::Members { instance: DIRECTOR, scope, version, count: Some(entries as u64) }
}

fn membership_entry(platform: &Platform, entry: &HostListEntry) -> wire::Event {
    let status = match entry.state {
        HostState::Ready => wire::Status::Ready,
        HostState::Draining => wire::Status::Draining,
        HostState::Removed => wire::Status::Gone,
    };
    wire::Event::Item {
        machine_kind: platform.settings.machine_types[usize::from(entry.machine_type.0)].clone(),
        born_ns: entry.started_at.map(time_ns),
        host: host_name(entry.host),
        weight: entry.weight,
        cell: entry.cell.0,
        zone: zone_name(platform, entry.zone),
        status,
    }
}

/// Which slices the director has, and their stored tables.
fn table_event(input: &Input) -> Option<wire::Event> {
    match input {
        Input::SliceAssigned(slice) => Some(slice_assignment(*slice, true)),
        Input::SliceRevoked(slice) => Some(slice_assignment(*slice, false)),
        Input::StoredWeight { slice, host, weight } => Some(wire::Event::StoredWeight {
            instance: DIRECTOR,
            slice: slice.0,
            weight: *weight,
            host: host_name(*host),
        }),
        _ => None,
    }
}

fn slice_assignment(slice: SliceId, set: bool) -> wire::Event {
    wire::Event::SliceOwnership { instance: DIRECTOR, set, slice: slice.0 }
}

fn proxy_event(platform: &Platform, input: &Input) -> Option<wire::Event> {
    match input {
        Input::ProxyJoined {
            proxy: ProxyId(proxy),
            zone,
            requests_per_s: calls_per_s,
            without_tables: fresh,
        } => Some(wire::Event::ProxyJoined {
            instance: DIRECTOR,
            proxy: *proxy,
            zone: zone_name(platform, *zone),
            weight: *calls_per_s,
            set: *fresh,
        }),
        Input::ProxyLeft(proxy) => Some(wire::Event::ProxyLeft { instance: DIRECTOR, proxy: proxy.0 }),
        Input::RoundAcknowledged { proxy, round: mark, latency: took } => Some(wire::Event::Acknowledged {
            instance: DIRECTOR,
            proxy: proxy.0,
            duration_ns: duration_ns(*took),
            version: mark.0,
        }),
        _ => None,
    }
}

/// What collectors report.
fn report_event(platform: &Platform, input: &Input) -> Option<wire::Event> {
    match input {
        Input::SliceDemand { slice, route: RouteId(route), requests: calls, dropped, window } => {
            Some(wire::Event::Demand {
                instance: DIRECTOR,
                window_ns: duration_ns(*window),
                route: platform.routes[usize::from(*route)].clone(),
                dropped: *dropped,
                requests: *calls,
                slice: slice.0,
            })
        }
        Input::AttemptStats { host, zone, window, attempts, dropped, mean_response_time, load } => {
            Some(wire::Event::AttemptReport {
                instance: DIRECTOR,
                duration_ns: duration_ns(*mean_response_time),
                zone: zone_name(platform, *zone),
                window_ns: duration_ns(*window),
                host: host_name(*host),
                requests: *attempts,
                dropped: *dropped,
                telemetry: telemetry(load),
            })
        }
        _ => None,
    }
}

/// Answers to what the director has asked for: health checks and timers.
fn requested_event(input: &Input) -> Option<wire::Event> {
    match input {
        Input::ProbeFinished { host, outcome, duration: took, load } => {
            Some(wire::Event::HealthCheckResult {
                instance: DIRECTOR,
                host: host_name(*host),
                outcome: health_check_outcome(*outcome),
                duration_ns: duration_ns(*took),
                telemetry: telemetry(load),
            })
        }
        Input::TimerFired(wake) => Some(wire::Event::TimerFired { instance: DIRECTOR, token: wake.0 }),
        _ => None,
    }
}

fn health_check_outcome(outcome: Outcome) -> wire::Outcome {
    match outcome {
        Outcome::Succeeded => wire::Outcome::Success,
        Outcome::ErrorResponse => wire::Outcome::Failure,
        Outcome::Throttled => wire::Outcome::Overloaded,
        Outcome::TimedOut => wire::Outcome::TimedOut,
        Outcome::ConnectFailed => wire::Outcome::Unreachable,
        Outcome::ConnectionLost => wire::Outcome::Broken,
        Outcome::Withdrawn => wire::Outcome::Withdrawn,
        Outcome::Discarded => wire::Outcome::Void,
    }
}

/// A host's load as named figures; none if it told nothing.
fn telemetry(load: &LoadReport) -> Option<wire::Telemetry> {
    let figures = Platform::load_report(load);
    if figures.is_empty() {
        return None;
    }
    let figures = figures.into_iter().map(|(name, figure)| (name.to_string(), figure)).collect();
    Some(wire::Telemetry(figures))
}
