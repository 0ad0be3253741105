//! How long to wait before the next attempt: a client that was refused, and an edge whose control-plane nodes all failed.
use crate::Ms;
use std::time::Duration;

/// Bounds (ms) of `Retry-After`. A queue of a few requests is gone by then, and clients that were refused together come
/// back apart.
const RETRY_AFTER_MS: (Ms, Ms) = (250, 750);
/// The same (ms) for a key without an owner: its lease is granted with a heartbeat of the next owner, and those come
/// about every second.
const RETRY_AFTER_FOR_OWNER_MS: (Ms, Ms) = (400, 1_000);
/// Backoff of an edge after a round in which every control-plane node failed, at first and at most; it doubles.
const POLL_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// When a client that is refused should come back (ms); `random` in 0..1. `left` is what it has left until its
/// deadline, of which this takes a third at most.
pub fn retry_after(time_left: Ms, for_owner: bool, random: f64) -> Ms {
    let (min, max) = if for_owner { RETRY_AFTER_FOR_OWNER_MS } else { RETRY_AFTER_MS };
    let spread = min as f64 + (max - min) as f64 * random;
    (spread as Ms).min(time_left / 3)
}

/// The backoff of an edge after a further round in which every control-plane node failed.
pub fn next_poll_backoff(previous: Duration) -> Duration {
    let (min, max) = POLL_BACKOFF;
    (previous * 2).clamp(min, max)
}
