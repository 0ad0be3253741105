//! Probes whose connection breaks or that are answered with an error.

use crate::testbed::Testbed;
use test_case::test_case;

#[test]
fn a_probe_whose_connection_breaks_is_retried_once() {
    let testbed = Testbed::with_tables();
    let requests_before = testbed.host.update(|host| {
        host.connections_to_break = 1;
        host.requested_paths.len()
    });
    testbed.host.wait_until("further probes", |host| host.requested_paths.len() >= requests_before + 8);
    testbed.director.wait_for_counter("probes_answered", 6);
    assert_eq!(testbed.director.counter("probes_broken"), 0);
    testbed.host.update(|host| host.connections_to_break = usize::MAX);
    testbed.director.wait_for_counter("probes_broken", 1);
}

#[test_case(500, "probes_failed" ; "an error")]
#[test_case(503, "probes_throttled" ; "throttled")]
fn failed_probes_are_counted_by_status(status: u16, counter: &str) {
    let testbed = Testbed::with_tables();
    testbed.host.update(|host| host.status = status);
    testbed.director.wait_for_counter(counter, 1);
}
