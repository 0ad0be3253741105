//! Timeouts of requests and connections, and this edge's share of an endpoint's connections.
use crate::Ms;
use std::time::Duration;

/// Of a request for which neither the client nor the operator sets one.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// A request's latency target, divided by this, is what may be spent on waiting: a refusal within a quarter of the target costs
/// little, and the way to the client and back and an attempt that fails take their share of that.
const TARGET_DIVISOR: Ms = 8;
/// Longest wait (ms) inside the edge for a key's next owner.
const MAX_OWNER_WAIT_MS: Ms = 250;
/// Bounds (ms) of the time in which a connection must be established. Zones are milliseconds apart, and an endpoint that
/// does not answer is dead or cut off: another may still serve in time. A lost SYN is sent again after a second, which
/// no attempt waits for.
const CONNECT_TIMEOUT_MS: (Ms, Ms) = (60, 300);
/// How long an endpoint keeps an idle connection, where it does not say so.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of an endpoint's keep-alive time in which an idle connection is used for idempotent requests, and for others.
const KEEP_ALIVE_FRACTIONS: (f64, f64) = (0.6, 0.4);
/// How long new connections are accepted after SIGTERM. The platform probes readiness every second and needs two
/// failures, so that connections stop coming after two seconds and the time that a probe takes.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_500);
/// Fraction of the shutdown grace period in which new connections are accepted, at most.
const ACCEPT_FRACTION_OF_GRACE: f64 = 0.6;
/// Fraction of the shutdown grace period after which the process ends; the platform kills it at the end.
const EXIT_FRACTION_OF_GRACE: f64 = 0.95;

/// The time (ms) that a request has: what the client says and what the operator allows.
pub fn request_timeout(from_client: Option<Ms>, from_operator: Option<Duration>) -> Ms {
    let from_operator = from_operator.map(|timeout| timeout.as_millis() as Ms);
    match (from_client, from_operator) {
        (Some(client), Some(operator)) => client.min(operator),
        (Some(one), None) | (None, Some(one)) => one,
        (None, None) => DEFAULT_REQUEST_TIMEOUT.as_millis() as Ms,
    }
}

/// How long (ms) a request may wait inside the edge for its key's next owner; `left` ms remain until its deadline.
pub fn owner_wait(latency_target: Option<Duration>, time_left: Ms) -> Ms {
    let limit = latency_target.map_or(MAX_OWNER_WAIT_MS, |target| target.as_millis() as Ms / TARGET_DIVISOR);
    limit.min(MAX_OWNER_WAIT_MS).min(time_left / 3)
}

/// How long establishing a connection to an endpoint may take; `left` ms remain until the request's deadline.
pub fn connect_timeout(latency_target: Option<Duration>, time_left: Ms) -> Duration {
    let (min, max) = CONNECT_TIMEOUT_MS;
    let limit = latency_target.map_or(max, |target| target.as_millis() as Ms / TARGET_DIVISOR);
    Duration::from_millis(limit.clamp(min, max).min(time_left / 2).max(1))
}

/// How long an idle connection may be used, by the keep-alive time that the endpoint reported. That is well before the
/// endpoint closes it: the FIN would cross the request. A request that must not be repeated stays further away, since
/// one that crosses may have been processed.
pub fn idle_timeout(keep_alive: Option<Duration>, idempotent: bool) -> Duration {
    let (for_idempotent, for_others) = KEEP_ALIVE_FRACTIONS;
    keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).mul_f64(if idempotent { for_idempotent } else { for_others })
}

/// The phases of a shutdown, as times since SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Until when new connections are accepted, and requests whatever their deadline.
    pub accept_until: Duration,
    /// When the process ends, whatever is in flight.
    pub exit_at: Duration,
}

impl ShutdownTimes {
    /// The phases within a shutdown grace period.
    pub fn within(grace: Duration) -> ShutdownTimes {
        let accept_until = ACCEPT_AFTER_SIGTERM.min(grace.mul_f64(ACCEPT_FRACTION_OF_GRACE));
        ShutdownTimes { accept_until, exit_at: grace.mul_f64(EXIT_FRACTION_OF_GRACE).max(accept_until) }
    }

    /// Whether an attempt for a request may begin, `elapsed` since SIGTERM and `left` before the request's deadline. Late
    /// in a shutdown it may only if its deadline ends it before the process does.
    pub fn may_begin(&self, elapsed: Duration, time_left: Duration) -> bool {
        elapsed < self.accept_until || elapsed + time_left <= self.exit_at
    }
}

/// This edge's share of an endpoint's connections, which all edges share. One in eight is left for the health checks of
/// the control plane.
pub fn connection_limit(max_connections: u32, edge_count: u32) -> u32 {
    (max_connections.saturating_sub(max_connections / 8) / edge_count.max(1)).max(1)
}
