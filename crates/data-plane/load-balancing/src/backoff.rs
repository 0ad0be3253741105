//! Delays before a retry: of a client whose request was rejected, and of an edge whose control-plane polls
//! all failed.
use crate::Ms;
use std::time::Duration;

/// Bounds (ms) of `Retry-After`. An endpoint processes a queue of a few requests within the lower bound, and
/// the range spreads the retries of clients that were rejected at the same time.
const RETRY_AFTER_MS: (Ms, Ms) = (250, 750);
/// Bounds (ms) of `Retry-After` for a key without an owner. The lease is granted in the reply to a heartbeat
/// of the next owner, and an endpoint sends about one heartbeat per second.
const RETRY_AFTER_FOR_OWNER_MS: (Ms, Ms) = (400, 1_000);
/// Initial and maximum backoff of an edge after a round of polls in which every control-plane node failed; it
/// doubles with each further round.
const POLL_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Delay (ms) after which a rejected client should retry. `random` is in 0..1. `time_left` (ms) is the time
/// until the client's deadline, of which the delay takes at most a third.
pub fn retry_after(time_left: Ms, for_owner: bool, random: f64) -> Ms {
    let (min, max) = if for_owner { RETRY_AFTER_FOR_OWNER_MS } else { RETRY_AFTER_MS };
    let delay = min as f64 + (max - min) as f64 * random;
    (delay as Ms).min(time_left / 3)
}

/// The backoff of an edge after another round of polls in which every control-plane node failed.
pub fn next_poll_backoff(previous: Duration) -> Duration {
    let (min, max) = POLL_BACKOFF;
    (previous * 2).clamp(min, max)
}
