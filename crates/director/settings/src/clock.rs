//! Conversion between the nanoseconds of an external clock and the seconds that the decisions use.

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Converts a duration from nanoseconds to seconds.
pub fn seconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / NANOSECONDS_PER_SECOND
}

/// Converts points in time. An external clock gives whole nanoseconds since an arbitrary origin; the decisions use
/// seconds since the director's start, which an `f64` represents to the nanosecond for weeks.
#[derive(Clone, Copy)]
pub struct Clock {
    origin_ns: u64,
}

impl Clock {
    /// A clock whose second 0 is this time of the external clock, in nanoseconds.
    pub fn starting_at(origin_ns: u64) -> Self {
        Clock { origin_ns }
    }

    /// Converts a time of the external clock, in nanoseconds, to seconds since the origin; times before it are negative.
    pub fn seconds(self, ns: u64) -> f64 {
        let after_origin = ns.saturating_sub(self.origin_ns);
        let before_origin = self.origin_ns.saturating_sub(ns);
        seconds(after_origin) - seconds(before_origin)
    }

    /// Converts seconds since the origin to a time of the external clock, rounded to the nearest nanosecond. It
    /// saturates at the ends of the external clock's range.
    pub fn nanoseconds(self, at: f64) -> u64 {
        let ns = (at * NANOSECONDS_PER_SECOND).round();
        if ns < 0.0 {
            self.origin_ns.saturating_sub(-ns as u64)
        } else {
            self.origin_ns.saturating_add(ns as u64)
        }
    }
}

#[cfg(test)]
mod tests;
