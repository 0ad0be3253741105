//! Each violation is found, and what is allowed is none.
use super::*;
use assert_matches::assert_matches;

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn see_at_least(history: &mut History, revision: u64, sent: Instant) {
    let probe = history.probe(0, sent);
    history.see_at_least(probe, revision);
}

fn see_below(history: &mut History, revision: u64, sent: Instant) {
    let probe = history.probe(0, sent);
    history.see_below(probe, revision);
}

#[test]
fn a_read_older_than_an_acknowledgement_or_with_another_content_is_found() {
    let mut history = History::default();
    history.acknowledge(4, Instant::now());
    history.read(1, 4, 5, true);
    assert_eq!(history.violations, []);
    history.read(1, 4, 3, true);
    history.read(2, 4, 4, false);
    let expected = [
        Violation::OldRead { node: 1, read: 3, acknowledged: 4 },
        Violation::OtherContent { node: 2, revision: 4 },
    ];
    assert_eq!(history.violations, expected);
}

#[test]
fn an_edge_may_be_late_only_while_faults_are_active_or_just_over() {
    let (start, mut history) = (Instant::now(), History::default());
    history.acknowledge(4, start);
    history.begin_fault();
    see_below(&mut history, 4, after(start, 9_000));
    history.end_faults(after(start, 9_000));
    see_below(&mut history, 4, after(start, 11_900));
    assert_eq!(history.violations, []);
    see_below(&mut history, 4, after(start, 12_100));
    assert_eq!(history.violations, [Violation::Late { edge: 0, acknowledged: 4 }]);
    history.acknowledge(5, after(start, 12_100));
    see_below(&mut history, 5, after(start, 14_000));
    assert_eq!(history.violations.len(), 1, "it was acknowledged just now");
}

#[test]
fn an_edge_goes_back_only_with_a_new_life() {
    let (start, mut history) = (Instant::now(), History::default());
    see_at_least(&mut history, 7, start);
    let before = history.probe(0, start);
    history.restart_edge(0);
    history.see_at_least(before, 8);
    see_below(&mut history, 7, start);
    see_at_least(&mut history, 6, start);
    assert_eq!(history.violations, []);
    see_below(&mut history, 6, start);
    assert_matches!(history.violations[..], [Violation::WentBack { edge: 0, below: 6 }]);
}

#[test]
fn only_what_was_acknowledged_must_not_be_refused() {
    let mut history = History::default();
    history.refuse(8, 409);
    assert_eq!(history.violations, []);
    history.acknowledge(8, Instant::now());
    history.refuse(8, 409);
    assert_eq!(history.violations, [Violation::Refused { revision: 8, status: 409 }]);
}

#[test]
fn a_request_that_ends_without_an_answer_is_lost_unless_its_edge_was_killed_meanwhile() {
    let (mut history, start) = (History::default(), Instant::now());
    history.kill_edge(0, after(start, 100));
    history.lose_request(0, "before", after(start, 50));
    assert_eq!(history.violations, []);
    history.lose_request(0, "after", after(start, 150));
    history.lose_request(1, "other", after(start, 50));
    let lost = |edge, id: &str| Violation::Lost { edge, id: id.into() };
    assert_eq!(history.violations, [lost(0, "after"), lost(1, "other")]);
}
