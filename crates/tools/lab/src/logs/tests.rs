//! Tests of the module `logs`.
use super::*;
use test_case::test_case;

#[test_case("0.207 0.203 INFO relay: news open", Some((0.207, "INFO relay: news open")) ; "another clock before its own")]
#[test_case("0.203 INFO relay: news open", Some((0.203, "INFO relay: news open")) ; "its own alone")]
#[test_case("5.5 WARN 12 warnings left out", Some((5.5, "WARN 12 warnings left out")) ; "a number that is no time")]
#[test_case("   at ./src/main.rs:1", None ; "no time")]
#[test_case("NaN INFO x", None ; "no number")]
fn a_line_without_a_time_is_left_out(line: &str, expected: Option<(f64, &str)>) {
    let ParsedLog { entries, without_time } = read(3, line, 0.0);
    let expected = expected.map(|(time_s, text)| Entry { time_s, log: 3, text: text.to_string() });
    assert_eq!((entries.first().cloned(), without_time), (expected.clone(), expected.is_none() as usize));
}

#[test]
fn logs_are_merged_by_the_shared_clock() {
    let logs =
        vec![read(0, "1.0 INFO a\n3.0 INFO b", 0.0).entries, read(1, "0.5 INFO c\n0.9 INFO d", 1.0).entries];
    let texts: Vec<String> = merged(logs).into_iter().map(|entry| entry.text).collect();
    assert_eq!(texts, ["INFO a", "INFO c", "INFO d", "INFO b"]);
}

#[test_case("INFO decided: suspected, probes unanswered: s-1a", "INFO decided: suspected, probes unanswered: #" ; "a host")]
#[test_case("balancing starts, a gap of 8.9 slices: s-f6 s-a5 s-b1", "balancing starts, a gap of # slices: #" ; "hosts")]
fn words_with_digits_do_not_tell_kinds_apart(text: &str, expected: &str) {
    assert_eq!(kind(text), expected);
}

#[test]
fn lines_that_all_directors_log_at_once_come_first() {
    let often = "1.1 INFO often 1\n1.2 INFO often 2\n1.3 INFO often 3\n";
    let together = "7.5 INFO together 4\n";
    let logs = vec![read(0, &format!("{often}{together}"), 0.0).entries, read(1, together, 0.2).entries];
    let entries = merged(logs);
    let count = &counts(&entries)["INFO together #"];
    assert_eq!((count.lines_by_log.len(), &count.peak), (2, &Peak { second: 7, directors: 2, lines: 2 }));
    let table = table(&entries, &["n0".to_string(), "n1".to_string()]);
    assert!(
        table.lines().nth(2).unwrap().starts_with("| INFO together # | 2 | 1 | 1 | 7.50 s, 7.70 s |"),
        "{table}"
    );
}

#[test]
fn lines_far_from_the_pattern_are_left_out() {
    let entries = read(0, "1.0 a\n2.0 b s-7\n2.4 c\n9.0 d\n9.3 s-7", 0.0).entries;
    let shown: Vec<f64> = around(&entries, "s-7", 0.5).iter().map(|entry| entry.time_s).collect();
    assert_eq!(shown, [2.0, 2.4, 9.0, 9.3]);
}
