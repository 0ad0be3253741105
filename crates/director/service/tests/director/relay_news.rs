//! News of the relay that are lost or invalid.

use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(false ; "that break")]
#[test_case(true ; "that fall silent")]
fn news_connections_that_are_lost_are_reopened_and_reconciled(silent: bool) {
    let testbed = Testbed::with_tables();
    testbed.relay.wait_until("a second connection stands by", |relay| relay.news_requests >= 2);
    testbed.relay.update(|relay| {
        // While nobody hears it: a proxy leaves, a slice goes, another is changed elsewhere and comes back.
        relay.is_mute = true;
        relay.proxies.remove(&3);
        relay.slices.remove(&1);
        relay.slices.insert(0, [("s-3".to_string(), 1.0)].into());
        if !silent {
            relay.close_news_connections();
        }
    });
    testbed.director.wait_for_counter("news_lost", 2);
    testbed.relay.update(|relay| relay.is_mute = false);
    testbed.director.wait_for_counter("slices_taken", 1);
    testbed.director.wait_for_counter("proxies_left", 1);
    testbed
        .relay
        .wait_until("the changed slice has a second line again", |relay| relay.slices[&0].len() == 2);
    assert_eq!(testbed.director.counter("slices_given"), 3, "only the changed one is given anew");
}

#[test]
fn one_of_two_news_connections_that_breaks_loses_no_news() {
    let testbed = Testbed::with_tables();
    testbed.relay.wait_until("a second connection stands by", |relay| relay.news_requests >= 2);
    testbed.director.wait_for_counter("news_lines", 16);
    testbed.relay.update(|relay| relay.close_first_news_connection());
    testbed.director.wait_for_counter("news_lost", 1);
    testbed.relay.update(|relay| {
        relay.proxies.insert(4);
        relay.send_news("* hello 4 a 5.0 1");
    });
    testbed.director.wait_for_counter("proxies_joined", 4);
    assert_eq!((testbed.director.counter("slices_given"), testbed.director.counter("proxies_left")), (2, 0));
}

#[test_case("* hello 99999 a 1 1" ; "a number too high")]
#[test_case("* lea" ; "cut off")]
fn invalid_news_cost_their_connection(line: &str) {
    let testbed = Testbed::with_tables();
    testbed.relay.update(|relay| relay.send_news(line));
    testbed.director.wait_for_counter("news_bad", 1);
    testbed.relay.wait_until("news are asked for again", |relay| relay.news_requests >= 3);
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
}

#[test_case("* hello 2 nowhere 1 1" ; "an unknown zone")]
#[test_case("* hello 9 a 1 1" ; "an unknown proxy")]
#[test_case("* lease 2 1" ; "an unknown slice")]
fn news_that_name_something_unknown_cost_only_themselves(line: &str) {
    let testbed = Testbed::with_tables();
    testbed.relay.update(|relay| relay.send_news(line));
    testbed.director.wait_for_counter("news_bad", 1);
    testbed.director.wait_for_log("relay: update ignored: field ");
    assert_eq!(testbed.director.counter("news_lost"), 0);
}
