//! Outlier detection, as in Envoy: an endpoint's health is derived from request outcomes alone, without
//! active health checks. A failing endpoint is ejected for a time that doubles with each further failure.
//! After its ejection it is probed with one idempotent request at a time.
use crate::Ms;

/// Duration (ms) of the first ejection, about the time that an endpoint needs to restart at its address. Each
/// further ejection lasts twice as long.
const BASE_EJECTION_MS: Ms = 250;
/// Longest ejection (ms). A longer one would exclude a recovered endpoint for longer than the control plane
/// takes to remove a dead one.
const MAX_EJECTION_MS: Ms = 8_000;
/// Limit of the doublings, which keeps the bit shift in range. The ejection exceeds [`MAX_EJECTION_MS`]
/// before that.
const MAX_DOUBLINGS: u32 = 8;

/// How a request to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be established: the endpoint is down or partitioned from this edge.
    Unreachable,
    /// A connection reset, a truncated response or invalid bytes. Overloaded endpoints cause these as well,
    /// so a single one does not eject.
    Broken,
    /// The deadline passed without a response, possibly because of high load.
    Timeout,
}

/// The health of an endpoint as observed by this edge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    ejected_until: Ms,
    /// Whether the last failure was of kind [`FailureKind::Unreachable`].
    pub unreachable: bool,
    probe_in_flight: bool,
}

impl Health {
    /// Records a failure and ejects the endpoint if the failure counts towards an ejection.
    pub fn record_failure(&mut self, kind: FailureKind, now: Ms) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.probe_in_flight = false;
        self.unreachable = kind == FailureKind::Unreachable;
        // A healthy but overloaded endpoint also causes failures of the other kinds, so these count from the
        // second consecutive one.
        let counted =
            if self.unreachable { self.consecutive_failures } else { self.consecutive_failures - 1 };
        if counted > 0 {
            let ejection = BASE_EJECTION_MS << (counted - 1).min(MAX_DOUBLINGS);
            self.ejected_until = self.ejected_until.max(now + ejection.min(MAX_EJECTION_MS));
        }
    }

    /// Records a response that belongs to its request, whatever its status, and resets the endpoint to
    /// healthy.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records the start of a request. At an endpoint that was ejected, the request is a probe.
    pub fn begin_request(&mut self) {
        self.probe_in_flight = self.consecutive_failures > 0 && self.ejected_until > 0;
    }

    /// Records the end of a request that says nothing about the endpoint's health, for example because the
    /// client disconnected.
    pub fn cancel_request(&mut self) {
        self.probe_in_flight = false;
    }

    /// The time (ms) at which its ejection ends; 0 if it was not ejected since the last success.
    pub fn ejected_until(&self) -> Ms {
        self.ejected_until
    }

    /// Whether the endpoint must not get this request. After the ejection time it gets one idempotent request
    /// at a time until one succeeds.
    pub fn is_ejected(&self, idempotent: bool, now: Ms) -> bool {
        let only_probes = self.ejected_until > 0;
        now < self.ejected_until || (only_probes && (self.probe_in_flight || !idempotent))
    }
}

#[cfg(test)]
mod tests;
