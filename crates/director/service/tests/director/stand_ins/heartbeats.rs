//! Heartbeats of the stand-ins.

use super::shared_state::Shared;
use std::time::Duration;

/// Shorter than the interval of the real services, to make the tests fast.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a stand-in's heartbeats on a separate thread, until the test process ends.
pub(crate) fn spawn_heartbeats<S: Send + 'static>(state: Shared<S>, send_heartbeat: fn(&mut S)) {
    std::thread::spawn(move || loop {
        std::thread::park_timeout(HEARTBEAT_INTERVAL);
        state.update(send_heartbeat);
    });
}
