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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("0.207 0.203 INFO relay: news open", Some((0.207, "INFO relay: news open")) ; "another clock before its own")]
    #[test_case("0.203 INFO relay: news open", Some((0.203, "INFO relay: news open")) ; "its own alone")]
    #[test_case("5.5 WARN 12 warnings left out", Some((5.5, "WARN 12 warnings left out")) ; "a number that is no time")]
    #[test_case("   at ./src/main.rs:1", None ; "no time")]
    #[test_case("NaN INFO x", None ; "no number")]
    fn lines(line: &str, expected: Option<(f64, &str)>) {
        let (entries, odd) = read(3, line, 0.0);
        let expected = expected.map(|(at, text)| Entry { at, who: 3, text: text.to_string() });
        assert_eq!((entries.first().cloned(), odd), (expected.clone(), expected.is_none() as usize));
    }

    #[test]
    fn logs_are_merged_by_the_shared_clock() {
        let logs = vec![read(0, "1.0 INFO a\n3.0 INFO b", 0.0).0, read(1, "0.5 INFO c\n0.9 INFO d", 1.0).0];
        let texts: Vec<String> = merged(logs).into_iter().map(|entry| entry.text).collect();
        assert_eq!(texts, ["INFO a", "INFO c", "INFO d", "INFO b"]);
    }

    #[test_case("INFO decided: suspected, probes unanswered: s-1a", "INFO decided: suspected, probes unanswered: #" ; "a host")]
    #[test_case("balancing starts, a gap of 8.9 slices: s-f6 s-a5 s-b1", "balancing starts, a gap of # slices: #" ; "hosts")]
    fn kinds(text: &str, expected: &str) {
        assert_eq!(kind(text), expected);
    }

    #[test]
    fn what_all_do_at_once_comes_first() {
        let often = "1.1 INFO often 1\n1.2 INFO often 2\n1.3 INFO often 3\n";
        let together = "7.5 INFO together 4\n";
        let logs = vec![read(0, &format!("{often}{together}"), 0.0).0, read(1, together, 0.2).0];
        let entries = merged(logs);
        let count = &counts(&entries)["INFO together #"];
        assert_eq!((count.by.len(), count.peak), (2, (7, 2, 2)));
        let table = table(&entries, &["n0".to_string(), "n1".to_string()]);
        assert!(
            table.lines().nth(2).unwrap().starts_with("| INFO together # | 2 | 1 | 1 | 7.50 s, 7.70 s |"),
            "{table}"
        );
    }

    #[test]
    fn what_is_near_a_word_is_shown() {
        let entries = read(0, "1.0 a\n2.0 b s-7\n2.4 c\n9.0 d\n9.3 s-7", 0.0).0;
        let shown: Vec<f64> = around(&entries, "s-7", 0.5).iter().map(|entry| entry.at).collect();
        assert_eq!(shown, [2.0, 2.4, 9.0, 9.3]);
    }
}
