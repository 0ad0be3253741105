//! Merges the logs of several directors by time and counts their lines by kind, so that something harmless in one
//! director but harmful in all at once is visible. Pure: text in, text out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A line of a director's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time in seconds, on the clock that all logs share.
    pub time_s: f64,
    /// The index of the log.
    pub log: usize,
    /// The line without its time.
    pub text: String,
}

/// A log that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedLog {
    /// Its lines, in their order.
    pub entries: Vec<Entry>,
    /// How many lines have no time, and are left out.
    pub without_time: usize,
}

/// Parses the log with index `log`, whose clock began at `offset_s` seconds of the shared clock. A line begins with
/// its time; if a bench has put its own time before it, that one counts and the director's is skipped.
pub fn read(log: usize, text: &str, offset_s: f64) -> ParsedLog {
    let mut parsed = ParsedLog::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        let Some(time_s) = parse_time(first) else {
            parsed.without_time += 1;
            continue;
        };
        let second_time = rest.split_once(' ').filter(|(own, _)| parse_time(own).is_some());
        let text = second_time.map_or(rest, |(_, text)| text).to_string();
        parsed.entries.push(Entry { time_s: time_s + offset_s, log, text });
    }
    parsed
}

/// A time as logs write it, with a decimal point; a number without one belongs to the text.
fn parse_time(word: &str) -> Option<f64> {
    word.contains('.')
        .then(|| word.parse().ok())
        .flatten()
        .filter(|time: &f64| time.is_finite() && *time >= 0.0)
}

/// All entries in order of time; entries of one time in the order of the logs.
pub fn merged(logs: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut all: Vec<Entry> = logs.into_iter().flatten().collect();
    all.sort_by(|a, b| a.time_s.total_cmp(&b.time_s).then(a.log.cmp(&b.log)));
    all
}

/// The kind of a line: its text with `#` for every word that has a digit.
pub fn kind(text: &str) -> String {
    let mut words: Vec<&str> = Vec::new();
    for word in text.split_whitespace() {
        let word = if word.chars().any(|c| c.is_ascii_digit()) { "#" } else { word };
        // A list of names counts as one, however long.
        if !(word == "#" && words.last() == Some(&"#")) {
            words.push(word);
        }
    }
    words.join(" ")
}

/// The second in which most directors logged a kind of line.
#[derive(Debug, Default, PartialEq)]
pub struct Peak {
    /// The second.
    pub second: i64,
    /// How many directors logged it then.
    pub directors: usize,
    /// How many lines they logged then.
    pub lines: usize,
}

/// How often, when and where a kind of line was logged.
#[derive(Debug, Default, PartialEq)]
pub struct Count {
    /// Lines by the index of the log.
    pub lines_by_log: BTreeMap<usize, usize>,
    /// Time of the first line, in seconds.
    pub first: f64,
    /// Time of the last line, in seconds.
    pub last: f64,
    /// When most directors logged it at once.
    pub peak: Peak,
}

/// Lines of one kind in one second.
#[derive(Default)]
struct SecondCount {
    logs: BTreeSet<usize>,
    lines: usize,
}

/// Counts the entries, which are in order of time, by kind.
pub fn counts(entries: &[Entry]) -> BTreeMap<String, Count> {
    let mut counts: BTreeMap<String, Count> = BTreeMap::new();
    let mut seconds: BTreeMap<(String, i64), SecondCount> = BTreeMap::new();
    for entry in entries {
        let kind = kind(&entry.text);
        let second = seconds.entry((kind.clone(), entry.time_s.floor() as i64)).or_default();
        second.logs.insert(entry.log);
        second.lines += 1;
        let count = counts.entry(kind).or_insert_with(|| Count { first: entry.time_s, ..Count::default() });
        *count.lines_by_log.entry(entry.log).or_default() += 1;
        count.last = entry.time_s;
    }
    for ((kind, second), SecondCount { logs, lines }) in seconds {
        let Some(count) = counts.get_mut(&kind) else { continue };
        if (logs.len(), lines) > (count.peak.directors, count.peak.lines) {
            count.peak = Peak { second, directors: logs.len(), lines };
        }
    }
    counts
}

/// A Markdown table with a row for each kind; kinds that most directors logged at once come first.
pub fn table(entries: &[Entry], names: &[String]) -> String {
    let mut rows: Vec<(String, Count)> = counts(entries).into_iter().collect();
    rows.sort_by_key(|(_, count)| {
        std::cmp::Reverse((count.peak.directors, count.lines_by_log.values().sum::<usize>()))
    });
    let mut text = format!("| what | all | {} | first, last | directors at once |\n", names.join(" | "));
    let _ = writeln!(text, "| --- | --- |{} --- | --- |", " --- |".repeat(names.len()));
    for (kind, count) in rows {
        let by_log: Vec<String> = (0..names.len())
            .map(|log| count.lines_by_log.get(&log).copied().unwrap_or(0).to_string())
            .collect();
        let Peak { second, directors, lines } = count.peak;
        let _ = writeln!(
            text,
            "| {kind} | {} | {} | {:.2} s, {:.2} s | {directors}, {lines} lines in second {second} |",
            count.lines_by_log.values().sum::<usize>(),
            by_log.join(" | "),
            count.first,
            count.last
        );
    }
    text
}

/// The entries that contain `pattern`, and all within `seconds` of one of them.
pub fn around(entries: &[Entry], pattern: &str, seconds: f64) -> Vec<Entry> {
    let times: Vec<f64> =
        entries.iter().filter(|entry| entry.text.contains(pattern)).map(|entry| entry.time_s).collect();
    let near = |entry: &&Entry| {
        let next = times.partition_point(|time| *time < entry.time_s - seconds);
        times.get(next).is_some_and(|time| *time <= entry.time_s + seconds)
    };
    entries.iter().filter(near).cloned().collect()
}

#[cfg(test)]
mod tests;
