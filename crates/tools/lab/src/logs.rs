//! Logs of several directors laid side by side: merged by time, and counted by kind, so that what is fine in one director
//! and harmful in all of them shows. Pure: texts in, texts out.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A line of a director's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Seconds, on the clock that all the logs share.
    pub at: f64,
    /// Whose, by its place among the logs.
    pub who: usize,
    pub text: String,
}

/// Reads a log whose times are `later` seconds behind the shared clock. A line begins with its time; where another has put
/// its own clock before it, that one counts and the director's is passed over. Also says how many lines have no time.
pub fn read(who: usize, text: &str, later: f64) -> (Vec<Entry>, usize) {
    let (mut entries, mut odd) = (Vec::new(), 0);
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        let Some(at) = seconds(first) else {
            odd += 1;
            continue;
        };
        let behind = rest.split_once(' ').filter(|(own, _)| seconds(own).is_some());
        let text = behind.map_or(rest, |(_, text)| text).to_string();
        entries.push(Entry { at: at + later, who, text });
    }
    (entries, odd)
}

/// A time as logs have it: digits with a point. A bare number is a word of the text.
fn seconds(word: &str) -> Option<f64> {
    word.contains('.').then(|| word.parse().ok()).flatten().filter(|at: &f64| at.is_finite() && *at >= 0.0)
}

/// All in the order of time; what stands at one time stays in the order of the logs.
pub fn merged(logs: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut all: Vec<Entry> = logs.into_iter().flatten().collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.who.cmp(&b.who)));
    all
}

/// The line without what differs from one to the next: every word with a digit.
pub fn kind(text: &str) -> String {
    let mut words: Vec<&str> = Vec::new();
    for word in text.split_whitespace() {
        let word = if word.chars().any(|c| c.is_ascii_digit()) { "#" } else { word };
        // A list of names is one of them, however long.
        if !(word == "#" && words.last() == Some(&"#")) {
            words.push(word);
        }
    }
    words.join(" ")
}

/// What there is of a kind.
#[derive(Debug, Default, PartialEq)]
pub struct Count {
    pub by: BTreeMap<usize, usize>,
    pub first: f64,
    pub last: f64,
    /// The second in which most directors did it, how many they were, and how often.
    pub peak: (i64, usize, usize),
}

pub fn counts(entries: &[Entry]) -> BTreeMap<String, Count> {
    let mut counts: BTreeMap<String, Count> = BTreeMap::new();
    let mut seconds: BTreeMap<(String, i64), (BTreeSet<usize>, usize)> = BTreeMap::new();
    for entry in entries {
        let kind = kind(&entry.text);
        let second = seconds.entry((kind.clone(), entry.at.floor() as i64)).or_default();
        second.0.insert(entry.who);
        second.1 += 1;
        let count = counts.entry(kind).or_insert_with(|| Count { first: entry.at, ..Count::default() });
        *count.by.entry(entry.who).or_default() += 1;
        count.last = entry.at;
    }
    for ((kind, second), (who, many)) in seconds {
        let Some(count) = counts.get_mut(&kind) else { continue };
        if (who.len(), many) > (count.peak.1, count.peak.2) {
            count.peak = (second, who.len(), many);
        }
    }
    counts
}

/// The kinds, those that most directors did at once first: a row each.
pub fn table(entries: &[Entry], names: &[String]) -> String {
    let mut rows: Vec<(String, Count)> = counts(entries).into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse((count.peak.1, count.by.values().sum::<usize>())));
    let mut text = format!("| what | all | {} | first, last | directors at once |\n", names.join(" | "));
    let _ = writeln!(text, "| --- | --- |{} --- | --- |", " --- |".repeat(names.len()));
    for (kind, count) in rows {
        let by: Vec<String> =
            (0..names.len()).map(|who| count.by.get(&who).copied().unwrap_or(0).to_string()).collect();
        let (second, at_once, many) = count.peak;
        let _ = writeln!(
            text,
            "| {kind} | {} | {} | {:.2} s, {:.2} s | {at_once}, {many} lines in second {second} |",
            count.by.values().sum::<usize>(),
            by.join(" | "),
            count.first,
            count.last
        );
    }
    text
}

/// The lines that name a word, and all within so many seconds of one of them.
pub fn around(entries: &[Entry], word: &str, seconds: f64) -> Vec<Entry> {
    let times: Vec<f64> =
        entries.iter().filter(|entry| entry.text.contains(word)).map(|entry| entry.at).collect();
    let near = |entry: &&Entry| {
        let next = times.partition_point(|at| *at < entry.at - seconds);
        times.get(next).is_some_and(|at| *at <= entry.at + seconds)
    };
    entries.iter().filter(near).cloned().collect()
}

#[cfg(test)]
mod tests;
