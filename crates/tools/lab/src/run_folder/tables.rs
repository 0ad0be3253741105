//! Tables of a run: figures by second as CSV, latencies as Markdown, and the manifest as JSON.

use crate::experiment::Outcome;
use crate::World;
use std::fmt::Write;

/// The percentiles of latency that the table has; the last is the maximum.
const PERCENTILES: [f64; 6] = [50.0, 75.0, 90.0, 99.0, 99.9, 100.0];
const LATENCY_HEADER: &str = "| route | answered | p50 ms | p75 | p90 | p99 | p99.9 | most |
| --- | --- | --- | --- | --- | --- | --- | --- |
";
const SECONDS_HEADER: &str =
    "second,asked,served,calls,answered,late,throttled,dropped,tries,lines,longest_queue,open_hosts\n";
/// Start and factor of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What was played and what came of it, as JSON. `scenario`: the scenario as it is kept.
pub(super) fn manifest(world: &World, outcome: &Outcome, scenario: &str) -> serde_json::Value {
    let violations = world.rules.violations.iter();
    let violations: Vec<String> = violations
        .map(|broken| format!("{:.2} s: rule {}: {}", broken.at, broken.rule, broken.subject))
        .collect();
    serde_json::json!({
        "version": env!("CARGO_PKG_VERSION"),
        "scenario_hash": format!("{:016x}", fnv_1a(scenario)),
        "outcome": outcome,
        "broken": violations,
    })
}

/// The FNV-1a hash of a text, which tells whether two runs were of the same scenario.
fn fnv_1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// A row for each second.
pub(super) fn seconds_csv(world: &World) -> String {
    let mut text = String::from(SECONDS_HEADER);
    for (number, second) in world.measured.seconds.iter().enumerate() {
        let _ = writeln!(
            text,
            "{number},{},{},{},{},{},{},{},{},{},{},{}",
            second.offered,
            second.served,
            second.calls,
            second.answered,
            second.late,
            second.throttled,
            second.dropped,
            second.attempts,
            second.table_lines,
            second.longest_queue,
            second.serving_hosts
        );
    }
    text
}

/// A row for each route, with percentiles of its latency in milliseconds.
pub(super) fn latency_table(world: &World) -> String {
    let mut text = String::from(LATENCY_HEADER);
    for (route, histogram) in world.scenario.load.routes.iter().zip(&world.measured.latency) {
        let latencies: Vec<String> = PERCENTILES
            .iter()
            .map(|percentile| histogram.value_at_percentile(*percentile).to_string())
            .collect();
        let _ = writeln!(text, "| {} | {} | {} |", route.name, histogram.len(), latencies.join(" | "));
    }
    text
}
