//! Heartbeats of services.

use super::shared_state::Shared;
use std::time::Duration;

/// Shorter than the interval of the real services, so that tests are quick.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a service's heartbeats for ever, on a thread of its own.
pub(crate) fn spawn_heartbeats<S: Send + 'static>(state: Shared<S>, send_heartbeat: fn(&mut S)) {
    std::thread::spawn(move || loop {
        std::thread::park_timeout(HEARTBEAT_INTERVAL);
        state.update(send_heartbeat);
    });
}
