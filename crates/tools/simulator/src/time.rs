//! Simulated time. A simulated process reads its own clock, which runs up to 2% slower than true time.

use std::time::Duration;

/// True time in microseconds from the start of the run, or a span of it.
pub type Micros = u64;
/// A span in milliseconds, as settings and scenarios give it.
pub type Millis = u64;

pub(crate) const MICROS_PER_MILLI: Micros = 1000;

/// Rate of a clock, drawn for each new process: 0.98 to 1.00 of true time.
pub(crate) fn random_clock_rate(rng: &mut fastrand::Rng) -> f64 {
    0.98 + 0.02 * rng.f64()
}

/// What a clock that was zero at `started_at` and runs at `rate` shows at true time `now`.
pub(crate) fn local_clock(now: Micros, started_at: Micros, rate: f64) -> Duration {
    Duration::from_micros((now.saturating_sub(started_at) as f64 * rate) as u64)
}
