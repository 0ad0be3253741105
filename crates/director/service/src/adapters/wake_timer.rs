//! The program's only timer: the reducer says when it next wants to be called.

use std::time::{Duration, Instant};

/// A moment that is further off is waited for in several steps.
const MAX_SLEEP_S: f64 = 3600.0;

/// Wakes the event loop at the moment that the reducer asked for last.
pub(crate) struct WakeTimer {
    started: Instant,
    /// Seconds since the start.
    wake_at: f64,
}

impl WakeTimer {
    /// A timer that elapses at once. `started` is the zero of all times that the reducer sees.
    pub(crate) fn new(started: Instant) -> Self {
        WakeTimer { started, wake_at: 0.0 }
    }

    /// Seconds since the start, by the only clock that the reducer knows.
    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Replaces the moment that was set before; `at` is in seconds since the start.
    pub(crate) fn set(&mut self, at: f64) {
        self.wake_at = at;
    }

    /// Returns when the moment has come, or after an hour, when the reducer asks for it anew.
    pub(crate) async fn elapsed(&self) {
        let remaining = (self.wake_at - self.now()).clamp(0.0, MAX_SLEEP_S);
        tokio::time::sleep(Duration::from_secs_f64(remaining)).await;
    }
}
