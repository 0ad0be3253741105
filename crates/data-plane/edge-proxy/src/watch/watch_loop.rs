//! The thread that polls the control plane and passes updates to the edge.
use super::candidates::{Candidates, CONNECT_TIMEOUT, POLL_TIMEOUT};
use super::outage::Outage;
use crate::edge::RequestCounter;
use crate::rollout::outbox::{EvidenceOutbox, ROLLOUT_POLL_WAIT};
use coppersail_config::ProcessSettings;
use coppersail_peer_client::{PeerClient, PeerError};
use coppersail_peer_protocol::{Update, WatchRequest};
use slog::{info, Logger};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// HTTP path of the watch, which is part of the wire format.
const WATCH_PATH: &str = "/follow";
/// How long a node may delay the answer to a poll while it has no changes.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// Maximum size (bytes) of a node's first answer. It has room for the configuration, and is small enough that
/// even on a congested link the answer arrives in time and shows that the node is responsive.
const FIRST_ANSWER_BYTES: u64 = 8 * 1024;
/// Maximum size (bytes) of an answer. A link transfers it within [`POLL_TIMEOUT`] if client traffic leaves 20
/// KB/s.
const MAX_ANSWER_BYTES: u64 = 32 * 1024;
/// Stack size (bytes) of the thread, which only reads and parses.
const STACK_SIZE: usize = 256 * 1024;

/// Starts the thread. It ends when the receiver of `updates` is dropped.
///
/// # Errors
/// When the thread cannot be created.
pub fn start(
    settings: &ProcessSettings,
    log: Logger,
    request_counts: Arc<RequestCounter>,
    evidence: Arc<EvidenceOutbox>,
    updates: UnboundedSender<Update>,
) -> std::io::Result<()> {
    let request = WatchRequest {
        edge: settings.ip_address.clone(),
        zone: settings.zone.clone(),
        wait_ms: POLL_WAIT.as_millis() as u64,
        ..WatchRequest::default()
    };
    let watch = WatchLoop {
        client: PeerClient::new(CONNECT_TIMEOUT, POLL_TIMEOUT),
        candidates: Candidates::new(settings),
        request,
        connected: false,
        outage: Outage::default(),
        log,
        request_counts,
        evidence,
        updates,
    };
    let thread = std::thread::Builder::new().name("follow".into()).stack_size(STACK_SIZE);
    thread.spawn(move || watch.run())?;
    Ok(())
}

/// The receiver of updates was dropped, so the loop must end.
struct Stopped;

struct WatchLoop {
    client: PeerClient,
    candidates: Candidates,
    /// The next poll. Its feed position acknowledges the last update that was applied.
    request: WatchRequest,
    /// Whether the last poll got a usable answer.
    connected: bool,
    /// The failed polls since the last usable answer.
    outage: Outage,
    log: Logger,
    request_counts: Arc<RequestCounter>,
    evidence: Arc<EvidenceOutbox>,
    updates: UnboundedSender<Update>,
}

impl WatchLoop {
    fn run(mut self) {
        while !self.updates.is_closed() {
            let Some(address) = self.candidates.current().cloned() else {
                info!(self.log, "watch: no control-plane node is known");
                return;
            };
            self.fill_request();
            let requested_at = Instant::now();
            let delay = match self.poll(&address) {
                Ok(update) => self.apply(&address, Update { requested_at: Some(requested_at), ..update }),
                Err(error) => {
                    self.outage.record_failure(requested_at, &error);
                    self.disconnect(|log| info!(log, "watch: lost control-plane node {address}: {error}"));
                    Ok(self.candidates.poll_failed())
                }
            };
            match delay {
                Ok(delay) if !delay.is_zero() => std::thread::sleep(delay),
                Ok(_) => {}
                Err(Stopped) => return,
            }
        }
    }

    /// Fills the next poll with the request counts and evidence of the edge. A node is asked to answer its
    /// first poll immediately.
    fn fill_request(&mut self) {
        self.candidates.resume(&mut self.request);
        self.request.request_counts = self.request_counts.take();
        let rollout_active = self.evidence.is_active();
        let wait = match (self.connected, rollout_active) {
            (false, _) => Duration::ZERO,
            (true, true) => ROLLOUT_POLL_WAIT,
            (true, false) => POLL_WAIT,
        };
        self.request.wait_ms = wait.as_millis() as u64;
        self.request.max_bytes = Some(if self.connected { MAX_ANSWER_BYTES } else { FIRST_ANSWER_BYTES });
        self.request.rollout_reports = if rollout_active { self.evidence.take() } else { Vec::new() };
    }

    fn poll(&self, address: &str) -> Result<Update, PeerError> {
        if self.connected {
            self.client.post(address, WATCH_PATH, &self.request)
        } else {
            let timeout = self.candidates.response_timeout();
            self.client.post_with_response_timeout(address, WATCH_PATH, &self.request, timeout)
        }
    }

    /// Passes an answer to the edge if it is usable. Returns the delay before the next poll.
    fn apply(&mut self, address: &str, update: Update) -> Result<Duration, Stopped> {
        match self.candidates.accept(&mut self.request, update) {
            Ok(update) => {
                if !self.connected {
                    let outage = self.outage.end(Instant::now());
                    info!(self.log, "watch: connected to control-plane node {address}{outage}");
                    self.connected = true;
                }
                self.updates.send(update).map_err(|_| Stopped)?;
                Ok(Duration::ZERO)
            }
            Err(delay) => {
                self.outage.record_isolated(Instant::now());
                self.disconnect(|log| {
                    info!(log, "watch: left control-plane node {address}, which has no quorum");
                });
                Ok(delay)
            }
        }
    }

    /// Logs the loss of the current node if there was one, and keeps the counts and reports that no node has
    /// accepted for the next poll.
    fn disconnect(&mut self, log_loss: impl FnOnce(&Logger)) {
        if self.connected {
            log_loss(&self.log);
            self.connected = false;
        }
        self.request_counts.put_back(std::mem::take(&mut self.request.request_counts));
        self.evidence.put_back(std::mem::take(&mut self.request.rollout_reports));
    }
}
