//! Health probes of hosts: each is one HTTP request on a separate connection.

use super::http_client::{self, RequestError};
use coppersail::interface::HostId;
use coppersail_director::reducer::{Event, ProbeOutcome};
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::sync::Semaphore;

/// Many times the usual time for connecting to a host; a machine that is down never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit of the whole probe. A live host answers in hundredths of a second; the rest allows for queueing at the host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// A load report is one line.
const MAX_BODY_BYTES: usize = 4096;

/// Starts probes, with a limit of how many are in flight.
pub(crate) struct HealthProber {
    events: Sender<Event>,
    in_flight_limit: Arc<Semaphore>,
}

impl HealthProber {
    /// Creates a prober with at most `max_in_flight` probes at a time; results are sent to `events`.
    pub(crate) fn new(events: Sender<Event>, max_in_flight: usize) -> Self {
        HealthProber { events, in_flight_limit: Arc::new(Semaphore::new(max_in_flight)) }
    }

    /// Starts a probe, or queues it at the limit; [`Event::ProbeFinished`] follows.
    pub(crate) fn start(&mut self, host: HostId, address: SocketAddr, path: &'static str) {
        let events = self.events.clone();
        let in_flight_limit = self.in_flight_limit.clone();
        tokio::spawn(async move {
            // The permit is released when the task ends, also if it panics.
            let Ok(_permit) = in_flight_limit.acquire_owned().await else { return };
            let started = Instant::now();
            let (outcome, body) = match tokio::time::timeout(PROBE_TIMEOUT, probe(address, path)).await {
                Ok(result) => result,
                Err(_) => (ProbeOutcome::TimedOut, Vec::new()),
            };
            let duration = started.elapsed().as_secs_f64();
            let _ = events.send(Event::ProbeFinished { host, outcome, duration, body }).await;
        });
    }
}

/// Sends a probe, and retries it once if its connection broke. A broken connection does not show that the host is
/// unhealthy, since the network resets connections at random; a host that is down refuses the retry. Without the
/// retry, two such resets in a row would withdraw a healthy host from service, which would then be treated as newly
/// started.
async fn probe(address: SocketAddr, path: &str) -> (ProbeOutcome, Vec<u8>) {
    match request(address, path).await {
        (ProbeOutcome::Broken, _) => request(address, path).await,
        result => result,
    }
}

async fn request(address: SocketAddr, path: &str) -> (ProbeOutcome, Vec<u8>) {
    let (response, _driver) = match http_client::get(address, path, CONNECT_TIMEOUT).await {
        Ok(response) => response,
        Err(RequestError::Unreachable) => return (ProbeOutcome::Unreachable, Vec::new()),
        Err(RequestError::Broken) => return (ProbeOutcome::Broken, Vec::new()),
        Err(RequestError::Unreadable) => return (ProbeOutcome::Unreadable, Vec::new()),
    };
    let status = response.status().as_u16();
    match Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await {
        Ok(body) => (ProbeOutcome::Status(status), body.to_bytes().to_vec()),
        // The status is enough to know that the host is alive; only the load report is lost.
        Err(_) => (ProbeOutcome::Status(status), Vec::new()),
    }
}
