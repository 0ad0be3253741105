//! The printed table: a header, and one row for each measurement window.
use crate::{CallStats, ProcessUsage};

/// A measurement window.
#[derive(Debug, Clone)]
pub struct Window {
    /// Members that were running.
    pub members: usize,
    /// Its length in seconds.
    pub seconds: f64,
    /// The calls of all members.
    pub calls: CallStats,
    /// Each observed process at the beginning and at the end.
    pub usage: Vec<(ProcessUsage, ProcessUsage)>,
}

/// Two lines with the names of the columns, three of them for each observed process.
pub fn header(pids: &[u32]) -> String {
    let mut text = format!(
        "{:>7} {:>9} {:>8} {:>9} {:>7} {:>8} {:>8} {:>10} {:>10}",
        "members", "answered", "calls/s", "news/s", "failed", "p50 ms", "p99 ms", "in B/s", "out B/s"
    );
    for pid in pids {
        text += &format!(" | {:>7} {:>7} {:>7}", format!("{pid}:"), "", "");
    }
    text += "\n";
    text += &format!(
        "{:>7} {:>9} {:>8} {:>9} {:>7} {:>8} {:>8} {:>10} {:>10}",
        "", "", "", "", "", "", "", "a member", "a member"
    );
    text + &format!(" | {:>7} {:>7} {:>7}", "cpu %", "rss MB", "peak MB").repeat(pids.len())
}

/// The row of a window.
pub fn row(window: &Window) -> String {
    let Window { members, seconds, calls, usage } = window;
    let bytes_per_second_and_member = |bytes: u64| bytes as f64 / seconds / (*members).max(1) as f64;
    let mut text = format!(
        "{members:>7} {:>9} {:>8.1} {:>9.1} {:>7} {:>8.2} {:>8.2} {:>10.1} {:>10.1}",
        calls.answered(),
        calls.answered() as f64 / seconds,
        calls.updates as f64 / seconds,
        calls.failed,
        calls.latency_ms(0.5),
        calls.latency_ms(0.99),
        bytes_per_second_and_member(calls.bytes_in),
        bytes_per_second_and_member(calls.bytes_out)
    );
    for (before, after) in usage {
        let cpu_percent = (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0;
        text += &format!(" | {cpu_percent:>7.2} {:>7.1} {:>7.1}", after.resident_mb, after.peak_resident_mb);
    }
    text
}
