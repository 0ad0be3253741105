//! Undo after later changes, drains and departures of hosts.

use super::*;
use crate::refusal::Refusal;
use coppersail_operator_config::{Document, Value};

#[test]
fn an_undo_does_not_restore_a_host_that_was_drained_meanwhile() {
    let mut log = ChangeLog::default();
    let weight =
        on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2"), ("hosts.h1.weight", "2")]));
    kept_change(&mut log, 1.0, submission(weight.0, "b", &[("hosts.h0.drained", "true")]));
    let effects = log.report_harm(2.0, 0.0, weight, ("found".into(), false), &pool(4));
    let given = effects.iter().find_map(|effect| match effect {
        ChangeEffect::ApplyDocument { document, .. } => Some(document.clone()),
        _ => None,
    });
    let drained = Document::from([("hosts.h0.drained".parse().unwrap(), Value::Flag(true))]);
    assert_eq!(given, Some(drained));
}

#[test]
fn an_undo_keeps_and_names_what_later_changes_set() {
    let mut log = ChangeLog::default();
    let first =
        kept_change(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2"), ("zones.z.weight", "3")]));
    kept_change(&mut log, 1.0, submission(first.0, "b", &[("hosts.h0.weight", "5")]));
    let effects = log.undo(2.0, 0.0, first, operator(), &pool(4)).unwrap();
    let weight = Document::from([("hosts.h0.weight".parse().unwrap(), Value::Number(5.0))]);
    assert_eq!(log.document(), &weight);
    let named = |effect: &ChangeEffect| matches!(effect, ChangeEffect::Log { text, .. } if text.contains("later changes stand: hosts.h0.weight (change 2)"));
    assert!(effects.iter().any(named), "{effects:?}");
}

#[test]
fn an_undo_restores_the_previous_value_in_force_and_not_one_of_an_undone_change() {
    let mut log = ChangeLog::default();
    let first = kept_change(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    let second = kept_change(&mut log, 1.0, submission(first.0, "b", &[("hosts.h0.weight", "5")]));
    log.undo(2.0, 0.0, first, operator(), &pool(4)).unwrap();
    log.undo(3.0, 0.0, second, operator(), &pool(4)).unwrap();
    assert!(log.document().is_empty(), "the value of a change that is undone must not come back");
    let stale =
        log.submit(4.0, 0.0, submission(second.0, "c", &[("hosts.h0.weight", "3")]), &known(), &pool(4));
    assert!(matches!(stale, Err(Refusal::Conflict { .. })), "its base does not know of the undo");
}

#[test]
fn an_undo_unsets_the_fields_of_hosts_that_are_no_longer_listed() {
    let mut log = ChangeLog::default();
    let first = kept_change(&mut log, 0.0, submission(0, "a", &[("hosts.h3.weight", "2")]));
    let second = kept_change(&mut log, 1.0, submission(first.0, "b", &[("hosts.h3.weight", "5")]));
    log.undo(2.0, 0.0, second, operator(), &pool(3)).unwrap();
    assert!(log.document().is_empty(), "h3 has left: {:?}", log.document());
}

#[test]
fn of_two_trials_only_the_harmful_one_is_undone() {
    let mut log = ChangeLog::default();
    let one = on_trial(&mut log, 0.0, submission(0, "a", &[("hosts.h0.weight", "2")]));
    let two = on_trial(&mut log, 1.0, submission(0, "b", &[("hosts.h1.weight", "2")]));
    log.report_harm(2.0, 0.0, one, ("found".into(), false), &pool(4));
    assert!(matches!(log.stage(one), Some(Stage::Undone(EndReason::Harm { .. }))));
    assert_eq!(log.stage(two), Some(&Stage::Trial));
}
