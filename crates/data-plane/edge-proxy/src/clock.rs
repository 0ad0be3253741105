//! The clock of this process.
use coppersail_load_balancing::Ms;
use std::time::Duration;
use tokio::time::Instant;

/// Milliseconds since the process started, from a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// Converts a time (ms) of this clock to an instant.
    pub(crate) fn instant(self, time: Ms) -> Instant {
        self.start + Duration::from_millis(time)
    }
}
