//! To which control-plane node the next heartbeat goes, and the backoff after failures.
use std::time::Duration;

/// The backoff after the first failure. It doubles with each further one, to at most the timeout of a heartbeat.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Keeps the shift in range; the backoff has reached its maximum long before.
const MAX_DOUBLINGS: u32 = 16;

/// Selects a node: the one that a response named, until a call to it fails; then the configured ones in turn.
#[derive(Debug, Clone)]
pub struct NodeSelector {
    configured: Vec<String>,
    index: usize,
    /// The node that the last response named in `reportTo`.
    assigned: Option<String>,
    consecutive_failures: u32,
}

impl NodeSelector {
    /// `start` spreads endpoints over the nodes. The list must not be empty.
    pub fn new(configured: Vec<String>, start: usize) -> NodeSelector {
        let index = start % configured.len().max(1);
        NodeSelector { configured, index, assigned: None, consecutive_failures: 0 }
    }

    /// The node for the next call, as "ip:port".
    pub fn target(&self) -> &str {
        self.assigned.as_deref().unwrap_or(&self.configured[self.index])
    }

    /// The call succeeded; its response may assign a node.
    pub fn record_success(&mut self, report_to: Option<&str>) {
        self.consecutive_failures = 0;
        if let Some(address) = report_to.filter(|address| !address.is_empty()) {
            self.assigned = Some(address.to_string());
        }
    }

    /// The call failed: an assigned node is given up, a configured one passed over.
    pub fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        if self.assigned.take().is_none() {
            self.index = (self.index + 1) % self.configured.len();
        }
    }

    /// How long to wait before the next call, if the last one failed.
    pub fn backoff(&self) -> Option<Duration> {
        let doublings = self.consecutive_failures.checked_sub(1)?;
        Some(BACKOFF_MIN.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(BACKOFF_MAX))
    }
}
