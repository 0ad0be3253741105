//! The names of the figures in load reports.

use coppersail::interface as api;

/// A load report, in which `value` finds the figures by their names; those that it doesn't find are absent.
pub fn load(value: impl Fn(&str) -> Option<f64>) -> api::Load {
    api::Load {
        in_hand: value("rif"),
        waiting: value("q"),
        busy: value("busy"),
        service_time: value("lat_ms").map(|ms| ms / 1e3),
        answered_per_s: value("rate"),
        errors_per_s: value("fail_rate"),
    }
}
