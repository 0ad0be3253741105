//! Hosts that are announced to shut down.

use crate::fixtures::GUARDED_FILE;
use crate::testbed::Testbed;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds since the epoch, so many from now.
fn in_seconds(seconds: f64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_secs_f64() + seconds) as u64
}

/// The shutdown is twelve seconds off, and ten before it the slices move; discovery has said nothing.
#[test]
fn a_host_that_is_announced_to_shut_down_has_no_lines_before_it_does_and_serves_if_it_is_called_off() {
    let testbed = Testbed::with_operator_file_and_tables(6, GUARDED_FILE);
    let at = in_seconds(12.0);
    let number = testbed.submit_change(0, 0.0, &format!(r#"{{"hosts.s-1.leaves":{at}}}"#)).unwrap();
    testbed.wait_for_stage(number, "kept");
    testbed.director.wait_for_log("announced: s-1 gives up its slices");
    testbed.relay.wait_until("s-1 has no lines", |relay| !relay.any_table_names("s-1"));
    assert!(in_seconds(0.0) < at, "before it goes");
    testbed.relay.update(|relay| {
        assert!(!relay.withdrawn.contains("s-1"), "it was not withdrawn, nobody lost a call")
    });
    // Called off, it serves again.
    let off = testbed.submit_change(number, 0.0, r#"{"hosts.s-1.leaves":null}"#).unwrap();
    testbed.wait_for_stage(off, "kept");
    testbed.relay.wait_until("s-1 serves again", |relay| relay.any_table_names("s-1"));
}

#[test]
fn a_deploy_that_shuts_all_hosts_down_together_is_refused_when_it_is_announced() {
    let testbed = Testbed::with_operator_file_and_tables(6, GUARDED_FILE);
    let at = in_seconds(100.0);
    let all = format!(r#"{{"hosts.s-1.leaves":{at},"hosts.s-2.leaves":{at},"hosts.s-3.leaves":{}}}"#, at + 5);
    let why = testbed.submit_change(0, 0.0, &all).unwrap_err();
    assert!(why.contains("away together"), "{why}");
    // One after the other they may go.
    let one_by_one = format!(
        r#"{{"hosts.s-1.leaves":{at},"hosts.s-2.leaves":{},"hosts.s-3.leaves":{}}}"#,
        at + 60,
        at + 120
    );
    testbed.submit_change(0, 0.0, &one_by_one).unwrap();
}
