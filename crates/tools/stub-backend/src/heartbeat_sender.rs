//! Sends heartbeats to the control plane until the endpoint has drained, then signs it off.
use crate::backend::Backend;
use coppersail_stub_backend::heartbeat::InvalidResponse;
use coppersail_stub_backend::redirect::MAX_REDIRECTS;
use coppersail_stub_backend::{HeartbeatResponse, NodeSelector, RedirectTarget};
use slog::{info, warn};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a call may take, redirects not included.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How soon a signal is noticed, and how exactly heartbeats are timed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a call to the control plane failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Transport(#[from] ureq::Error),
    #[error("{url} answered {status}")]
    Status { url: String, status: u16 },
    #[error("307 to nowhere")]
    InvalidRedirect,
    #[error("sent on too often")]
    TooManyRedirects,
    #[error(transparent)]
    InvalidResponse(#[from] InvalidResponse),
}

pub(crate) struct HeartbeatSender<'a> {
    backend: &'a Backend,
    nodes: NodeSelector,
    agent: ureq::Agent,
    /// Whether the last heartbeat was acknowledged: only changes are logged.
    acknowledged: Option<bool>,
}

impl<'a> HeartbeatSender<'a> {
    pub(crate) fn new(backend: &'a Backend, nodes: NodeSelector) -> HeartbeatSender<'a> {
        let config = ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).max_redirects(0);
        let config = config.http_status_as_error(false).max_redirects_will_error(false);
        HeartbeatSender { backend, nodes, agent: config.build().new_agent(), acknowledged: None }
    }

    /// Returns once the endpoint has drained and signed off. `shutdown` begins the draining.
    pub(crate) fn run(mut self, shutdown: &AtomicBool) {
        let mut not_before = Duration::ZERO;
        loop {
            let now = self.backend.now();
            if shutdown.swap(false, Ordering::Relaxed) {
                info!(self.backend.log, "shutdown requested; draining");
                self.backend.endpoint().drain(now);
            }
            if self.backend.endpoint().may_stop(now) {
                break;
            }
            if now < self.backend.endpoint().heartbeat_due_at().max(not_before) {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            self.send_heartbeat(now);
            not_before = self.nodes.backoff().map_or(Duration::ZERO, |backoff| self.backend.now() + backoff);
        }
        self.deregister();
    }

    fn send_heartbeat(&mut self, now: Duration) {
        let heartbeat = self.backend.endpoint().next_heartbeat(now);
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let result = self.call(&format!("/servers/{}/pulse", self.backend.id), &body);
        let acknowledged = result.is_ok();
        let changed = self.acknowledged != Some(acknowledged);
        match result {
            Ok(response) => {
                self.backend.endpoint().acknowledge_heartbeat(self.backend.now(), &response);
                self.nodes.record_success(response.report_to.as_deref());
                if changed {
                    info!(self.backend.log, "heartbeat acknowledged; reporting to {}", self.nodes.target());
                }
            }
            Err(error) => {
                if changed {
                    warn!(self.backend.log, "heartbeat to {} failed: {error}", self.nodes.target());
                }
                self.nodes.record_failure();
            }
        }
        self.acknowledged = Some(acknowledged);
    }

    fn deregister(&self) {
        match self.call(&format!("/servers/{}/sign-off", self.backend.id), b"") {
            Ok(_) => info!(self.backend.log, "signed off"),
            Err(error) => warn!(self.backend.log, "could not sign off: {error}"),
        }
    }

    /// One call to the selected node, and to those to which it redirects.
    fn call(&self, path: &str, body: &[u8]) -> Result<HeartbeatResponse, CallError> {
        let (mut address, mut path) = (self.nodes.target().to_string(), path.to_string());
        for _ in 0..=MAX_REDIRECTS {
            let url = format!("http://{address}{path}");
            let request = self.agent.post(&url).header("Content-Type", "application/json");
            let mut response = request.send(body)?;
            let status = response.status().as_u16();
            if status == 307 {
                let location = response.headers().get("Location").and_then(|value| value.to_str().ok());
                let target = location.and_then(RedirectTarget::parse).ok_or(CallError::InvalidRedirect)?;
                (address, path) = (target.address.into(), target.path.into());
                continue;
            }
            let limit = HeartbeatResponse::MAX_BYTES as u64;
            let body = response.body_mut().with_config().limit(limit).read_to_vec()?;
            return match status {
                200..=299 => Ok(HeartbeatResponse::parse(&body)?),
                _ => Err(CallError::Status { url, status }),
            };
        }
        Err(CallError::TooManyRedirects)
    }
}
