//! Rate limit for log lines that may occur in floods.

use super::outbox::Outbox;

/// Minimum time between two lines, in seconds.
const MIN_INTERVAL_S: f64 = 1.0;

/// Logs at most one line per interval; the next line says how many were suppressed.
#[derive(Default)]
pub(super) struct RateLimitedLog {
    next_line_at: f64,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Logs a warning, or counts it if the interval since the last line is not over.
    pub(super) fn warn(&mut self, now: f64, text: String, outbox: &mut Outbox) {
        if now < self.next_line_at {
            self.suppressed += 1;
            return;
        }
        self.next_line_at = now + MIN_INTERVAL_S;
        match std::mem::take(&mut self.suppressed) {
            0 => outbox.warn(text),
            suppressed => outbox.warn(format!("{text}; {suppressed} similar warnings suppressed before")),
        }
    }
}
