//! Times on the simulator's wire, in nanoseconds of a clock that does not begin at 0.

/// What the wire's clock shows when a play begins.
const ORIGIN_NS: u64 = 1_000_000_000;
const NS_PER_S: f64 = 1e9;

/// A duration; one below 0 is 0.
pub(super) fn duration_ns(seconds: f64) -> u64 {
    (seconds.max(0.0) * NS_PER_S).round() as u64
}

/// A time of the play, on the wire's clock.
pub(super) fn time_ns(seconds: f64) -> u64 {
    ORIGIN_NS + duration_ns(seconds)
}

/// A time on the wire's clock, in seconds of the play.
pub(super) fn seconds(time_ns: u64) -> f64 {
    time_ns.saturating_sub(ORIGIN_NS) as f64 / NS_PER_S
}
