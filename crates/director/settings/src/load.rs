//! The names of the values in load reports.

use coppersail::interface as api;

/// Builds a load report from a function that looks up values by name. Values that it does not find are absent.
pub fn load_from_report(value: impl Fn(&str) -> Option<f64>) -> api::LoadReport {
    api::LoadReport {
        in_flight: value("rif"),
        queued: value("q"),
        cpu_utilisation: value("busy"),
        service_time: value("lat_ms").map(|ms| ms / 1e3),
        completions_per_s: value("rate"),
        errors_per_s: value("fail_rate"),
    }
}
