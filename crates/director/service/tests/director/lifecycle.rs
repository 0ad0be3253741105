//! Start, exit and restart of a director, and a fleet of the largest size.

use crate::fixtures::ATTEMPTS_REPORT;
use crate::testbed::{host_list, DirectorConfig, DirectorProcess, Testbed};
use std::path::Path;
use test_case::test_case;

#[test]
fn a_director_serves_collectors_discovery_and_hosts_and_ends_on_sigterm() {
    let mut testbed = Testbed::with_tables();
    let mut collector = testbed.connect();
    assert!(collector.is_answered(), "a probe is answered on any connection");
    collector.send_line(br#"{"msg":"agent","az":"a"}"#);
    collector.send_line(ATTEMPTS_REPORT.as_bytes());
    collector.send_line(br#"{"msg":"hot","partition":1,"kind":"lookup","n":4,"bad":0,"window":1000.0}"#);
    testbed.director.wait_for_counter("sums_of_calls", 1);
    assert_eq!((testbed.director.counter("sums_of_tries"), testbed.director.counter("zones_named")), (1, 1));
    testbed.discovery.wait_until("a watch from the version of the cached list", |discovery| {
        discovery.requested_paths.iter().any(|path| path == "/v1/endpoints?follow=1&since=1")
    });
    testbed.host.wait_until("a probe that requests the load", |host| {
        host.requested_paths.iter().any(|path| path == "/status/load")
    });
    testbed.director.wait_for_counter("probes_answered", 3);
    testbed.director.signal("TERM");
    assert_eq!(testbed.director.wait_for_exit(), Some(0));
    testbed.director.wait_for_log(" counters connections_taken=1 ");
}

#[test_case("{", "{\"name\":", "configuration: " ; "truncated")]
#[test_case("\"relay\"", "\"relais\"", "field relay.address" ; "no relay")]
#[test_case("\"seed\":\"8", "\"seed\":\"x", "field seed" ; "a seed that is not a number")]
#[test_case("\"slices\":2", "\"slices\":\"many\"", "field settings.specifics.slices" ; "a word for a number")]
#[test_case("\"slices\":2", "\"slices\":65536", "specifics.slices: 65536, expected 65535 at most" ; "more slices than have numbers")]
#[test_case("\"proxy-count\":5", "\"proxy-count\":70000", "specifics.proxy-count: 70000, expected 65536 at most" ; "more proxies than have numbers")]
#[test_case("\"known\":{", "\"known\":7,\"old\":{", "field known" ; "a list that is a number")]
fn an_unusable_configuration_at_the_start_gets_one_line_and_status_2(
    valid: &str,
    invalid: &str,
    expected: &str,
) {
    let at = "127.0.0.1:0".parse().unwrap();
    let text = DirectorConfig::new(at, at, at, host_list(1, true, &[])).to_json().replacen(valid, invalid, 1);
    let path =
        std::env::temp_dir().join(format!("coppersail-{}-{}.json", std::process::id(), expected.len()));
    std::fs::write(&path, text).unwrap();
    let mut director = DirectorProcess::spawn(&path);
    assert_eq!(director.wait_for_exit(), Some(2));
    director.log.wait_until(expected, |lines| lines.iter().any(|line| line.contains(expected)));
    assert_eq!(director.log.update(|lines| lines.len()), 1);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_missing_configuration_at_the_start_gets_one_line_and_status_2() {
    let mut director = DirectorProcess::spawn(Path::new("/nonexistent/config.json"));
    assert_eq!(director.wait_for_exit(), Some(2));
    director.log.wait_until("the path", |lines| lines.iter().any(|line| line.contains("EDGE_CONFIG: ")));
}

#[test]
fn a_killed_director_keeps_its_tables_when_it_restarts() {
    let mut testbed = Testbed::with_tables();
    testbed.restart_director();
    assert!(testbed.connect().is_answered());
    testbed.director.wait_for_counter("slices_given", 2);
    testbed.director.wait_for_log("2 slices laid");
    assert_eq!(testbed.director.counter("orders_given"), 0, "the relay's tables are kept");
    testbed.update_host(2, "s-1", "terminating");
    testbed.relay.wait_until("s-1 is withdrawn", |relay| relay.withdrawn.contains("s-1"));
}

#[test]
fn an_unread_log_does_not_block_the_director() {
    let testbed = Testbed::with_tables();
    assert!(testbed.connect().is_answered());
    let blocked = testbed.director.log.block();
    // Each signal requests a line of about a kilobyte; together they are far more than a pipe buffers.
    for _ in 0..150 {
        testbed.director.signal("USR1");
        assert!(testbed.connect().is_answered(), "it continues to serve");
    }
    drop(blocked);
    testbed.director.wait_for_counter("alive_answers", 151);
}

/// The size of the largest supported fleet, which every internal limit must allow, with one director's share of the
/// slices.
#[test]
fn a_thousand_hosts_and_directors_and_five_thousand_proxies_are_served() {
    let testbed = Testbed::with_fleet(1024, 5000, 8);
    testbed.director.wait_for_log("n0 serves");
    let mut collector = testbed.connect_collector();
    testbed.director.wait_for_counter("proxies_joined", 5000);
    for _ in 0..2 {
        for n in 1..=1024 {
            collector.send_line(ATTEMPTS_REPORT.replace("s-1", &format!("s-{n}")).as_bytes());
        }
    }
    testbed.director.wait_for_counter("sums_of_tries", 2048);
    testbed.relay.wait_until("all slices have two lines", |relay| relay.all_tables_have(2));
    testbed.director.wait_for_counter("probes_answered", 1024);
    testbed.update_host(2, "s-7", "terminating");
    testbed.relay.wait_until("s-7 is withdrawn", |relay| relay.withdrawn.contains("s-7"));
    let (memory, descriptors) = (testbed.director.peak_memory_mb(), testbed.director.open_descriptors());
    assert!(memory < 192.0 && descriptors < 2048, "{memory} MB, {descriptors} descriptors");
    println!("{memory:.1} MB, {descriptors} descriptors");
}
