//! Connections to the director: invalid lines, peers that do not join, and floods of them.

use crate::fixtures::ATTEMPTS_REPORT;
use crate::testbed::Testbed;
use test_case::test_case;

#[test_case(b"{not json" ; "not JSON")]
#[test_case(b"\xff\xfe\x00" ; "not UTF-8")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"s-1"}"# ; "fields missing")]
#[test_case(br#"{"msg":"agent","az":"nowhere"}"# ; "an unknown zone")]
#[test_case(br#"{"msg":"outcomes","az":"a","host":"s-9","n":1,"bad":0,"avg":1.0,"window":1.0}"# ; "an unknown host")]
#[test_case(br#"{"msg":"hot","partition":0,"kind":"other","n":1,"bad":0,"window":1.0}"# ; "an unknown route")]
#[test_case(br#"{"msg":"hot","partition":2,"kind":"lookup","n":1,"bad":0,"window":1.0}"# ; "an unknown slice")]
#[test_case(br#"{"msg":"hot","partition":0,"kind":"lookup","n":"one","bad":0,"window":1.0}"# ; "a wrong type")]
#[test_case(br#"{"msg":"gossip"}"# ; "an unknown kind")]
fn an_invalid_line_of_a_collector_is_skipped(line: &[u8]) {
    let testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    collector.send_line(line);
    collector.send_line(ATTEMPTS_REPORT.as_bytes());
    testbed.director.wait_for_counter("sums_of_tries", 1);
    assert_eq!(
        (testbed.director.counter("lines_bad"), testbed.director.counter("collectors_dropped")),
        (1, 0)
    );
    testbed.director.wait_for_log("collector: line ignored: ");
}

#[test]
fn invalid_figures_of_a_load_report_are_ignored_and_the_report_is_used() {
    let testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    collector.send_line(ATTEMPTS_REPORT.replace("30.0", "\"slow\"").as_bytes());
    testbed.director.wait_for_counter("sums_of_tries", 1);
    assert_eq!(testbed.director.counter("load_figures_odd"), 1);
    testbed.director.wait_for_log("load report: 1 figures ignored");
}

#[test]
fn a_flood_of_connections_that_do_not_join_affects_no_collector_and_no_probe() {
    let testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    // More connections than descriptors: every third sends half a message, the others send nothing.
    let mut unjoined_peers: Vec<_> = (0..400).map(|_| testbed.connect()).collect();
    for peer in unjoined_peers.iter_mut().step_by(3) {
        peer.send_bytes(b"{\"msg\":");
    }
    assert!(testbed.connect().is_answered(), "a new probe is answered");
    let mut second = testbed.connect_collector();
    assert!(testbed.director.open_descriptors() < 250);
    for peer in &mut unjoined_peers {
        assert!(peer.is_closed(), "every peer that does not join is disconnected");
    }
    collector.send_line(ATTEMPTS_REPORT.as_bytes());
    second.send_line(ATTEMPTS_REPORT.as_bytes());
    testbed.director.wait_for_counter("sums_of_tries", 2);
    assert_eq!(testbed.director.counter("collectors_dropped"), 0);
    assert_eq!(
        testbed.director.counter("strangers_dropped") + testbed.director.counter("connections_ended"),
        401
    );
    testbed.director.wait_for_log("unjoined peer: connection closed: ");
}

#[test_case(b"GET / HTTP/1.1\r\n" ; "HTTP")]
#[test_case(ATTEMPTS_REPORT.as_bytes() ; "a report before joining")]
#[test_case(br#"{"msg":"hello","sidecar":1,"az":"a","share":1.0,"standing":true}"# ; "a proxy")]
#[test_case(br#"{"msg":"agent","az":"nowhere"}"# ; "an unknown zone")]
fn a_connection_that_does_not_join_is_closed(line: &[u8]) {
    let testbed = Testbed::with_tables();
    let mut peer = testbed.connect();
    peer.send_line(line);
    assert!(peer.is_closed());
    assert_eq!(
        (testbed.director.counter("sums_of_tries"), testbed.director.counter("strangers_dropped")),
        (0, 1)
    );
}

#[test]
fn a_connection_that_never_ends_its_line_is_closed() {
    let testbed = Testbed::with_tables();
    let mut peer = testbed.connect();
    while peer.send_bytes(&[b' '; 1000]) {}
    assert!(testbed.connect().is_answered());
}

#[test]
fn a_collector_that_turns_unreadable_is_closed_and_may_reconnect() {
    let testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    collector.send_bytes(&[1; 40_000]);
    assert!(collector.is_closed());
    testbed.connect_collector().send_line(ATTEMPTS_REPORT.as_bytes());
    testbed.director.wait_for_counter("sums_of_tries", 1);
}

#[test]
fn a_line_that_arrives_in_pieces_is_read() {
    let testbed = Testbed::with_tables();
    let mut collector = testbed.connect_collector();
    let (head, tail) = ATTEMPTS_REPORT.as_bytes().split_at(31);
    assert!(
        collector.send_bytes(head)
            && testbed.connect().is_answered()
            && collector.send_bytes(tail)
            && collector.send_bytes(b"\n")
    );
    testbed.director.wait_for_counter("sums_of_tries", 1);
}
