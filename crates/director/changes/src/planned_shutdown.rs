//! Planned shutdowns: a deployment announces when it will shut down each host, so that the host's slices are
//! moved away in time.

use coppersail_operator_config::{Document, Field, Value};

/// How long before its shutdown a host's slices are moved away, in seconds. Proxies have new tables within a
/// few seconds; in the second half of this time the caches of the hosts that take over warm up. A longer lead
/// would reduce the capacity of the fleet for longer.
pub const DRAIN_LEAD_S: f64 = 10.0;
/// Time after the announced shutdown at which the announcement expires, in seconds: a cancelled deployment
/// must not keep a healthy host empty. A deployment with a longer delay has to announce the shutdown again.
pub const ANNOUNCEMENT_LIFETIME_S: f64 = 120.0;
/// How long a host is assumed to be down, in seconds, as its return is not announced: hosts that shut down
/// within this time of each other count as down together.
const ASSUMED_DOWNTIME_S: f64 = 30.0;

/// The phase of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The shutdown is in the future; the capacity guard takes it into account.
    Scheduled,
    /// The host is being drained or shut down.
    Draining,
    /// The host has restarted, or the announcement has expired.
    Over,
}

impl ShutdownPhase {
    /// The phase at `now` of a shutdown announced for `at`. `started_at` is the start time of the host's
    /// process, if the endpoint list has it. All times are in seconds, on the same clock.
    pub fn of(now: f64, at: f64, started_at: Option<f64>) -> ShutdownPhase {
        match started_at {
            // A deployment may be early: a process that started within the drain lead before `at` is the new
            // one.
            Some(started_at) if started_at > at - DRAIN_LEAD_S => ShutdownPhase::Over,
            _ if now > at + ANNOUNCEMENT_LIFETIME_S => ShutdownPhase::Over,
            _ if now >= at - DRAIN_LEAD_S => ShutdownPhase::Draining,
            _ => ShutdownPhase::Scheduled,
        }
    }

    /// When the phase next changes because of time alone; infinite: never.
    pub fn next_transition_at(now: f64, at: f64) -> f64 {
        [at - DRAIN_LEAD_S, at + ANNOUNCEMENT_LIFETIME_S]
            .into_iter()
            .find(|transition| *transition > now)
            .unwrap_or(f64::INFINITY)
    }
}

/// All planned shutdowns: the host's name and the time of the shutdown, in seconds since 1970.
pub fn planned_shutdowns(document: &Document) -> impl Iterator<Item = (&str, f64)> {
    document.iter().filter_map(|(field, value)| match (field, value) {
        (Field::HostShutdown(host), Value::Number(at)) => Some((host.as_str(), *at)),
        _ => None,
    })
}

/// For each planned shutdown, all hosts that are down at that time. The result is a list and not a map by
/// second, as two shutdowns may be within one second.
pub(crate) fn down_together(document: &Document) -> Vec<Vec<&str>> {
    let times: Vec<(&str, f64)> = planned_shutdowns(document).collect();
    let down_at =
        |at: f64| times.iter().filter(move |(_, other)| *other <= at && *other > at - ASSUMED_DOWNTIME_S);
    times.iter().map(|(_, at)| down_at(*at).map(|(host, _)| *host).collect()).collect()
}

#[cfg(test)]
mod tests;
