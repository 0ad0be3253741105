//! Announced shutdowns of hosts.

use crate::fixtures::GUARDED_FILE;
use crate::testbed::Testbed;
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock's time in this many seconds, in seconds since the Unix epoch.
fn in_seconds(seconds: f64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_secs_f64() + seconds) as u64
}

/// The shutdown is announced twelve seconds ahead, and the slices move ten seconds before it. Discovery lists the
/// host as in service the whole time.
#[test]
fn slices_leave_a_host_before_its_announced_shutdown_and_return_if_it_is_cancelled() {
    let testbed = Testbed::with_operator_file_and_tables(6, GUARDED_FILE);
    let at = in_seconds(12.0);
    let number = testbed.submit_change(0, 0.0, &format!(r#"{{"hosts.s-1.leaves":{at}}}"#)).unwrap();
    testbed.wait_for_stage(number, "kept");
    testbed.director.wait_for_log("announced: s-1 gives up its slices");
    testbed.relay.wait_until("s-1 has no lines", |relay| !relay.any_table_names("s-1"));
    assert!(in_seconds(0.0) < at, "the slices have left before the shutdown");
    testbed
        .relay
        .update(|relay| assert!(!relay.withdrawn.contains("s-1"), "it is not withdrawn, so no call is lost"));
    // If the shutdown is cancelled, the host serves again.
    let off = testbed.submit_change(number, 0.0, r#"{"hosts.s-1.leaves":null}"#).unwrap();
    testbed.wait_for_stage(off, "kept");
    testbed.relay.wait_until("s-1 serves again", |relay| relay.any_table_names("s-1"));
}

#[test]
fn announced_shutdown_of_all_hosts_at_the_same_time_is_refused() {
    let testbed = Testbed::with_operator_file_and_tables(6, GUARDED_FILE);
    let at = in_seconds(100.0);
    let all = format!(r#"{{"hosts.s-1.leaves":{at},"hosts.s-2.leaves":{at},"hosts.s-3.leaves":{}}}"#, at + 5);
    let why = testbed.submit_change(0, 0.0, &all).unwrap_err();
    assert!(why.contains("away together"), "{why}");
    // Shutdowns one after the other are accepted.
    let one_by_one = format!(
        r#"{{"hosts.s-1.leaves":{at},"hosts.s-2.leaves":{},"hosts.s-3.leaves":{}}}"#,
        at + 60,
        at + 120
    );
    testbed.submit_change(0, 0.0, &one_by_one).unwrap();
}
