//! Selects the service of a request on a route that splits its traffic over several services.
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// Multiplier of Fibonacci hashing (Knuth, volume 3, section 6.4), applied to a hash whose upper bits are
/// well mixed.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Selects a service in proportion to its share of the traffic, by a hash of the request id: all requests
/// with the same id go to the same service. Returns `None` if no share is positive.
pub fn select_service<'a>(shares: &'a [(String, f64)], request_id: &[u8]) -> Option<&'a str> {
    let services = || shares.iter().filter(|(_, share)| *share > 0.0);
    let total: f64 = services().map(|(_, share)| share).sum();
    let mut position = unit_interval(request_id) * total;
    for (name, share) in services() {
        if position < *share {
            return Some(name);
        }
        position -= share;
    }
    // Rounding errors may leave the position slightly beyond the last share.
    services().next_back().map(|(name, _)| name.as_str())
}

/// Hashes the bytes to a number in 0..1.
fn unit_interval(bytes: &[u8]) -> f64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    (hasher.finish().wrapping_mul(GOLDEN_RATIO) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
