//! How long to wait: until a client comes back, for a key's new holder, while leaving.
use crate::Ms;
use std::time::Duration;

/// A queue of a few requests has gone by then, and clients that were refused together come back apart.
const BACK: (Ms, Ms) = (250, 750);
/// A key whose holder changes is granted anew with a beat of the new holder, and those come about every second.
const BACK_FOR_KEY: (Ms, Ms) = (400, 1_000);
/// Longest wait inside the edge for a key's new holder.
const FOR_HOLDER: Ms = 250;
/// A refusal within a quarter of the target time costs little; the way to the client and back, and a try that does not
/// come to anything, take their part of it.
const OF_TARGET: Ms = 8;
/// Requests of which nobody says how long they may take.
pub const UNTOLD: Duration = Duration::from_secs(30);

/// When a client that is refused is to come back; `chance` in 0..1. Clients honour a third of their time.
pub fn back(left: Ms, for_key: bool, chance: f64) -> Ms {
    let (least, most) = if for_key { BACK_FOR_KEY } else { BACK };
    let spread = least as f64 + (most - least) as f64 * chance;
    (spread as Ms).min(left / 3)
}

/// How long a request may wait inside the edge for its key's new holder.
pub fn for_holder(target: Option<Duration>, left: Ms) -> Ms {
    target.map_or(FOR_HOLDER, |target| target.as_millis() as Ms / OF_TARGET).min(FOR_HOLDER).min(left / 3)
}

/// How long a connection to a host may take to come up. Zones are milliseconds apart, and a host that does not answer
/// is dead or cut off: another may still serve in time. An opening packet that was lost comes again after a second,
/// which no try waits for.
pub fn for_connect(target: Option<Duration>, left: Ms) -> Duration {
    const LEAST: Ms = 60;
    const MOST: Ms = 300;
    let part = target.map_or(MOST, |target| target.as_millis() as Ms / OF_TARGET);
    Duration::from_millis(part.clamp(LEAST, MOST).min(left / 2).max(1))
}

/// A kept connection is used only well before its host closes it: the closing crosses the request otherwise.
/// Requests that must not be repeated keep further away, since what crosses may have run.
pub fn kept(told: Option<Duration>, repeatable: bool) -> Duration {
    /// Where a host tells nothing.
    const UNTOLD_KEEP: Duration = Duration::from_secs(4);
    told.unwrap_or(UNTOLD_KEEP).mul_f64(if repeatable { 0.6 } else { 0.4 })
}

/// From SIGTERM on: how long new connections are taken, and when the process ends at the latest.
pub fn leave(leeway: Duration) -> (Duration, Duration) {
    // The platform asks every second and needs two misses, so connections stop coming after about three.
    let taken = Duration::from_millis(3_500).min(leeway.mul_f64(0.6));
    (taken, leeway.mul_f64(0.95).max(taken))
}

/// The next pause of a follower after a whole round of centres failed.
pub fn round(before: Duration) -> Duration {
    (before * 2).clamp(Duration::from_millis(50), Duration::from_millis(400))
}

/// This edge's part of a host's connections, which all edges share. One in eight is left for the centres' probes.
pub fn part(most: u32, edges: u32) -> u32 {
    (most.saturating_sub(most / 8) / edges.max(1)).max(1)
}
