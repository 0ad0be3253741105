//! Lists of discovery, and watches that end, time out or deliver invalid lists.

use crate::testbed::Testbed;
use test_case::test_case;

#[test]
fn a_draining_host_is_withdrawn_and_readmitted() {
    let testbed = Testbed::with_tables();
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
    testbed.relay.wait_until("no table names s-1", |relay| !relay.any_table_names("s-1"));
    testbed.update_host(3, "s-1", "in_service");
    testbed.relay.wait_until("s-1 is readmitted", |relay| relay.withdrawn.is_empty());
}

#[test]
fn a_watch_that_ends_is_reopened_from_the_current_version() {
    let testbed = Testbed::with_tables();
    testbed.update_host(7, "s-3", "terminating");
    testbed.relay.wait_until("s-3 is withdrawn", |relay| relay.withdrawn.contains("s-3"));
    testbed.discovery.update(|discovery| discovery.close_watches());
    testbed.discovery.wait_until("a watch from version 7", |discovery| {
        discovery.requested_paths.iter().any(|path| path.ends_with("since=7"))
    });
}

#[test]
fn a_silent_watch_is_reopened() {
    let testbed = Testbed::with_tables();
    testbed.discovery.update(|discovery| discovery.is_mute = true);
    testbed.discovery.wait_until("further watches", |discovery| discovery.requested_paths.len() >= 3);
    testbed.discovery.update(|discovery| discovery.is_mute = false);
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
}

#[test_case("{\"version\":", "lists_bad" ; "an object that does not parse")]
#[test_case(r#"{"version":0,"full":true,"servers":[]}"#, "lists_bad" ; "an outdated version")]
#[test_case(r#"{"version":2,"full":true,"servers":[{"id":"s-1"},{"id":"s-2"},{"id":"s-3"},7]}"#, "entries_unsound" ; "invalid entries")]
fn an_invalid_list_or_entry_is_skipped(line: &str, counter: &str) {
    let testbed = Testbed::with_tables();
    testbed.discovery.update(|discovery| discovery.send_line(line));
    testbed.director.wait_for_counter(counter, 1);
    testbed.update_host(3, "s-3", "terminating");
    testbed.relay.wait_until("s-3 is withdrawn", |relay| relay.withdrawn.contains("s-3"));
    assert!(testbed.relay.update(|relay| relay.withdrawn.len() == 1), "no other host is withdrawn");
}

#[test]
fn a_full_list_replaces_the_old_one() {
    let testbed = Testbed::with_tables();
    let full = testbed.full_host_list(2, &["s-2", "s-3", "s-4"]);
    testbed.discovery.update(|discovery| discovery.send_line(&full));
    testbed
        .relay
        .wait_until("s-1 is in no table", |relay| !relay.any_table_names("s-1") && relay.all_tables_have(2));
}
