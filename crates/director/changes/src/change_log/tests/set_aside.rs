//! Changes that are suspended because a fault of the whole fleet may be the cause of the harm.

use super::*;
use crate::refusal::Refusal;
use test_case::test_case;

/// Starts the trial of a change, and suspends it for harm that a fault of the whole fleet may have caused.
fn suspended_change(log: &mut ChangeLog, fields: &[(&str, &str)]) -> Version {
    let number = on_trial(log, 0.0, submission(0, "a", fields));
    let effects = log.report_harm(5.0, 0.0, number, ("found".into(), true), &pool(4));
    assert!(effects.contains(&ChangeEffect::SuspendAnalysis(number)) && log.document().is_empty());
    assert!(effects
        .iter()
        .any(|effect| matches!(effect, ChangeEffect::ApplyDocument { document, .. } if document.is_empty())));
    number
}

const RECOVERED: AnalysisState = AnalysisState { has_baseline: true, has_reports: true, has_recovered: true };

#[test]
fn a_suspended_change_is_retried_after_recovery_and_then_kept_or_undone() {
    for harm_again in [true, false] {
        let mut log = ChangeLog::default();
        let number = suspended_change(&mut log, &[("hosts.h0.weight", "2")]);
        assert_eq!(
            log.tick(6.0, 0.0, &pool(4), &|_| RECOVERED),
            vec![],
            "its withdrawal has not reached the proxies"
        );
        log.document_applied(7.0, 0.0, number);
        assert_eq!(log.tick(8.0, 0.0, &pool(4), &|_| REPORTS_RECEIVED), vec![], "service has not recovered");
        let effects = log.tick(9.0, 0.0, &pool(4), &|_| RECOVERED);
        assert!(effects.contains(&ChangeEffect::ResumeAnalysis(number)) && log.document().len() == 1);
        log.document_applied(10.0, 0.0, number);
        if harm_again {
            log.report_harm(12.0, 0.0, number, ("found".into(), true), &pool(4));
            assert!(
                matches!(log.stage(number), Some(Stage::Undone(EndReason::Harm { found })) if found.contains("second"))
            );
            assert!(log.document().is_empty());
        } else {
            log.tick(71.0, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
            assert_eq!(log.stage(number), Some(&Stage::Kept(Keep::TrialPassed)));
        }
    }
}

#[test]
fn a_suspended_change_keeps_its_fields_and_no_other_is_applied_until_proxies_have_applied_the_suspension() {
    let mut log = ChangeLog::default();
    let number = suspended_change(&mut log, &[("hosts.h0.weight", "2")]);
    let refused =
        log.submit(6.0, 0.0, submission(number.0, "b", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(refused, Err(Refusal::Conflict { stage: "set aside", .. })));
    let submitted = submission(number.0, "b", &[("hosts.h1.drained", "true")]);
    let (other, _) = log.submit(6.0, 0.0, submitted, &known(), &pool(4)).unwrap();
    log.record_written(0.0, other);
    assert_eq!(log.tick(6.5, 0.0, &pool(4), &|_| REPORTS_RECEIVED), vec![]);
    log.document_applied(7.0, 0.0, number);
    log.tick(7.5, 0.0, &pool(4), &|_| RECOVERED);
    assert_eq!(log.stage(number), Some(&Stage::Applied), "one at a time");
    assert_eq!(log.stage(other), Some(&Stage::Staged));
}

#[test]
fn a_suspended_drain_that_would_now_leave_too_few_hosts_is_not_retried() {
    let mut log = ChangeLog::default();
    let number = suspended_change(&mut log, &[("hosts.h0.drained", "true"), ("hosts.h1.drained", "true")]);
    log.document_applied(7.0, 0.0, number);
    // The other hosts have been removed from the endpoint list meanwhile.
    let mut left = pool(4);
    left.hosts.retain(|name, _| name == "h0" || name == "h1");
    log.tick(9.0, 0.0, &left, &|_| RECOVERED);
    assert!(matches!(log.stage(number), Some(Stage::Undone(EndReason::Stale { .. }))));
    assert!(log.document().is_empty());
}

#[test_case(false, 306.0, EndReason::NotRecovered ; "service never recovers")]
#[test_case(true, 306.0, EndReason::NotRecovered ; "changes frozen for too long")]
fn a_change_that_is_suspended_too_long_is_undone(frozen: bool, at: f64, why: EndReason) {
    let mut log = ChangeLog::default();
    let number = suspended_change(&mut log, &[("hosts.h0.weight", "2")]);
    log.document_applied(7.0, 0.0, number);
    if frozen {
        log.freeze(0.0, "op".into(), "until Monday".into());
    }
    let analysis_state = if frozen { RECOVERED } else { REPORTS_RECEIVED };
    assert_eq!(log.tick(300.0, 0.0, &pool(4), &|_| analysis_state), vec![]);
    log.tick(at, 0.0, &pool(4), &|_| analysis_state);
    assert_eq!(log.stage(number), Some(&Stage::Undone(why)));
    assert!(log.idle() && log.document().is_empty());
}

#[test]
fn an_operator_can_undo_a_suspended_change() {
    let mut log = ChangeLog::default();
    let number = suspended_change(&mut log, &[("hosts.h0.weight", "2")]);
    let effects = log.undo(6.0, 0.0, number, operator(), &pool(4)).unwrap();
    assert!(
        effects.contains(&ChangeEffect::EndAnalysis(number))
            && !effects.iter().any(|effect| matches!(effect, ChangeEffect::ApplyDocument { .. }))
    );
    assert!(matches!(log.stage(number), Some(Stage::Undone(EndReason::ByOperator { .. }))));
}
