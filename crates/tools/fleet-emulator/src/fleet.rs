//! What all members of a fleet share: options, clock, counters, and the way in which they call the control plane.
use crate::connection::{ByteCounters, Connection, ConnectionError};
use crate::options::Options;
use coppersail_fleet_emulator::CallStats;
use coppersail_stub_backend::redirect::MAX_REDIRECTS;
use coppersail_stub_backend::{NodeSelector, RedirectTarget};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a heartbeat may take. A watch request gets this on top of the time for which it may wait.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to the control plane failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("no response in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("answered {0}")]
    Status(u16),
    #[error("redirected more than {MAX_REDIRECTS} times")]
    TooManyRedirects,
}

pub(crate) struct Fleet {
    pub(crate) options: Options,
    /// Distinguishes the endpoint ids of this run from those of another.
    pub(crate) run_id: u16,
    pub(crate) bytes: Arc<ByteCounters>,
    started_at: Instant,
    stats: Mutex<CallStats>,
    stopping: AtomicBool,
}

impl Fleet {
    pub(crate) fn new(options: Options, run_id: u16) -> Fleet {
        Fleet {
            options,
            run_id,
            bytes: Arc::default(),
            started_at: Instant::now(),
            stats: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The calls of the current window.
    pub(crate) fn stats(&self) -> MutexGuard<'_, CallStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks all members to end after their current call.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    pub(crate) fn zone(&self, number: usize) -> String {
        format!("a{}", number % self.options.zones.max(1))
    }

    /// The client of member `number`; members are spread over the nodes.
    pub(crate) fn client(&self, number: usize) -> Client<'_> {
        let nodes = NodeSelector::new(self.options.control_plane.clone(), number);
        Client { fleet: self, connection: Connection::new(self.bytes.clone()), nodes }
    }
}

/// How one member calls the control plane.
pub(crate) struct Client<'a> {
    fleet: &'a Fleet,
    connection: Connection,
    nodes: NodeSelector,
}

impl Client<'_> {
    /// Sends a body to the selected node, and to those to which it redirects. Returns the body of a 2xx response.
    pub(crate) async fn call(
        &mut self,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, CallError> {
        let (mut target, mut path) = (self.nodes.target().to_string(), path.to_string());
        for _ in 0..=MAX_REDIRECTS {
            if self.fleet.options.fresh_connections {
                self.connection.close();
            }
            let call = self.connection.post(&target, &path, body.clone());
            let answer = tokio::time::timeout(timeout, call).await??;
            match (answer.status, answer.location.as_deref().and_then(RedirectTarget::parse)) {
                (200..=299, _) => return Ok(answer.body),
                (307, Some(next)) => (target, path) = (next.address.to_string(), next.path.to_string()),
                (status, _) => return Err(CallError::Status(status)),
            }
        }
        Err(CallError::TooManyRedirects)
    }

    /// A call that began at `started_at` has a valid response.
    pub(crate) fn record_success(&mut self, started_at: Duration, has_update: bool, report_to: Option<&str>) {
        self.fleet.stats().record_response(self.fleet.now() - started_at, has_update);
        self.nodes.record_success(report_to);
    }

    /// A call failed: the next one goes to another node over a new connection.
    pub(crate) fn record_failure(&mut self) {
        self.fleet.stats().failed += 1;
        self.connection.close();
        self.nodes.record_failure();
    }

    /// How long to wait before the next call, if the last one failed.
    pub(crate) fn backoff(&self) -> Option<Duration> {
        self.nodes.backoff()
    }
}
