//! Trials without reports, with proxies that do not apply the change, and with a wall clock that jumps.

use super::*;
use crate::change_log::trial::APPLY_TIMEOUT_S;
use test_case::test_case;

#[test_case(AnalysisState { has_baseline: true, has_reports: false, has_recovered: false }, EndReason::TooFewReports ; "reports that stop")]
fn a_trial_without_reports_is_undone_after_twice_its_length(analysis_state: AnalysisState, why: EndReason) {
    let mut log = ChangeLog::default();
    let number = on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    log.tick(119.0, 0.0, &pool(4), &|_| analysis_state);
    assert_eq!(log.stage(number), Some(&Stage::Trial), "it waits as long again");
    log.tick(121.0, 0.0, &pool(4), &|_| analysis_state);
    assert_eq!(log.stage(number), Some(&Stage::Undone(why)));
}

#[test]
fn a_change_that_the_proxies_do_not_apply_in_time_is_undone() {
    let mut log = ChangeLog::default();
    let (number, _) =
        log.submit(0.0, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]), &known(), &pool(4)).unwrap();
    log.record_written(0.0, number);
    log.tick(0.0, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
    let effects = log.tick(APPLY_TIMEOUT_S + 0.1, 0.0, &pool(4), &|_| REPORTS_RECEIVED);
    assert!(effects
        .iter()
        .any(|effect| matches!(effect, ChangeEffect::ApplyDocument { document, .. } if document.is_empty())));
    assert_eq!(log.stage(number), Some(&Stage::Undone(EndReason::ApplyTimeout)));
}

#[test]
fn a_wall_clock_that_jumps_back_does_not_affect_a_trial() {
    let mut log = ChangeLog::default();
    let number = on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    log.tick(59.0, -1e9, &pool(4), &|_| REPORTS_RECEIVED);
    assert_eq!(log.stage(number), Some(&Stage::Trial));
    log.tick(60.0, -2e9, &pool(4), &|_| REPORTS_RECEIVED);
    assert_eq!(log.stage(number), Some(&Stage::Kept(Keep::TrialPassed)));
}
