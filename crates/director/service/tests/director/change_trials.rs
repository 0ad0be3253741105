//! Trials of changes that harm callers, and of changes that do not.

use crate::fixtures::OPERATOR_FILE;
use crate::stand_ins::RelayStandIn;
use crate::testbed::{Callers, Testbed};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// More than half of a report's calls.
const MANY_FAILURES: u64 = 12;

/// Calls to slice 0 fail while most of its weight is on s-3.
fn failures_on_s3(relay: &RelayStandIn, slice: u16) -> u64 {
    if slice == 0 && relay.heaviest_host(0) == "s-3" {
        MANY_FAILURES
    } else {
        0
    }
}

const MOVE_SLICE_0_TO_S3: &str = r#"{"apart.0.s-1":true,"apart.0.s-2":true}"#;

#[test]
fn a_harmful_change_is_undone_within_thirty_seconds_and_a_harmless_one_kept() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let _callers = Callers::start(&testbed, failures_on_s3);
    let harmless = testbed.submit_change(0, 5.0, r#"{"apart.5.s-1":true}"#).unwrap();
    testbed.wait_for_stage(harmless, "kept");
    let begun = Instant::now();
    let harmful = testbed.submit_change(harmless, 30.0, MOVE_SLICE_0_TO_S3).unwrap();
    testbed.relay.wait_until("slice 0 goes to s-3", |relay| relay.heaviest_host(0) == "s-3");
    let why = testbed.wait_for_stage(harmful, "undone")["stage"].to_string();
    assert!(why.contains("harm") && why.contains("untouched"), "{why}");
    testbed.relay.wait_until("slice 0 leaves s-3", |relay| relay.heaviest_host(0) != "s-3");
    assert!(begun.elapsed().as_secs() < 30);
    testbed.director.wait_for_log(&format!("WARN change {harmful}: undone by change {}", harmful + 1));
    assert_eq!(testbed.admin_request(r#"{"do":"status"}"#)["in_force"].as_array().unwrap().len(), 2);
}

const MOVE_ALL_FROM_S1: &str = r#"{"apart.0.s-1":true,"apart.1.s-1":true,"apart.2.s-1":true,"apart.3.s-1":true,
    "apart.4.s-1":true,"apart.5.s-1":true}"#;

fn s1_owns_no_slice(relay: &RelayStandIn) -> bool {
    (0..6).all(|slice| relay.heaviest_host(slice) != "s-1")
}

/// No slice is left for comparison, so harm at first only suspends the change. It recurs when the change is applied
/// again.
#[test]
fn a_harmful_change_to_all_slices_is_suspended_and_undone_when_its_harm_recurs() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let _callers =
        Callers::start(&testbed, |relay, _| if s1_owns_no_slice(relay) { MANY_FAILURES } else { 0 });
    let number = testbed.submit_change(0, 30.0, &MOVE_ALL_FROM_S1.replace('\n', "")).unwrap();
    testbed.relay.wait_until("all slices leave s-1", |relay| s1_owns_no_slice(relay));
    let begun = Instant::now();
    testbed.director.wait_for_log(&format!("WARN change {number}: set aside until the fleet is well"));
    testbed.relay.wait_until("some slices return to s-1", |relay| !s1_owns_no_slice(relay));
    assert!(begun.elapsed().as_secs() < 30);
    let why = testbed.wait_for_stage(number, "undone")["stage"].to_string();
    assert!(why.contains("a second time"), "{why}");
    testbed.relay.wait_until("they go home for good", |relay| !s1_owns_no_slice(relay));
}

#[test]
fn a_harmless_change_to_all_slices_survives_an_outage_of_the_whole_fleet() {
    static OUTAGE: AtomicBool = AtomicBool::new(false);
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let _callers =
        Callers::start(&testbed, |_, _| if OUTAGE.load(Ordering::Relaxed) { MANY_FAILURES } else { 0 });
    let number = testbed.submit_change(0, 10.0, &MOVE_ALL_FROM_S1.replace('\n', "")).unwrap();
    testbed.relay.wait_until("all slices leave s-1", |relay| s1_owns_no_slice(relay));
    OUTAGE.store(true, Ordering::Relaxed);
    testbed.director.wait_for_log(&format!("WARN change {number}: set aside until the fleet is well"));
    OUTAGE.store(false, Ordering::Relaxed);
    let stage = testbed.wait_for_stage(number, "kept")["stage"].to_string();
    assert!(stage.contains("judged"), "{stage}");
    testbed.relay.wait_until("all slices have left s-1", |relay| s1_owns_no_slice(relay));
}

#[test]
fn an_undo_during_a_drain_does_not_bring_the_host_back() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let _callers = Callers::start(&testbed, failures_on_s3);
    // Slice 0 leaves s-1 for s-3, and s-1 begins to drain while the change is on trial.
    let harmful = testbed.submit_change(0, 30.0, MOVE_SLICE_0_TO_S3).unwrap();
    testbed.relay.wait_until("slice 0 goes to s-3", |relay| relay.heaviest_host(0) == "s-3");
    testbed.update_host(2, "s-1", "terminating");
    testbed.wait_for_stage(harmful, "undone");
    let moved = testbed.submit_change(harmful + 1, 0.0, r#"{"hosts.s-3.weight":0.5}"#).unwrap();
    testbed.wait_for_stage(moved, "kept");
    testbed.relay.update(|relay| {
        assert!(relay.withdrawn.contains("s-1"), "it stays withdrawn");
        assert!(!relay.any_table_names("s-1"), "{:?}", relay.slices);
    });
}

#[test]
fn a_trial_whose_reports_stop_is_undone() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let callers = Callers::start(&testbed, |_, _| 0);
    let number = testbed.submit_change(0, 5.0, r#"{"hosts.s-2.weight":0.5}"#).unwrap();
    testbed.wait_for_stage(number, "trial");
    callers.stop();
    let why = testbed.wait_for_stage(number, "undone")["stage"]["undone"].to_string();
    assert!(why.contains("unjudged"), "{why}");
}
