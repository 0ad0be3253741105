//! The service of a request, where a route splits its traffic over several.
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// Multiplicative hashing with the golden ratio (Knuth 6.4), on top of a hash whose upper bits are the well mixed ones.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Selects a service by its share of the traffic and the request's id: all attempts with an id go to the same service.
/// None if no share is positive.
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
    // Rounding may leave a little beyond the last share.
    services().next_back().map(|(name, _)| name.as_str())
}

/// A hash of the bytes in 0..1.
fn unit_interval(bytes: &[u8]) -> f64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    (hasher.finish().wrapping_mul(GOLDEN_RATIO) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests;
