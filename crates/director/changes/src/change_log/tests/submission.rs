//! Submissions that conflict, are invalid, are sent twice, or are made while changes are frozen.

use super::*;
use crate::host_pool::HostPool;
use crate::refusal::Refusal;
use test_case::test_case;

#[test]
fn a_change_that_is_not_durable_is_not_applied() {
    let mut log = ChangeLog::default();
    let (number, _) =
        log.submit(0.0, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]), &known(), &pool(4)).unwrap();
    assert_eq!(log.tick(0.1, 0.0, &pool(4), &|_| REPORTS_RECEIVED), vec![], "not written yet");
    log.record_written(0.0, number);
    let effects = log.tick(0.2, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
    assert!(matches!(effects.last(), Some(ChangeEffect::ApplyDocument { by, .. }) if *by == number));
    log.document_applied(0.3, 0.0, number);
    assert_eq!(log.stage(number), Some(&Stage::Trial));
    log.tick(60.4, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
    assert_eq!(log.stage(number), Some(&Stage::Kept(Keep::TrialPassed)));
}

#[test_case(true ; "a before b")]
#[test_case(false ; "b before a")]
fn the_later_of_two_conflicting_changes_is_refused_with_the_author_of_the_other(order: bool) {
    let mut log = ChangeLog::default();
    let (first, second) = if order { ("a", "b") } else { ("b", "a") };
    let number = kept_change(
        &mut log,
        0.0,
        submission(0, first, &[("hosts.h0.weight", "2"), ("zones.z.weight", "2")]),
    );
    let refusal = log
        .submit(1.0, 0.0, submission(0, second, &[("hosts.h0.weight", "3")]), &known(), &pool(4))
        .unwrap_err();
    let field = "hosts.h0.weight".parse().unwrap();
    assert_eq!(refusal, Refusal::Conflict { field, holder: number, who: first.into(), stage: "kept" });
    // With a base that includes the other change, or for another field, it is accepted.
    kept_change(&mut log, 1.0, submission(number.0, second, &[("hosts.h0.weight", "3")]));
    kept_change(&mut log, 2.0, submission(0, second, &[("hosts.h1.weight", "3")]));
    assert_eq!(log.document().len(), 3);
}

#[test]
fn a_field_of_a_change_on_trial_is_in_conflict_even_if_the_base_knows_it() {
    let mut log = ChangeLog::default();
    let number = on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    let refused =
        log.submit(1.0, 0.0, submission(number.0, "b", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(refused, Err(Refusal::Conflict { stage: "on trial", .. })));
}

#[test]
fn a_change_that_would_leave_no_host_is_refused() {
    let mut log = ChangeLog::default();
    let all: Vec<(String, &str)> = (0..4).map(|k| (format!("hosts.h{k}.drained"), "true")).collect();
    let all: Vec<(&str, &str)> = all.iter().map(|(field, value)| (field.as_str(), *value)).collect();
    let submit = |log: &mut ChangeLog, fields: &[(&str, &str)]| {
        log.submit(0.0, 0.0, submission(0, "a", fields), &known(), &pool(4)).map(drop)
    };
    assert!(matches!(submit(&mut log, &all), Err(Refusal::TooFewHosts(_))));
    let apart: Vec<(String, &str)> = (0..4).map(|k| (format!("apart.2.h{k}"), "true")).collect();
    let apart: Vec<(&str, &str)> = apart.iter().map(|(field, value)| (field.as_str(), *value)).collect();
    assert!(matches!(submit(&mut log, &apart), Err(Refusal::TooFewHosts(what)) if what.contains("slice 2")));
    assert_eq!(submit(&mut log, &all[..3]), Ok(()));
}

#[test_case(29.0, true ; "enough capacity")]
#[test_case(31.0, false ; "too little capacity")]
fn a_drain_that_would_leave_too_little_capacity_is_refused(calls: f64, expected: bool) {
    let drain = submission(0, "a", &[("hosts.h0.drained", "true")]);
    let pool = HostPool { calls, ..pool(4) };
    assert_eq!(ChangeLog::default().submit(0.0, 0.0, drain, &known(), &pool).is_ok(), expected);
}

#[test]
fn after_a_failed_write_submissions_are_refused_and_trials_still_undone() {
    let mut log = ChangeLog::default();
    let first = on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    let (second, _) =
        log.submit(1.0, 0.0, submission(0, "a", &[("hosts.h1.weight", "2")]), &known(), &pool(4)).unwrap();
    log.write_failed(0.0, Some(second), "disk full");
    assert!(matches!(log.stage(second), Some(Stage::Dropped(EndReason::WriteFailed { .. }))));
    let third = log.submit(2.0, 0.0, submission(0, "a", &[("hosts.h2.weight", "2")]), &known(), &pool(4));
    assert!(matches!(third, Err(Refusal::WriteFailed(_))));
    log.report_harm(3.0, 0.0, first, ("found".into(), false), &pool(4));
    assert!(log.document().is_empty());
}

#[test]
fn a_resubmission_with_the_same_token_is_the_same_change() {
    let mut log = ChangeLog::default();
    let submitted = Submission { token: "t".into(), ..submission(0, "a", &[("hosts.h0.weight", "2")]) };
    let first = log.submit(0.0, 0.0, submitted.clone(), &known(), &pool(4)).unwrap().0;
    assert_eq!(log.submit(1.0, 0.0, submitted, &known(), &pool(4)).unwrap(), (first, vec![]));
}

#[test]
fn frozen_changes_are_refused_with_the_operator_until_they_are_thawed() {
    let mut log = ChangeLog::default();
    log.freeze(0.0, "a".into(), "the holiday".into());
    let refused = log.submit(0.0, 0.0, submission(0, "b", &[("hosts.h0.weight", "2")]), &known(), &pool(4));
    assert_eq!(refused.unwrap_err().to_string(), "frozen by a: the holiday");
    log.thaw(0.0, "a".into());
    kept_change(&mut log, 1.0, submission(0, "b", &[("hosts.h0.weight", "2")]));
}

#[test]
fn a_draft_with_an_outdated_base_is_refused_when_it_is_staged() {
    let mut log = ChangeLog::default();
    let draft = Submission { draft: true, ..submission(0, "a", &[("hosts.h0.weight", "2")]) };
    let (draft, _) = log.submit(0.0, 0.0, draft, &known(), &pool(4)).unwrap();
    kept_change(&mut log, 1.0, submission(0, "b", &[("hosts.h0.weight", "3")]));
    let refused = log.stage_draft(2.0, 0.0, draft, &known(), &pool(4)).unwrap_err();
    assert!(matches!(refused, Refusal::Conflict { who, .. } if who == "b"));
}
