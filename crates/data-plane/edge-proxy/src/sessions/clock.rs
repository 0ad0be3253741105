//! Time of day in the units of session affinity.
use coppersail_session_affinity::Ms;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970. Peers' clocks may differ by the setting `clocksApart`.
pub(super) fn unix_millis() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// Nanoseconds since 1970.
pub(super) fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64)
}

pub(super) fn millis(time: Duration) -> Ms {
    time.as_millis() as Ms
}
