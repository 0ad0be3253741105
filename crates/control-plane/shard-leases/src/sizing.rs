//! How many slices and ranges the key space of a service is divided into.

/// The number of keys; a service's keys are 0 to 65535.
pub const KEY_SPACE: u32 = 65536;

/// The number of ranges that each endpoint initially owns: enough that the difference of 8 at which the
/// rebalancer starts is a small part of them, and few enough that one endpoint can be granted three times as
/// many in one answer.
const RANGES_PER_ENDPOINT: u32 = 32;
const MIN_RANGES: u32 = 64;
const MAX_RANGES: u32 = 4096;
/// The number of slices in a range. With eight, busy keys that are close together can be separated; more
/// would make updates larger for every follower.
const SLICES_PER_RANGE: u32 = 8;

/// The number of ranges that a service with this many endpoints has at first; a power of two.
pub fn initial_range_count(endpoints: usize) -> u32 {
    (endpoints as u32 * RANGES_PER_ENDPOINT).next_power_of_two().clamp(MIN_RANGES, MAX_RANGES)
}

/// The number of slices of a service with this many endpoints; a slice is the smallest part that a range can
/// be split into.
pub fn slice_count_for(endpoints: usize) -> u32 {
    (initial_range_count(endpoints) * SLICES_PER_RANGE).min(MAX_RANGES)
}

/// The number of keys in a slice.
pub(crate) fn slice_width(slice_count: usize) -> u32 {
    KEY_SPACE / slice_count.max(1) as u32
}

/// The first and the last key of a slice.
pub(crate) fn slice_keys(slice: usize, width: u32) -> (u32, u32) {
    (slice as u32 * width, (slice as u32 + 1) * width - 1)
}
