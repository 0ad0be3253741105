//! Measures the latencies of requests with session affinity and prints them as the rows of a table in
//! `docs/sessions.md`: kind of request, count, p50, p99 and maximum in milliseconds. Three edges, a client
//! and an endpoint share one thread and communicate over loopback.
//!
//! `cargo run --release -p coppersail-edge-proxy --example session_latency`

#[expect(dead_code, reason = "the tests use more of them")]
#[path = "../tests/edge_proxy/session_edges.rs"]
mod session_edges;
#[expect(dead_code, reason = "the tests use more of them")]
#[path = "../tests/edge_proxy/stand_ins.rs"]
mod stand_ins;

use session_edges::{measure_session_latencies, three_edges, LatencySeries};
use stand_ins::{run_test, scripted_host, sealed_response, HostAction};

const SESSIONS: usize = 200;

fn main() {
    run_test(|| async {
        let host = scripted_host("i-1", |_, head| HostAction::Respond(sealed_response(head, "one"))).await;
        let edges = three_edges("figures", &[&host]).await;
        for series in measure_session_latencies(&edges, SESSIONS).await.0 {
            println!("{}", table_row(series));
        }
    });
}

fn table_row(series: LatencySeries) -> String {
    let mut micros: Vec<u128> = series.latencies.iter().map(|latency| latency.as_micros()).collect();
    micros.sort_unstable();
    let count = micros.len();
    let quantile_ms = |share: f64| micros[((count as f64 * share) as usize).min(count - 1)] as f64 / 1000.0;
    let (p50, p99, max) = (quantile_ms(0.5), quantile_ms(0.99), quantile_ms(1.0));
    format!("| {} | {count} | {p50:.2} | {p99:.2} | {max:.2} |", series.name)
}
