//! Conversion between the nanoseconds of a foreign clock and the seconds of the decisions.

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A duration of this many nanoseconds, in seconds.
pub fn seconds(nanoseconds: u64) -> f64 {
    nanoseconds as f64 / NANOSECONDS_PER_SECOND
}

/// Outside, points in time are whole nanoseconds of a clock with any origin. Inside they are seconds since the
/// director's start, which a float holds to the nanosecond for weeks.
#[derive(Clone, Copy)]
pub struct Clock {
    origin_ns: u64,
}

impl Clock {
    /// A clock whose second 0 is this time of the foreign clock, in nanoseconds.
    pub fn starting_at(origin_ns: u64) -> Self {
        Clock { origin_ns }
    }

    /// Seconds since the origin, negative before it, at this time of the foreign clock in nanoseconds.
    pub fn seconds(self, ns: u64) -> f64 {
        let after_origin = ns.saturating_sub(self.origin_ns);
        let before_origin = self.origin_ns.saturating_sub(ns);
        seconds(after_origin) - seconds(before_origin)
    }

    /// The foreign clock's time in nanoseconds, to the nearest, at this many seconds since the origin. It saturates at
    /// the ends of the foreign clock.
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
