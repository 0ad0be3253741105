//! Timeouts of requests and connections, and this edge's share of an endpoint's connections.
use crate::Ms;
use std::time::Duration;

/// Timeout of a request for which neither the client nor the operator sets one.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The fraction of a request's latency target that may be spent waiting is one divided by this. A rejection
/// within a quarter of the target costs the client little, and the network round trip and a failed attempt
/// need part of that time.
const TARGET_DIVISOR: Ms = 8;
/// Longest wait (ms) inside the edge for a key's next owner.
const MAX_OWNER_WAIT_MS: Ms = 250;
/// Bounds (ms) of the connect timeout. Latency between zones is a few milliseconds, so an endpoint that does
/// not answer is down or partitioned, and another one may still serve the request in time. TCP retransmits a
/// lost SYN after one second, which is longer than any attempt waits.
const CONNECT_TIMEOUT_MS: (Ms, Ms) = (60, 300);
/// Assumed keep-alive time of an endpoint that does not report one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fractions of an endpoint's keep-alive time for which an idle connection may be reused: by idempotent
/// requests, and by other requests.
const KEEP_ALIVE_FRACTIONS: (f64, f64) = (0.6, 0.4);
/// How long new connections are accepted after SIGTERM. The platform probes readiness every second and needs
/// two failures, so it stops sending connections after two seconds plus the duration of a probe.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_500);
/// Upper limit of the time in which new connections are accepted, as a fraction of the shutdown grace period.
const ACCEPT_FRACTION_OF_GRACE: f64 = 0.6;
/// Fraction of the shutdown grace period after which the process exits. The platform kills it at the end of
/// the period.
const EXIT_FRACTION_OF_GRACE: f64 = 0.95;

/// The timeout (ms) of a request: the smaller of the client's and the operator's limit.
pub fn request_timeout(from_client: Option<Ms>, from_operator: Option<Duration>) -> Ms {
    let from_operator = from_operator.map(|timeout| timeout.as_millis() as Ms);
    match (from_client, from_operator) {
        (Some(client), Some(operator)) => client.min(operator),
        (Some(timeout), None) | (None, Some(timeout)) => timeout,
        (None, None) => DEFAULT_REQUEST_TIMEOUT.as_millis() as Ms,
    }
}

/// How long (ms) a request may wait inside the edge for its key's next owner. `time_left` (ms) is the time
/// until its deadline, of which the wait takes at most a third.
pub fn owner_wait(latency_target: Option<Duration>, time_left: Ms) -> Ms {
    let limit = latency_target.map_or(MAX_OWNER_WAIT_MS, |target| target.as_millis() as Ms / TARGET_DIVISOR);
    limit.min(MAX_OWNER_WAIT_MS).min(time_left / 3)
}

/// Timeout for establishing a connection to an endpoint. `time_left` (ms) is the time until the request's
/// deadline, of which the timeout takes at most half.
pub fn connect_timeout(latency_target: Option<Duration>, time_left: Ms) -> Duration {
    let (min, max) = CONNECT_TIMEOUT_MS;
    let limit = latency_target.map_or(max, |target| target.as_millis() as Ms / TARGET_DIVISOR);
    Duration::from_millis(limit.clamp(min, max).min(time_left / 2).max(1))
}

/// How long an idle connection may be reused, given the keep-alive time that the endpoint reported. Reuse
/// stops well before the endpoint closes the connection, because its FIN could cross a request. The margin is
/// larger for non-idempotent requests, since a request that crosses a FIN may have been processed and must
/// not be retried.
pub fn idle_timeout(keep_alive: Option<Duration>, idempotent: bool) -> Duration {
    let (for_idempotent, for_others) = KEEP_ALIVE_FRACTIONS;
    keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).mul_f64(if idempotent { for_idempotent } else { for_others })
}

/// The schedule of a shutdown, as durations since SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// End of the phase in which new connections, and attempts regardless of their deadline, are accepted.
    pub accept_until: Duration,
    /// When the process exits, even with requests in flight.
    pub exit_at: Duration,
}

impl ShutdownTimes {
    /// The schedule for a shutdown grace period.
    pub fn within(grace: Duration) -> ShutdownTimes {
        let accept_until = ACCEPT_AFTER_SIGTERM.min(grace.mul_f64(ACCEPT_FRACTION_OF_GRACE));
        ShutdownTimes { accept_until, exit_at: grace.mul_f64(EXIT_FRACTION_OF_GRACE).max(accept_until) }
    }

    /// Whether an attempt may begin when `elapsed` has passed since SIGTERM and `time_left` remains until the
    /// request's deadline. After `accept_until`, it may begin only if its deadline is not later than the exit
    /// of the process.
    pub fn may_begin(&self, elapsed: Duration, time_left: Duration) -> bool {
        elapsed < self.accept_until || elapsed + time_left <= self.exit_at
    }
}

/// This edge's share of an endpoint's connection limit, which is divided among all edges. One eighth of the
/// limit is reserved for the health checks of the control plane.
pub fn connection_limit(max_connections: u32, edge_count: u32) -> u32 {
    (max_connections.saturating_sub(max_connections / 8) / edge_count.max(1)).max(1)
}
