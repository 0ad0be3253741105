//! What the callers of the `admin` interface have in common: their requests, and which machine they send them to.

use crate::time::Micros;
use coppersail_control_plane::node::AdminRequest;
use std::sync::Arc;

/// A text that duplicates and resends of a request share.
pub(crate) type SharedText = Arc<str>;

/// How often a redirect (307) is followed.
pub(crate) const MAX_REDIRECTS: u8 = 2;
/// How long a caller waits for a response.
pub(crate) const REQUEST_TIMEOUT: Micros = 1_000_000;

const FIRST_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 1_000_000;

/// A request that is kept by its sender, as it may be resent or follow a redirect.
#[derive(Debug, Clone)]
pub(crate) enum AdminCall {
    Heartbeat { endpoint_id: SharedText, body: SharedText },
    SignOff { endpoint_id: SharedText },
    ReplaceConfig(SharedText),
    ReadConfig,
}

impl AdminCall {
    pub(crate) fn to_request(&self) -> AdminRequest {
        match self {
            AdminCall::Heartbeat { endpoint_id, body } => {
                AdminRequest::Heartbeat { endpoint_id: endpoint_id.to_string(), body: body.to_string() }
            }
            AdminCall::SignOff { endpoint_id } => {
                AdminRequest::SignOff { endpoint_id: endpoint_id.to_string() }
            }
            AdminCall::ReplaceConfig(body) => AdminRequest::ReplaceConfig { body: body.to_string() },
            AdminCall::ReadConfig => AdminRequest::ReadConfig,
        }
    }
}

/// Selects the machine for the next request: the preferred one, else round robin over the platform's list.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineSelector {
    /// The address of the last response's `reportTo`, until a request to it fails.
    pub(crate) preferred: Option<String>,
    /// Position in the platform's list.
    pub(crate) position: usize,
    failures: u32,
}

impl MachineSelector {
    pub(crate) fn starting_at(position: usize) -> MachineSelector {
        MachineSelector { position, ..MachineSelector::default() }
    }

    /// A request succeeded; `report_to` is the address that the response names.
    pub(crate) fn record_success(&mut self, report_to: Option<String>) {
        self.failures = 0;
        self.preferred = report_to.filter(|address| !address.is_empty()).or(self.preferred.take());
    }

    /// A request failed. Returns the backoff before the next one.
    pub(crate) fn record_failure(&mut self) -> Micros {
        self.failures += 1;
        if self.preferred.take().is_none() {
            self.position = self.position.wrapping_add(1);
        }
        (FIRST_BACKOFF << (self.failures - 1).min(5)).min(MAX_BACKOFF)
    }
}
