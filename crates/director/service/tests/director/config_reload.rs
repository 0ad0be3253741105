//! Reloads of the configuration in a running director.

use crate::fixtures::ATTEMPTS_REPORT;
use crate::stand_ins::RelayReply;
use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(&[] ; "without faults")]
#[test_case(&[RelayReply::Silence { carried_out: true }] ; "while an unanswered call is carried out")]
#[test_case(&[RelayReply::Silence { carried_out: false }] ; "while an unanswered call is not carried out")]
fn new_addresses_of_relay_and_discovery_are_adopted_without_a_gap(replies: &[RelayReply]) {
    let mut testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    testbed.relay.wait_until("the standby update stream is open", |relay| relay.subscribe_requests >= 2);
    for version in [2, 4] {
        let subscribe_requests = testbed.relay.update(|relay| {
            relay.replies.extend(replies);
            relay.subscribe_requests
        });
        testbed.update_host(version, "s-1", "terminating");
        testbed.relocate_services();
        testbed.relay.wait_until("both update streams are open there", |relay| {
            relay.subscribe_requests >= subscribe_requests + 2
        });
        testbed.relay.update(|relay| relay.close_connections_at_old_address());
        testbed.discovery.update(|discovery| discovery.close_watches_at_old_address());
        testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
        testbed.update_host(version + 1, "s-1", "in_service");
        testbed.relay.wait_until("s-1 is readmitted", |relay| relay.withdrawn.is_empty());
    }
    collector.send_line(ATTEMPTS_REPORT.as_bytes());
    testbed.director.wait_for_counter("sums_of_tries", 1);
    let counts = ["proxies_joined", "proxies_left", "slices_given", "configurations_taken", "calls_repeated"];
    assert_eq!(counts.map(|name| testbed.director.counter(name)), [3, 0, 2, 2, 2 * replies.len() as u64]);
    testbed.director.signal("TERM");
    assert_eq!(testbed.director.wait_for_exit(), Some(0));
}

#[test_case(Some("{\"name\":") ; "truncated")]
#[test_case(Some("") ; "empty")]
#[test_case(None ; "missing")]
fn an_unusable_configuration_on_reload_changes_nothing(text: Option<&str>) {
    let testbed = Testbed::with_tables();
    testbed.reload_config(text);
    testbed.director.wait_for_log("configuration: not applied: ");
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
    assert_eq!(
        (testbed.director.counter("configurations_bad"), testbed.director.counter("news_lost")),
        (1, 0)
    );
}

#[test]
fn unreachable_new_addresses_leave_the_old_connections_in_use() {
    let mut testbed = Testbed::with_tables();
    let unused_address = "127.0.0.1:1".parse().unwrap();
    for _ in 0..2 {
        testbed.reload_config_with_addresses(unused_address, unused_address);
    }
    testbed.director.wait_for_counter("configurations_taken", 1);
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
    assert_eq!((testbed.director.counter("proxies_left"), testbed.director.counter("slices_taken")), (0, 0));
    testbed.director.signal("TERM");
    assert_eq!(testbed.director.wait_for_exit(), Some(0));
}
