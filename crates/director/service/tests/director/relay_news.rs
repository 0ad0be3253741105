//! Update streams of the relay that break, and updates that are invalid.

use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(false ; "that break")]
#[test_case(true ; "that time out")]
fn lost_update_streams_are_reopened_and_reconciled(silent: bool) {
    let testbed = Testbed::with_tables();
    testbed.relay.wait_until("the standby update stream is open", |relay| relay.subscribe_requests >= 2);
    testbed.relay.update(|relay| {
        // While no update is sent, a proxy leaves, one slice is revoked, and the table of the other is changed.
        relay.is_mute = true;
        relay.proxies.remove(&3);
        relay.slices.remove(&1);
        relay.slices.insert(0, [("s-3".to_string(), 1.0)].into());
        if !silent {
            relay.close_update_streams();
        }
    });
    testbed.director.wait_for_counter("news_lost", 2);
    testbed.relay.update(|relay| relay.is_mute = false);
    testbed.director.wait_for_counter("slices_taken", 1);
    testbed.director.wait_for_counter("proxies_left", 1);
    testbed
        .relay
        .wait_until("the changed table has a second line again", |relay| relay.slices[&0].len() == 2);
    assert_eq!(
        testbed.director.counter("slices_given"),
        3,
        "only the slice of the changed table is reported as assigned again"
    );
}

#[test]
fn breaking_one_of_two_update_streams_loses_no_update() {
    let testbed = Testbed::with_tables();
    testbed.relay.wait_until("the standby update stream is open", |relay| relay.subscribe_requests >= 2);
    testbed.director.wait_for_counter("news_lines", 16);
    testbed.relay.update(|relay| relay.close_first_update_stream());
    testbed.director.wait_for_counter("news_lost", 1);
    testbed.relay.update(|relay| {
        relay.proxies.insert(4);
        relay.send_update("* hello 4 a 5.0 1");
    });
    testbed.director.wait_for_counter("proxies_joined", 4);
    assert_eq!((testbed.director.counter("slices_given"), testbed.director.counter("proxies_left")), (2, 0));
}

#[test_case("* hello 99999 a 1 1" ; "a proxy number out of range")]
#[test_case("* lea" ; "truncated")]
fn an_invalid_update_closes_its_stream_which_is_reopened(line: &str) {
    let testbed = Testbed::with_tables();
    testbed.relay.update(|relay| relay.send_update(line));
    testbed.director.wait_for_counter("news_bad", 1);
    testbed.relay.wait_until("the stream is reopened", |relay| relay.subscribe_requests >= 3);
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
}

#[test_case("* hello 2 nowhere 1 1" ; "an unknown zone")]
#[test_case("* hello 9 a 1 1" ; "an unknown proxy")]
#[test_case("* lease 2 1" ; "an unknown slice")]
fn an_update_that_names_something_unknown_is_ignored(line: &str) {
    let testbed = Testbed::with_tables();
    testbed.relay.update(|relay| relay.send_update(line));
    testbed.director.wait_for_counter("news_bad", 1);
    testbed.director.wait_for_log("relay: update ignored: field ");
    assert_eq!(testbed.director.counter("news_lost"), 0);
}
