//! Inputs of a director as events on the simulator's wire.

use super::clock::{duration_ns, time_ns};
use crate::platform::{host_name, Places, Platform};
use coppersail::interface::{
    HostState, Input, ListScope, Listing, Load, Outcome, ProxyId, RouteId, SliceId, ZoneId,
};
use coppersail_bench_codec as wire;
use coppersail_protocol::config::Config;
use coppersail_settings::Boot;
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
    let places = Places { listen: nowhere, discovery: nowhere, relay: nowhere };
    let config = platform.config(DIRECTOR_NAME, seed, &places, "null");
    let Ok(config) = Config::parse(config.as_bytes()) else { return };
    let settings = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let Ok(boot) = Boot::read(&settings) else { return };
    write(wire::Event::Configure { who: DIRECTOR, seed, boot: Box::new(boot) }, text);
}

/// Writes the events that tell an input.
pub(super) fn write_input(platform: &Platform, input: &Input, text: &mut String) {
    let event = match input {
        Input::Hosts { scope, version, entries } => {
            write(membership_header(*scope, *version, entries.len()), text);
            for entry in entries {
                write(membership_entry(platform, entry), text);
            }
            return;
        }
        Input::Given(_) | Input::Taken(_) | Input::StoredLine { .. } => table_event(input),
        Input::Joined { .. } | Input::Left(_) | Input::Applied { .. } => proxy_event(platform, input),
        Input::Demand { .. } | Input::Tries { .. } => report_event(platform, input),
        Input::Probed { .. } | Input::Wake(_) => requested_event(input),
        // The lab's world has no intake and no peers; operators' wishes and refused orders are not on this wire.
        Input::Intake { .. }
        | Input::Heard { .. }
        | Input::Refused { .. }
        | Input::Wishes(_)
        | Input::Call(_) => None,
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
    platform.settings.zones[usize::from(zone.0)].clone()
}

fn membership_header(scope: ListScope, version: u64, entries: usize) -> wire::Event {
    let scope = match scope {
        ListScope::Changes => wire::Scope::Delta,
        ListScope::Whole => wire::Scope::Full,
        ListScope::Remembered => wire::Scope::Cached,
        ListScope::Failed => wire::Scope::Failed,
    };
    wire::Event::Members { who: DIRECTOR, scope, rev: version, count: Some(entries as u64) }
}

fn membership_entry(platform: &Platform, entry: &Listing) -> wire::Event {
    let status = match entry.state {
        HostState::Ready => wire::Status::Ready,
        HostState::Draining => wire::Status::Draining,
        HostState::Gone => wire::Status::Gone,
    };
    wire::Event::Item {
        sku: platform.settings.kinds[usize::from(entry.kind.0)].clone(),
        born_ns: entry.born.map(time_ns),
        host: host_name(entry.host),
        w: entry.weight,
        block: entry.cell.0,
        zone: zone_name(platform, entry.zone),
        status,
    }
}

/// Which slices the director has, and their stored tables.
fn table_event(input: &Input) -> Option<wire::Event> {
    match input {
        Input::Given(slice) => Some(slice_assignment(*slice, true)),
        Input::Taken(slice) => Some(slice_assignment(*slice, false)),
        Input::StoredLine { slice, host, weight } => Some(wire::Event::CurrentOwner {
            who: DIRECTOR,
            table: slice.0,
            w: *weight,
            host: host_name(*host),
        }),
        _ => None,
    }
}

fn slice_assignment(slice: SliceId, set: bool) -> wire::Event {
    wire::Event::Tenure { who: DIRECTOR, set, table: slice.0 }
}

fn proxy_event(platform: &Platform, input: &Input) -> Option<wire::Event> {
    match input {
        Input::Joined { proxy: ProxyId(proxy), zone, calls_per_s, fresh } => Some(wire::Event::CheckedIn {
            who: DIRECTOR,
            proxy: *proxy,
            zone: zone_name(platform, *zone),
            w: *calls_per_s,
            set: *fresh,
        }),
        Input::Left(proxy) => Some(wire::Event::DroppedOff { who: DIRECTOR, proxy: proxy.0 }),
        Input::Applied { proxy, mark, took } => Some(wire::Event::Receipt {
            who: DIRECTOR,
            proxy: proxy.0,
            time_taken_ns: duration_ns(*took),
            rev: mark.0,
        }),
        _ => None,
    }
}

/// What collectors report.
fn report_event(platform: &Platform, input: &Input) -> Option<wire::Event> {
    match input {
        Input::Demand { slice, route: RouteId(route), calls, dropped, span } => Some(wire::Event::Heat {
            who: DIRECTOR,
            covers_ns: duration_ns(*span),
            grade: platform.routes[usize::from(*route)].clone(),
            bad: *dropped,
            many: *calls,
            table: slice.0,
        }),
        Input::Tries { host, zone, span, tries, dropped, rt, load } => Some(wire::Event::Roundup {
            who: DIRECTOR,
            time_taken_ns: duration_ns(*rt),
            zone: zone_name(platform, *zone),
            covers_ns: duration_ns(*span),
            host: host_name(*host),
            many: *tries,
            bad: *dropped,
            telemetry: telemetry(load),
        }),
        _ => None,
    }
}

/// Answers to what the director has asked for: health checks and timers.
fn requested_event(input: &Input) -> Option<wire::Event> {
    match input {
        Input::Probed { host, outcome, took, load } => Some(wire::Event::Pong {
            who: DIRECTOR,
            host: host_name(*host),
            outcome: health_check_outcome(*outcome),
            time_taken_ns: duration_ns(*took),
            telemetry: telemetry(load),
        }),
        Input::Wake(wake) => Some(wire::Event::Reminder { who: DIRECTOR, token: wake.0 }),
        _ => None,
    }
}

fn health_check_outcome(outcome: Outcome) -> wire::Outcome {
    match outcome {
        Outcome::Answered => wire::Outcome::Success,
        Outcome::Error => wire::Outcome::Failure,
        Outcome::Throttled => wire::Outcome::Overloaded,
        Outcome::TimedOut => wire::Outcome::TimedOut,
        Outcome::Unreachable => wire::Outcome::Unreachable,
        Outcome::Broken => wire::Outcome::Broken,
        Outcome::Withdrawn => wire::Outcome::Withdrawn,
        Outcome::Void => wire::Outcome::Void,
    }
}

/// A host's load as named figures; none if it told nothing.
fn telemetry(load: &Load) -> Option<wire::Telemetry> {
    let figures = Platform::report(load);
    if figures.is_empty() {
        return None;
    }
    let figures = figures.into_iter().map(|(name, figure)| (name.to_string(), figure)).collect();
    Some(wire::Telemetry(figures))
}
