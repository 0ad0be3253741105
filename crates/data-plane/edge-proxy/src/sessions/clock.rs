//! Wall-clock time in the units that session affinity uses.
use coppersail_session_affinity::Ms;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch. The clocks of two peers may differ by up to the setting `clocksApart`.
pub(super) fn unix_millis() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// Nanoseconds since the Unix epoch.
pub(super) fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64)
}

pub(super) fn millis(time: Duration) -> Ms {
    time.as_millis() as Ms
}
