//! The program's only timer, which the reducer sets to the time at which it next has something to do.

use std::time::{Duration, Instant};

/// Longest single sleep; a longer wait is split.
const MAX_SLEEP_S: f64 = 3600.0;

/// Wakes the event loop at the time that the reducer has set last.
pub(crate) struct WakeTimer {
    started: Instant,
    /// In seconds since the start.
    wake_at: f64,
}

impl WakeTimer {
    /// Creates a timer that elapses immediately. The reducer's times count from `started`.
    pub(crate) fn new(started: Instant) -> Self {
        WakeTimer { started, wake_at: 0.0 }
    }

    /// Returns the seconds since the start, by the clock that all of the reducer's times refer to.
    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sets the time, in seconds since the start; it replaces the one that was set before.
    pub(crate) fn set(&mut self, at: f64) {
        self.wake_at = at;
    }

    /// Waits until the time is reached, or for an hour; the reducer then sets the timer again.
    pub(crate) async fn elapsed(&self) {
        let remaining = (self.wake_at - self.now()).clamp(0.0, MAX_SLEEP_S);
        tokio::time::sleep(Duration::from_secs_f64(remaining)).await;
    }
}
