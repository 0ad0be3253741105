//! What collectors send to a director, and how hosts answer its health checks.

use super::context::{host_name, Platform};
use coppersail::interface::{Input, LoadReport, ZoneId};
use serde_json::json;
use std::collections::BTreeMap;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1e3;
/// Demand is not summed by zone; the collector of this one reports it.
const DEMAND_ZONE: ZoneId = ZoneId(0);

impl Platform {
    /// A host's load by the names that the director's configuration gives; times are in milliseconds.
    pub fn load_report(load: &LoadReport) -> BTreeMap<&'static str, f64> {
        let service_ms = load.service_time.map(|seconds| seconds * MS_PER_SECOND);
        let figures = [
            ("q", load.queued),
            ("lat_ms", service_ms),
            ("busy", load.cpu_utilisation),
            ("rate", load.completions_per_s),
        ];
        let mut report = BTreeMap::new();
        for (name, figure) in figures {
            if let Some(figure) = figure {
                report.insert(name, figure);
            }
        }
        report
    }

    /// The body of a host's answer to a health check.
    pub fn health_check_body(load: &LoadReport) -> String {
        let report = Self::load_report(load);
        let pairs: Vec<String> = report.iter().map(|(name, figure)| format!("{name}={figure}")).collect();
        format!("TEXT {}", pairs.join(", "))
    }

    /// The line with which the collector of a zone begins its connection.
    pub fn collector_hello(&self, zone: ZoneId) -> String {
        let hello = json!({"msg": "agent", "az": self.zone(zone)});
        format!("{hello}\n")
    }

    /// The line by which a collector reports an input, and the collector's zone; none if collectors do not report it.
    pub fn collector_report(&self, input: &Input) -> Option<(ZoneId, String)> {
        let (zone, message) = match input {
            Input::AttemptStats { host, zone, window, attempts, dropped, mean_response_time, load } => {
                let message = json!({
                    "msg": "outcomes",
                    "az": self.zone(*zone),
                    "host": host_name(*host),
                    "n": attempts,
                    "bad": dropped,
                    "avg": mean_response_time * MS_PER_SECOND,
                    "window": window * MS_PER_SECOND,
                    "report": Self::load_report(load),
                });
                (*zone, message)
            }
            Input::SliceDemand { slice, route, requests: calls, dropped, window } => {
                let message = json!({
                    "msg": "hot",
                    "partition": slice.0,
                    "kind": self.routes[route.0 as usize],
                    "n": calls,
                    "bad": dropped,
                    "window": window * MS_PER_SECOND,
                });
                (DEMAND_ZONE, message)
            }
            _ => return None,
        };
        Some((zone, format!("{message}\n")))
    }
}
