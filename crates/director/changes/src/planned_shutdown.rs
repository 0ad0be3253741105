//! Planned shutdowns: a deployment announces when it will shut down each host, so that the host's slices are moved
//! before.

use coppersail_operator_config::{Document, Field, Value};

/// How long before its shutdown a host's slices are moved, seconds. Proxies have new tables within a few seconds; the
/// second half warms the caches of the hosts that take over. Longer would leave the fleet smaller for longer.
pub const DRAIN_LEAD_S: f64 = 10.0;
/// How long after the announced time an announcement expires, seconds: a cancelled deployment must not keep a healthy
/// host empty. A deployment that is later than that has to announce again.
pub const ANNOUNCEMENT_LIFETIME_S: f64 = 120.0;
/// How long a host is assumed to be down, seconds, as its return is not announced: hosts that shut down within this
/// time of each other are down together.
const ASSUMED_DOWNTIME: f64 = 30.0;

/// The phase of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// In the future; the capacity guard takes it into account.
    Scheduled,
    /// The host is draining, or shuts down.
    Draining,
    /// The host has restarted since, or the announcement has expired.
    Over,
}

impl ShutdownPhase {
    /// The phase at `now` of a shutdown announced for `at`. `born` is when the host's process started, if the endpoint
    /// list has it. All in seconds on one clock.
    pub fn of(now: f64, at: f64, started_at: Option<f64>) -> ShutdownPhase {
        match started_at {
            // A deployment may be a little early: a process that started just before `at` is the new one.
            Some(started_at) if started_at > at - DRAIN_LEAD_S => ShutdownPhase::Over,
            _ if now > at + ANNOUNCEMENT_LIFETIME_S => ShutdownPhase::Over,
            _ if now >= at - DRAIN_LEAD_S => ShutdownPhase::Draining,
            _ => ShutdownPhase::Scheduled,
        }
    }

    /// When the phase next changes by time alone; infinite: never.
    pub fn next_transition_at(now: f64, at: f64) -> f64 {
        [at - DRAIN_LEAD_S, at + ANNOUNCEMENT_LIFETIME_S]
            .into_iter()
            .find(|turn| *turn > now)
            .unwrap_or(f64::INFINITY)
    }
}

/// All planned shutdowns: the host's name, and when, in seconds since 1970.
pub fn planned_shutdowns(document: &Document) -> impl Iterator<Item = (&str, f64)> {
    document.iter().filter_map(|(field, value)| match (field, value) {
        (Field::HostShutdown(host), Value::Number(at)) => Some((host.as_str(), *at)),
        _ => None,
    })
}

/// For each planned shutdown, all hosts that are down then. Two shutdowns may be within a second of each other, so they
/// are not keyed by time.
pub(crate) fn down_together(document: &Document) -> Vec<Vec<&str>> {
    let times: Vec<(&str, f64)> = planned_shutdowns(document).collect();
    let down_at =
        |at: f64| times.iter().filter(move |(_, other)| *other <= at && *other > at - ASSUMED_DOWNTIME);
    times.iter().map(|(_, at)| down_at(*at).map(|(host, _)| *host).collect()).collect()
}

#[cfg(test)]
mod tests;
