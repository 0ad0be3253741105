//! Calls counted over a window, and the table that comes of it.
use crate::Spent;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest time told apart, in microseconds: a poll may be held for long.
const LONGEST: u64 = 600_000_000;

#[derive(Debug, Clone)]
pub struct Tally {
    times: Histogram<u64>,
    pub failed: u64,
    /// Answers that told something new.
    pub news: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Default for Tally {
    fn default() -> Self {
        // Bounds and digits are constants that the histogram takes.
        let times = Histogram::new_with_bounds(1, LONGEST, 3).expect("sound bounds");
        Tally { times, failed: 0, news: 0, bytes_in: 0, bytes_out: 0 }
    }
}

impl Tally {
    pub fn answered(&mut self, took: Duration, news: bool) {
        self.times.saturating_record(took.as_micros() as u64);
        self.news += u64::from(news);
    }

    pub fn calls(&self) -> u64 {
        self.times.len()
    }

    pub fn ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// The names over the columns, with two or three more for each process that is watched.
pub fn head(pids: &[u32]) -> String {
    let mut line = format!(
        "{:>7} {:>9} {:>8} {:>9} {:>7} {:>8} {:>8} {:>10} {:>10}",
        "members", "answered", "calls/s", "news/s", "failed", "p50 ms", "p99 ms", "in B/s", "out B/s"
    );
    for pid in pids {
        line += &format!(" | {:>7} {:>7} {:>7}", format!("{pid}:"), "", "");
    }
    line += "\n";
    line += &format!(
        "{:>7} {:>9} {:>8} {:>9} {:>7} {:>8} {:>8} {:>10} {:>10}",
        "", "", "", "", "", "", "", "a member", "a member"
    );
    line + &format!(" | {:>7} {:>7} {:>7}", "cpu %", "rss MB", "peak MB").repeat(pids.len())
}

/// One line: a window of `seconds` with so many members; each process before and after it.
///
/// ```
/// use std::time::Duration;
/// let mut tally = coppersail_fleet_emulator::Tally::default();
/// (tally.failed, tally.bytes_in) = (2, 4000);
/// (1..=100).for_each(|ms| tally.answered(Duration::from_millis(ms), false));
/// let spent = |cpu, rss| coppersail_fleet_emulator::Spent { cpu, rss, peak: 30.0 };
/// let row = coppersail_fleet_emulator::table::row(10, 10.0, &tally, &[(spent(1.0, 20.0), spent(1.5, 25.0))]);
/// let cells: Vec<&str> = row.split_whitespace().collect();
/// assert_eq!(cells[..5], ["10", "100", "10.0", "0.0", "2"]);
/// assert_eq!(cells[7..], ["40.0", "0.0", "|", "5.00", "25.0", "30.0"]);
/// ```
pub fn row(members: usize, seconds: f64, tally: &Tally, spent: &[(Spent, Spent)]) -> String {
    let each = |bytes: u64| bytes as f64 / seconds / members.max(1) as f64;
    let mut line = format!(
        "{members:>7} {:>9} {:>8.1} {:>9.1} {:>7} {:>8.2} {:>8.2} {:>10.1} {:>10.1}",
        tally.calls(),
        tally.calls() as f64 / seconds,
        tally.news as f64 / seconds,
        tally.failed,
        tally.ms(0.5),
        tally.ms(0.99),
        each(tally.bytes_in),
        each(tally.bytes_out)
    );
    for (before, after) in spent {
        let cpu = (after.cpu - before.cpu) / seconds * 100.0;
        line += &format!(" | {cpu:>7.2} {:>7.1} {:>7.1}", after.rss, after.peak);
    }
    line
}
