//! The shutdown of an edge: its phases after SIGTERM, and the request counts that its last log lines report.
use crate::connection_state::ConnectionState;
use crate::edge::Edge;
use coppersail_load_balancing::timeouts::ShutdownTimes;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// Interval at which a shutdown checks whether all connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the connections may take to log their aborted requests before the process exits.
const ABORT_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of aborted requests that get their own log line; the others are only counted.
const MAX_LOGGED_ABORTS: u32 = 8;

/// The phases of the process, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub(crate) enum Lifecycle {
    Serving,
    /// The shutdown has begun: idle connections are closed; new connections are still accepted, and closed
    /// after their first response.
    Draining,
    /// No new connections are accepted, and only requests whose deadline is before the exit of the process
    /// are processed.
    Closing,
    /// The process exits: requests that are still in flight are aborted.
    Ended,
}

/// The start of a shutdown and the times of its phases.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    begun: Instant,
    times: ShutdownTimes,
}

/// The shutdown state of this process, and the requests counted since the shutdown began.
#[derive(Default)]
pub(crate) struct Shutdown {
    schedule: Cell<Option<Schedule>>,
    /// Number of requests that began after the signal, on connections that were opened before it.
    on_old_connections: Cell<u32>,
    /// Number of requests that began after the signal, on connections that were opened after it.
    on_new_connections: Cell<u32>,
    /// Time from the signal to the start of the last of these requests.
    last_request: Cell<Duration>,
    aborted_requests: Cell<u32>,
}

impl Shutdown {
    /// Whether an attempt for a request with this deadline may begin.
    pub(crate) fn may_begin(&self, deadline: Instant) -> bool {
        let Some(Schedule { begun, times }) = self.schedule.get() else { return true };
        let time_left = deadline.saturating_duration_since(Instant::now());
        times.may_begin(begun.elapsed(), time_left)
    }

    /// Counts a request that has just begun, if a shutdown is in progress.
    pub(crate) fn record_request(&self, connection: &ConnectionState) {
        let Some(Schedule { begun, .. }) = self.schedule.get() else { return };
        let count = match connection.opened_at() < begun {
            true => &self.on_old_connections,
            false => &self.on_new_connections,
        };
        count.set(count.get() + 1);
        self.last_request.set(begun.elapsed());
    }

    /// Counts and logs the request in flight on a connection that is aborted by the exit of the process, if
    /// there is one.
    pub(crate) fn record_abort(&self, log: &Logger, connection: &ConnectionState) {
        let (Some(Schedule { begun, .. }), Some(request_at)) =
            (self.schedule.get(), connection.request_began_at())
        else {
            return;
        };
        self.aborted_requests.set(self.aborted_requests.get() + 1);
        if self.aborted_requests.get() > MAX_LOGGED_ABORTS {
            return;
        }
        let idle_since = connection.idle_since().map_or("no earlier request".into(), |instant| {
            format!("idle since {} ms", millis_since(begun, instant))
        });
        warn!(
            log,
            "edge: aborted a request that began at {} ms, on a connection opened at {} ms, {idle_since} \
            (relative to the signal)",
            millis_since(begun, request_at),
            millis_since(begun, connection.opened_at()),
        );
    }
}

/// Milliseconds from the signal to `instant`; negative if `instant` was before the signal.
fn millis_since(signal: Instant, instant: Instant) -> i64 {
    match instant.checked_duration_since(signal) {
        Some(after) => after.as_millis() as i64,
        None => -(signal.duration_since(instant).as_millis() as i64),
    }
}

/// Shuts down gracefully: the readiness probe fails, idle connections are closed, new connections are
/// accepted for as long as the platform may send some, and requests in flight complete within the grace
/// period.
pub async fn shut_down(edge: &Rc<Edge>) {
    let grace = edge.settings.borrow().limits.shutdown_grace;
    let times = ShutdownTimes::within(grace);
    let begun = Instant::now();
    edge.shutdown.schedule.set(Some(Schedule { begun, times }));
    info!(edge.log, "edge: shutting down, {} connections open", edge.open_connections.get());
    edge.lifecycle.send_replace(Lifecycle::Draining);
    sleep_until(begun + times.accept_until).await;
    edge.lifecycle.send_replace(Lifecycle::Closing);
    while edge.open_connections.get() > 0 && begun.elapsed() < times.exit_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let aborted_connections = edge.open_connections.get();
    edge.lifecycle.send_replace(Lifecycle::Ended);
    let _ = timeout(ABORT_TIMEOUT, all_connections_closed(edge)).await;
    let shutdown = &edge.shutdown;
    info!(
        edge.log,
        "edge: shutdown complete, {aborted_connections} connections aborted, {} with a request in flight; \
        after the signal: {} requests on older connections and {} on new ones, the last at {} ms",
        shutdown.aborted_requests.get(),
        shutdown.on_old_connections.get(),
        shutdown.on_new_connections.get(),
        shutdown.last_request.get().as_millis(),
    );
}

async fn all_connections_closed(edge: &Edge) {
    while edge.open_connections.get() > 0 {
        tokio::task::yield_now().await;
    }
}
