//! The thread that polls the control plane and hands updates to the edge.
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

/// HTTP path of the watch, a wire name.
const WATCH_PATH: &str = "/follow";
/// For how long a node may hold back the answer to a poll while there is nothing new.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// The longest first answer of a node, in bytes: on a full link, the configuration and the proof that the node answers.
const FIRST_ANSWER_BYTES: u64 = 8 * 1024;
/// The longest answer, in bytes: a link carries it within [`POLL_TIMEOUT`] if the traffic of clients leaves it 20 KB/s.
const MAX_ANSWER_BYTES: u64 = 32 * 1024;
/// Stack of the thread, in bytes: it only reads and parses.
const STACK_SIZE: usize = 256 * 1024;

/// Starts the thread. It ends once the receiver of `updates` is gone.
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

/// Why the loop ends.
struct Stopped;

struct WatchLoop {
    client: PeerClient,
    candidates: Candidates,
    /// The next poll. Its feed position acknowledges the last update that was applied.
    request: WatchRequest,
    /// Whether the last poll brought an answer that is used.
    connected: bool,
    /// The polls since then that failed.
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
                info!(self.log, "follow: no centre is known");
                return;
            };
            self.fill_request();
            let requested_at = Instant::now();
            let delay = match self.poll(&address) {
                Ok(update) => self.apply(&address, Update { requested_at: Some(requested_at), ..update }),
                Err(error) => {
                    self.outage.record_failure(requested_at, &error);
                    self.disconnect(|log| info!(log, "follow: lost {address}: {error}"));
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

    /// Takes along what the edge has counted. A node that is not followed yet is to answer at once.
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

    /// Hands an answer to the edge if it may be used. Returns the delay before the next poll.
    fn apply(&mut self, address: &str, update: Update) -> Result<Duration, Stopped> {
        match self.candidates.accept(&mut self.request, update) {
            Ok(update) => {
                if !self.connected {
                    let outage = self.outage.end(Instant::now());
                    info!(self.log, "follow: in touch with {address}{outage}");
                    self.connected = true;
                }
                self.updates.send(update).map_err(|_| Stopped)?;
                Ok(Duration::ZERO)
            }
            Err(delay) => {
                self.outage.record_isolated(Instant::now());
                self.disconnect(|log| info!(log, "follow: left {address}: it has no majority"));
                Ok(delay)
            }
        }
    }

    /// Logs the loss of a node that was followed, and keeps for the next poll what no node has accepted.
    fn disconnect(&mut self, log_loss: impl FnOnce(&Logger)) {
        if self.connected {
            log_loss(&self.log);
            self.connected = false;
        }
        self.request_counts.put_back(std::mem::take(&mut self.request.request_counts));
        self.evidence.put_back(std::mem::take(&mut self.request.rollout_reports));
    }
}
