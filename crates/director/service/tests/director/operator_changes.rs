//! Operators' changes: conflicts, refusals, restarts, the operators' file and the admin socket.

use crate::fixtures::{DURABLE_FILE, OPERATOR_FILE};
use crate::testbed::{Callers, Testbed};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;

#[test]
fn a_conflicting_change_of_a_field_is_refused_with_the_name_of_its_holder() {
    let testbed = Testbed::with_operator_file(6, OPERATOR_FILE);
    let first = testbed.submit_change(0, 0.0, r#"{"hosts.s-1.weight":2}"#).unwrap();
    testbed.wait_for_stage(first, "kept");
    let refused = testbed.submit_change(0, 0.0, r#"{"hosts.s-1.weight":3}"#).unwrap_err();
    assert!(refused.contains("hosts.s-1.weight: held by change 1 of op"), "{refused}");
    let other = testbed.submit_change(0, 0.0, r#"{"hosts.s-2.weight":3}"#).unwrap();
    testbed.wait_for_stage(other, "kept");
    testbed.admin_request(r#"{"do":"freeze","who":"op","why":"the holiday"}"#);
    assert!(testbed
        .submit_change(other, 0.0, r#"{"hosts.s-2.weight":1}"#)
        .unwrap_err()
        .contains("frozen by op"));
}

#[test]
fn a_change_that_would_leave_no_host_is_refused() {
    let testbed = Testbed::with_operator_file(6, OPERATOR_FILE);
    testbed.director.wait_for_log("serves");
    let all = r#"{"hosts.s-1.drained":true,"hosts.s-2.drained":true,"hosts.s-3.drained":true}"#;
    assert!(testbed.submit_change(0, 0.0, all).unwrap_err().contains("no open, warm host"));
}

#[test]
fn a_half_written_operators_file_changes_nothing_and_a_whole_one_is_a_change() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    let _callers = Callers::start(&testbed, |_, _| 0);
    let whole = OPERATOR_FILE.replace("\"form\":1,", "\"form\":1,\"hosts\":{\"s-2\":{\"drained\":true}},");
    testbed.reload_operator_file(&whole[..whole.len() / 2]);
    testbed.director.wait_for_log("operators' file: not applied: ");
    assert_eq!(testbed.admin_request(r#"{"do":"status"}"#)["version"], 0);
    testbed.reload_operator_file(&whole);
    testbed.relay.wait_until("s-2 has no line", |relay| !relay.any_table_names("s-2"));
}

#[test]
fn a_director_killed_in_a_trial_undoes_it_and_keeps_what_was_kept() {
    let mut testbed = Testbed::with_operator_file_and_tables(6, DURABLE_FILE);
    let kept = testbed.submit_change(0, 0.0, r#"{"hosts.s-2.weight":2}"#).unwrap();
    testbed.wait_for_stage(kept, "kept");
    let tried = testbed.submit_change(kept, 60.0, r#"{"hosts.s-3.drained":true}"#).unwrap();
    // Nothing is reported, so the trial first waits for a baseline and then starts without one.
    testbed.wait_for_stage(tried, "trial");
    testbed.restart_director();
    let why = testbed.wait_for_stage(tried, "undone")["stage"].to_string();
    assert!(why.contains("restarted"), "{why}");
    let status = testbed.admin_request(r#"{"do":"status"}"#);
    assert_eq!(
        (&status["durable"], status["in_force"].to_string()),
        (&true.into(), r#"[["hosts.s-2.weight",2.0],["changes.trial",5.0]]"#.into())
    );
    testbed.relay.wait_until("s-3 has lines again", |relay| relay.any_table_names("s-3"));
}

#[test]
fn an_invalid_operators_file_at_the_start_is_reported_with_every_fault_and_ends_the_director() {
    let mut testbed = Testbed::with_operator_file(6, r#"{"form":1,"log":"loud","zones":{"q":{"weight":2}}}"#);
    assert_eq!(testbed.director.wait_for_exit(), Some(2));
    testbed.director.wait_for_log("operator.json:1: field log: expected text or json");
    testbed.director.wait_for_log("field zones.q.weight: expected a zone of the settings, one of a");
}

#[test]
fn the_admin_socket_is_accessible_to_its_owner_only_and_survives_invalid_requests() {
    let testbed = Testbed::with_operator_file(6, OPERATOR_FILE);
    assert_eq!(testbed.admin_request("{\"do\":\"everything\"}")["is"], "unreadable");
    assert_eq!(testbed.admin_request("}{")["is"], "unreadable");
    let mode = std::fs::metadata(testbed.folder().join("control.sock")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(
        testbed.admin_request(r#"{"do":"show","number":99}"#)["why"],
        "change 99: there is none of that number"
    );
    let held: Vec<_> =
        (0..20).map(|_| UnixStream::connect(testbed.folder().join("control.sock")).unwrap()).collect();
    assert!(testbed.director.open_descriptors() < 40, "idle connections beyond the limit are not accepted");
    drop(held);
    assert_eq!(testbed.admin_request(r#"{"do":"status"}"#)["hosts"], 3);
}

#[test]
fn log_lines_may_be_json_with_the_change_as_a_field() {
    let testbed =
        Testbed::with_operator_file(6, &OPERATOR_FILE.replace("\"form\":1", "\"form\":1,\"log\":\"json\""));
    let number = testbed.submit_change(0, 0.0, r#"{"hosts.s-2.weight":2}"#).unwrap();
    testbed
        .director
        .wait_for_log(&format!("\"level\":\"INFO\",\"change\":{number},\"text\":\"change {number}: checked"));
}
