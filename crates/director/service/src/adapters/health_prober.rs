//! Health probes of hosts: each is one HTTP request on a connection of its own.

use super::http_client::{self, RequestError};
use coppersail::interface::HostId;
use coppersail_director::reducer::{Event, ProbeOutcome};
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::sync::Semaphore;

/// Many times what a connect takes on the way to a host; a machine that vanished never answers it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// For the whole probe. A live host answers in hundredths of a second; this leaves room for a queue before the answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// A load report is one line.
const MAX_BODY_BYTES: usize = 4096;

/// Starts probes, of which a limited number is in flight at a time.
pub(crate) struct HealthProber {
    events: Sender<Event>,
    in_flight_limit: Arc<Semaphore>,
}

impl HealthProber {
    /// At most `max_in_flight` probes run at a time, the others wait; results go to `events`.
    pub(crate) fn new(events: Sender<Event>, max_in_flight: usize) -> Self {
        HealthProber { events, in_flight_limit: Arc::new(Semaphore::new(max_in_flight)) }
    }

    /// Starts a probe; `Probed` follows.
    pub(crate) fn start(&mut self, host: HostId, address: SocketAddr, path: &'static str) {
        let events = self.events.clone();
        let in_flight_limit = self.in_flight_limit.clone();
        tokio::spawn(async move {
            // Released when the task ends, whatever its end.
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

/// A connection that was established and broke says nothing of the host, as the network resets any: the request is
/// retried once. A host that died refuses the retry. Without it, two resets in a row would have a healthy host
/// withdrawn from service and then treated as newly started.
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
        // The status shows that the host is alive; only the load report is lost.
        Err(_) => (ProbeOutcome::Status(status), Vec::new()),
    }
}
