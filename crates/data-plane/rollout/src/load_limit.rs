//! The load from which a host, or all hosts of a version together, count as overloaded.

/// Overload begins at this multiple of the expected requests ...
const OVERLOAD_FACTOR: f64 = 2.0;
/// ... plus this many standard deviations of a Poisson count.
const OVERLOAD_DEVIATIONS: f64 = 3.0;

/// The highest number of requests that is no overload, where `expected` requests were expected.
pub(crate) fn load_limit(expected: f64) -> f64 {
    OVERLOAD_FACTOR * expected + OVERLOAD_DEVIATIONS * expected.max(1.0).sqrt()
}
