//! From how many requests on a host, or a version's hosts together, count as overloaded.

/// Overload begins at so many times the expected requests ...
const OVERLOAD_FACTOR: f64 = 2.0;
/// ... and so many standard deviations of a Poisson count beyond that.
const OVERLOAD_DEVIATIONS: f64 = 3.0;

/// The most requests that are no overload where so many were expected.
pub(crate) fn load_limit(expected: f64) -> f64 {
    OVERLOAD_FACTOR * expected + OVERLOAD_DEVIATIONS * expected.max(1.0).sqrt()
}
