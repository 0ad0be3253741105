//! The calls of all members in one measurement window.
use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest latency that is recorded as such, in microseconds: a watch request may wait long for an update.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// Counts and latencies of calls.
#[derive(Debug, Clone)]
pub struct CallStats {
    latencies_us: Histogram<u64>,
    /// Calls without a valid response.
    pub failed: u64,
    /// Responses that contained an update.
    pub updates: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl Default for CallStats {
    fn default() -> Self {
        // The bounds are constants that the histogram accepts.
        let latencies_us =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("valid histogram bounds");
        CallStats { latencies_us, failed: 0, updates: 0, bytes_in: 0, bytes_out: 0 }
    }
}

impl CallStats {
    /// Counts a call with a valid response.
    pub fn record_response(&mut self, latency: Duration, has_update: bool) {
        self.latencies_us.saturating_record(latency.as_micros() as u64);
        self.updates += u64::from(has_update);
    }

    /// Calls with a valid response.
    pub fn answered(&self) -> u64 {
        self.latencies_us.len()
    }

    /// The latency at a quantile from 0 to 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}
