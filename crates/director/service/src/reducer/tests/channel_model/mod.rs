//! The decisions and the call queue together with a simple model of the channel: a queue of messages that pass one
//! after the other, at a speed that the director does not know. Whatever happens to calls, acknowledgements and
//! proxies, the lines that are queued in the channel stay within the backlog, and every withdrawal is sent.

mod channel;
mod random;
mod run;
mod scenario;

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use run::run;
use scenario::{any_scenario, Exodus, FaultOdds, Scenario, MAX_MESSAGES, NO_FAULTS};
use test_case::test_case;

/// Maximum length of a call in bytes, including the text around its orders.
const MAX_CALL_BYTES: usize = coppersail_protocol::relay::MAX_CALL_BYTES + "txn \r\n".len();
/// Length of host names with which the orders of a takeover exceed a call.
const LONG_NAME: usize = 3000;
/// Host names below this length cause no call to be split by its length.
const SHORT_NAME: usize = 100;

/// A runner of this many scenarios, which are the same in each run.
fn runner(cases: u32) -> TestRunner {
    let cases = Cases { cases, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn faults_of_relay_and_channel_never_exceed_the_backlog() {
    let result = runner(24).run(&any_scenario(), |scenario| {
        let measured = run(&scenario);
        let backlog = scenario.backlog();
        prop_assert!(measured.max_queued_lines <= backlog, "{measured:?}, the backlog is {backlog}");
        prop_assert!(!scenario.limits_messages || measured.max_messages <= MAX_MESSAGES, "{measured:?}");
        prop_assert!(measured.missed.is_empty(), "{measured:?}");
        prop_assert!(measured.longest_call <= MAX_CALL_BYTES, "{measured:?}");
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn retries_on_a_slow_channel_keep_to_the_backlog() {
    let scenario = Scenario::slow_and_corrupt();
    let measured = run(&scenario);
    assert!(measured.max_queued_lines <= scenario.backlog(), "{measured:?}");
    assert!(measured.max_queued_lines > 0.5 * scenario.backlog(), "{measured:?}");
    assert!(measured.missed.is_empty(), "{measured:?}");
}

/// Shows that the check can fail: a director that is configured with twice the backlog exceeds the true one.
#[test]
fn overstated_backlog_is_detected_by_the_model() {
    let scenario = Scenario { stated_backlog: 2.0, ..Scenario::slow_and_corrupt() };
    assert!(run(&scenario).max_queued_lines > scenario.backlog());
}

fn release(seed: u64, proxies: u16) -> Scenario {
    Scenario::calm(seed, proxies, NO_FAULTS)
}

fn faulty_release(seed: u64, odds: FaultOdds) -> Scenario {
    Scenario::calm(seed, 1600, odds)
}

fn exodus(at: f64, percent: u32, away_s: f64) -> Vec<Exodus> {
    vec![Exodus { at, percent, away_s }]
}

// At the size of a large fleet, and unless the scenario says otherwise on a channel with the configured speed: drains
// are ordered in time whatever else happens.
#[test_case(Scenario { exoduses: exodus(4.0, 100, 0.2), update_delay_s: 0.05, ..release(1, 1600) }, 1.0 ; "all proxies come back within a second")]
#[test_case(Scenario { stream_breaks: vec![4.7], ..release(2, 1600) }, 1.0 ; "the update streams break in the middle of the release")]
#[test_case(faulty_release(3, FaultOdds { broken: 30, ..NO_FAULTS }), 2.0 ; "a third of the calls are reset")]
#[test_case(Scenario { exoduses: exodus(4.0, 70, 1.5), ..faulty_release(4, FaultOdds { corrupt: 20, ..NO_FAULTS }) }, 2.0 ; "seven in ten proxies are away and answers are corrupt")]
#[test_case(Scenario { takeover: Some(4.6), ..release(5, 1600) }, 1.0 ; "all slices of four other directors are assigned as well")]
#[test_case(Scenario { takeover: Some(4.6), speeds: vec![1.0, 1.0, 0.5, 0.25, 0.25], ..release(6, 1600) }, 2.0 ; "the same on a slow channel")]
#[test_case(Scenario { takeover: Some(15.1), faults_end: 16.0, end: 20.0, ..release(7, 400) }, 1.0 ; "assigned slices name hosts that left long ago")]
#[test_case(Scenario { takeover: Some(4.6), handback: Some(7.3), ..release(8, 400) }, 1.0 ; "slices are assigned and revoked")]
#[test_case(Scenario { restart: Some(6.3), ..release(9, 400) }, 1.0 ; "the director restarts")]
#[test_case(Scenario { takeover: Some(4.6), host_name_len: LONG_NAME, ..release(10, 400) }, 2.0 ; "calls are split by their length")]
fn drains_are_ordered_in_time_despite_faults_elsewhere(scenario: Scenario, max_delay_s: f64) {
    let measured = run(&scenario);
    assert!(measured.max_queued_lines <= scenario.backlog(), "{measured:?}");
    assert!(measured.missed.is_empty(), "{measured:?}");
    // Half of the time that a drain has, so that the order can also reach the proxies. The bound is larger where
    // calls are reset or their answers are unreadable, and on a slow channel.
    assert!(measured.slowest_drain_s > 0.0, "{measured:?}");
    assert!(measured.slowest_drain_s <= max_delay_s, "{measured:?}");
    assert!(measured.longest_call <= MAX_CALL_BYTES, "{measured:?}");
    // With long names, the orders of a takeover exceed a call, so the longest call must be full.
    let is_full = measured.longest_call > MAX_CALL_BYTES - 2 * scenario.host_name_len;
    assert!(scenario.host_name_len < SHORT_NAME || is_full, "{measured:?}");
}
