//! The end of an edge: its phases after SIGTERM, and what its last log lines say of the requests in them.
use crate::connection_state::ConnectionState;
use crate::edge::Edge;
use coppersail_load_balancing::timeouts::ShutdownTimes;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// How often a shutdown checks whether all connections have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long connections may take to log what is cut on them.
const CUT_TIMEOUT: Duration = Duration::from_millis(50);
/// Requests cut at the end of the process that get a log line of their own; the rest is only counted.
const MAX_LOGGED_CUTS: u32 = 8;

/// The phases of the process, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub(crate) enum Lifecycle {
    Serving,
    /// Shutting down: idle connections are closed, new ones accepted and closed after their first response.
    Draining,
    /// No connection is accepted, and only requests are taken that end before the process does.
    Closing,
    /// The process ends: whatever is still in flight is cut.
    Ended,
}

/// When a shutdown began, and its phases since then.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    begun: Instant,
    times: ShutdownTimes,
}

/// The shutdown of this process, and what it has met so far.
#[derive(Default)]
pub(crate) struct Shutdown {
    schedule: Cell<Option<Schedule>>,
    /// Requests that began after the signal, on connections that were open before it.
    on_kept_connections: Cell<u32>,
    /// Requests that began after the signal, on connections that were opened after it.
    on_new_connections: Cell<u32>,
    /// When the last of them began, since the signal.
    last_request: Cell<Duration>,
    cut_requests: Cell<u32>,
}

impl Shutdown {
    /// Whether an attempt for a request with this deadline may begin.
    pub(crate) fn may_begin(&self, deadline: Instant) -> bool {
        let Some(Schedule { begun, times }) = self.schedule.get() else { return true };
        let time_left = deadline.saturating_duration_since(Instant::now());
        times.may_begin(begun.elapsed(), time_left)
    }

    /// Counts a request that has just begun, if a shutdown has, too.
    pub(crate) fn record_request(&self, connection: &ConnectionState) {
        let Some(Schedule { begun, .. }) = self.schedule.get() else { return };
        let count = match connection.opened_at() < begun {
            true => &self.on_kept_connections,
            false => &self.on_new_connections,
        };
        count.set(count.get() + 1);
        self.last_request.set(begun.elapsed());
    }

    /// Logs the request that the end of the process cuts on a connection, if there is one.
    pub(crate) fn record_cut(&self, log: &Logger, connection: &ConnectionState) {
        let (Some(Schedule { begun, .. }), Some(request_at)) =
            (self.schedule.get(), connection.request_began_at())
        else {
            return;
        };
        self.cut_requests.set(self.cut_requests.get() + 1);
        if self.cut_requests.get() > MAX_LOGGED_CUTS {
            return;
        }
        let idle_since = connection.idle_since().map_or("no request before it".into(), |instant| {
            format!("idle since {} ms", millis_since(begun, instant))
        });
        warn!(
            log,
            "edge: cut a request that began at {} ms, on a connection opened at {} ms, {idle_since} (after the signal)",
            millis_since(begun, request_at),
            millis_since(begun, connection.opened_at()),
        );
    }
}

/// From the signal to `instant`, negative if it was before the signal.
fn millis_since(signal: Instant, instant: Instant) -> i64 {
    match instant.checked_duration_since(signal) {
        Some(after) => after.as_millis() as i64,
        None => -(signal.duration_since(instant).as_millis() as i64),
    }
}

/// Shuts down in order: readiness fails, idle connections are closed, new ones are accepted for as long as some may come,
/// and requests in flight end within the grace period.
pub async fn shut_down(edge: &Rc<Edge>) {
    let grace = edge.settings.borrow().limits.shutdown_grace;
    let times = ShutdownTimes::within(grace);
    let begun = Instant::now();
    edge.shutdown.schedule.set(Some(Schedule { begun, times }));
    info!(edge.log, "edge: leaving, {} connections open", edge.open_connections.get());
    edge.lifecycle.send_replace(Lifecycle::Draining);
    sleep_until(begun + times.accept_until).await;
    edge.lifecycle.send_replace(Lifecycle::Closing);
    while edge.open_connections.get() > 0 && begun.elapsed() < times.exit_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let cut_connections = edge.open_connections.get();
    edge.lifecycle.send_replace(Lifecycle::Ended);
    let _ = timeout(CUT_TIMEOUT, all_connections_closed(edge)).await;
    let record = &edge.shutdown;
    info!(
        edge.log,
        "edge: left, {cut_connections} connections cut, {} with a request; after the signal {} requests on connections \
        from before it and {} on new ones, the last at {} ms",
        record.cut_requests.get(),
        record.on_kept_connections.get(),
        record.on_new_connections.get(),
        record.last_request.get().as_millis(),
    );
}

async fn all_connections_closed(edge: &Edge) {
    while edge.open_connections.get() > 0 {
        tokio::task::yield_now().await;
    }
}
