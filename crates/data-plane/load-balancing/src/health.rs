//! Outlier detection, as in Envoy: an endpoint is judged by the outcomes of requests alone, without active health checks,
//! and ejected for a time that doubles with each further failure. After that it is probed by one idempotent request at a
//! time.
use crate::Ms;

/// The first ejection (ms) lasts about as long as an endpoint needs to restart at its address; each further one is twice
/// as long.
const BASE_EJECTION_MS: Ms = 250;
/// Longer ejections (ms) would keep a recovered endpoint out for longer than the control plane needs to remove a dead one.
const MAX_EJECTION_MS: Ms = 8_000;
/// Doublings after which an ejection would be longer than the longest in any case; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;

/// How a request to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established: there is no such endpoint, or it is cut off.
    Unreachable,
    /// A reset, a truncated response, invalid bytes. Overloaded endpoints do this, too, so that one does not count.
    Broken,
    /// The deadline passed without a response; the cause may be load.
    Timeout,
}

/// The health of an endpoint as one edge sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    ejected_until: Ms,
    /// Whether the last failure was that no connection could be established.
    pub unreachable: bool,
    probe_in_flight: bool,
}

impl Health {
    /// Records a failure, which ejects the endpoint if it counts.
    pub fn record_failure(&mut self, kind: FailureKind, now: Ms) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.probe_in_flight = false;
        self.unreachable = kind == FailureKind::Unreachable;
        // Failures that a healthy but overloaded endpoint shows as well count from the second in a row.
        let counted =
            if self.unreachable { self.consecutive_failures } else { self.consecutive_failures - 1 };
        if counted > 0 {
            let ejection = BASE_EJECTION_MS << (counted - 1).min(MAX_DOUBLINGS);
            self.ejected_until = self.ejected_until.max(now + ejection.min(MAX_EJECTION_MS));
        }
    }

    /// Records any response that belongs to its request: the endpoint is healthy.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// A request begins; to an endpoint that was ejected it is a probe.
    pub fn begin_request(&mut self) {
        self.probe_in_flight = self.consecutive_failures > 0 && self.ejected_until > 0;
    }

    /// A request ended without telling anything about the endpoint, such as one whose client went away.
    pub fn cancel_request(&mut self) {
        self.probe_in_flight = false;
    }

    /// When its ejection ends; 0 if it is not ejected.
    pub fn ejected_until(&self) -> Ms {
        self.ejected_until
    }

    /// Whether a request must not be sent to it. After its ejection, it gets one idempotent request at a time until one
    /// succeeds.
    pub fn is_ejected(&self, idempotent: bool, now: Ms) -> bool {
        let only_probes = self.ejected_until > 0;
        now < self.ejected_until || (only_probes && (self.probe_in_flight || !idempotent))
    }
}

#[cfg(test)]
mod tests;
