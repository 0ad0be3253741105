//! The capacity guard: changes and tables that would overload the remaining hosts are refused or moderated.

use crate::fixtures::{GUARDED_FILE, OPERATOR_FILE};
use crate::stand_ins::{RelayStandIn, WAIT_TIMEOUT};
use crate::testbed::{Callers, Collector, Testbed};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between the reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports `calls` calls in a tenth of a second at each host, and three in its queue.
fn report_hosts(collector: &mut Collector, hosts: &[&str], calls: u64) {
    for host in hosts {
        let line = format!(
            r#"{{"msg":"outcomes","az":"a","host":"{host}","n":{calls},"bad":0,"avg":40.0,"window":100.0,"report":{{"q":3.0,"lat_ms":30.0}}}}"#
        );
        collector.send_line(line.as_bytes());
    }
}

#[test]
fn a_drain_that_leaves_too_little_capacity_is_refused() {
    let testbed = Testbed::with_operator_file_and_tables(6, GUARDED_FILE);
    // Six slices with 200 calls a second each. At most 500 calls a second were observed at a host, with a queue.
    let _callers = Callers::start(&testbed, |_, _| 0);
    let mut collector = testbed.connect_collector();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let both = r#"{"hosts.s-1.drained":true,"hosts.s-2.drained":true}"#;
    let refused = loop {
        report_hosts(&mut collector, &["s-1", "s-2", "s-3"], 50);
        let submission =
            format!(r#"{{"base":0,"who":"op","why":"test","edits":{both},"trial":0,"draft":true}}"#);
        let answer = testbed.admin_request(&format!(r#"{{"do":"submit","submission":{submission}}}"#));
        if answer["is"] == "refused" {
            break answer["why"].to_string();
        }
        // The call rate and the hosts' capacity are known only after a few reports.
        assert!(Instant::now() < deadline, "not refused");
        std::thread::park_timeout(REPORT_INTERVAL);
    };
    assert!(refused.contains("calls a second") && refused.contains("come"), "{refused}");
}

#[test]
fn a_relay_whose_tables_overload_one_host_is_corrected_through_the_guard() {
    let testbed = Testbed::with_operator_file_and_tables(12, GUARDED_FILE);
    // The director's correction of tables that load one host with everything is sent, as it is less harmful.
    testbed.relay.update(|relay| {
        for slice in 0..12 {
            relay.slices.insert(slice, [("s-1".to_string(), 1.0)].into());
        }
        relay.close_update_streams();
    });
    testbed.relay.wait_until("all slices have two lines again", |relay| relay.all_tables_have(2));
    assert!(testbed.director.counter("guard_judged") > 0);
    testbed.relay.update(|relay| {
        let owned = |host: &str| (0..12).filter(|slice| relay.heaviest_host(*slice) == host).count();
        assert!(owned("s-1") < 12, "the rebalancer has spread the slices, and the guard has permitted it");
    });
}

#[test]
fn a_change_may_switch_the_guard_to_watch_mode_which_refuses_nothing() {
    let testbed = Testbed::with_operator_file_and_tables(6, OPERATOR_FILE);
    assert_eq!(testbed.director.counter("guard_judged"), 0);
    let watch = testbed.submit_change(0, 0.0, r#"{"guard.mode":"watch"}"#).unwrap();
    testbed.wait_for_stage(watch, "kept");
    let drain = testbed.submit_change(watch, 0.0, r#"{"hosts.s-2.drained":true}"#).unwrap();
    testbed.wait_for_stage(drain, "kept");
    testbed.director.wait_for_counter("guard_judged", 1);
    assert_eq!(testbed.director.counter("guard_refused"), 0, "a harmless drain is not refused");
}

/// The rate of calls that proxies send to a host by the current tables: each slice's calls are divided by the weights
/// of the hosts that are not withdrawn.
///
/// A table of one line is set by the relay and not counted. How long it remains depends on the load of the machine,
/// which would make the test flaky, and the director cannot prevent the calls that are sent by it.
fn call_rate_of(host: &str, relay: &RelayStandIn, calls_per_s: f64) -> f64 {
    let tables = relay.slices.values().filter(|lines| lines.len() > 1);
    let rates = tables.map(|lines| {
        let open = || lines.iter().filter(|(name, _)| !relay.withdrawn.contains(*name));
        let total: f64 = open().map(|(_, weight)| weight).sum();
        let own: f64 = open().filter(|(name, _)| *name == host).map(|(_, weight)| weight).sum();
        let share = if total > 0.0 { own / total } else { 0.0 };
        share * calls_per_s
    });
    rates.sum()
}

const RATE_SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Samples in half a second.
const RATE_SAMPLES: usize = 20;

/// The highest rate of calls to a host while `act` runs, in calls per second as a mean over half a second.
fn peak_call_rate(testbed: &Testbed, host: &'static str, calls_per_s: f64, act: impl FnOnce()) -> f64 {
    let is_sampling = Arc::new(AtomicBool::new(true));
    let continues = is_sampling.clone();
    let relay = testbed.relay.clone();
    let sampler = std::thread::spawn(move || {
        let mut samples = VecDeque::new();
        let mut peak = 0.0_f64;
        while continues.load(Ordering::Relaxed) {
            samples.push_back(relay.update(|relay| call_rate_of(host, relay, calls_per_s)));
            if samples.len() > RATE_SAMPLES {
                samples.pop_front();
            }
            if samples.len() == RATE_SAMPLES {
                peak = peak.max(samples.iter().sum::<f64>() / RATE_SAMPLES as f64);
            }
            std::thread::park_timeout(RATE_SAMPLE_INTERVAL);
        }
        peak
    });
    act();
    is_sampling.store(false, Ordering::Relaxed);
    sampler.join().unwrap()
}

#[test]
fn no_host_is_overloaded_by_a_bad_weight_a_bad_relay_or_the_rebalancer() {
    let testbed = Testbed::with_operator_file_and_tables(12, GUARDED_FILE);
    let six = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    let line = testbed.full_host_list(2, &six);
    testbed.discovery.update(|discovery| {
        discovery.first_line = line.clone();
        discovery.send_line(&line);
    });
    let _callers = Callers::start(&testbed, |_, _| 0);
    let mut collector = testbed.connect_collector();
    // 12 slices with 200 calls a second each. 800 calls a second were observed at a host, with a queue.
    let report_for = |collector: &mut Collector, count: usize| {
        for _ in 0..count {
            report_hosts(collector, &six, 80);
            std::thread::park_timeout(REPORT_INTERVAL);
        }
    };
    report_for(&mut collector, 30);
    let peak = peak_call_rate(&testbed, "s-3", 200.0, || {
        // A weight that would load one host with most of the calls, and tables of the relay that name only one host.
        let _ = testbed.submit_change(0, 0.0, r#"{"hosts.s-3.weight":50}"#);
        report_for(&mut collector, 20);
        testbed.relay.update(|relay| {
            for slice in 0..6 {
                relay.slices.insert(slice, [("s-1".to_string(), 1.0)].into());
            }
            relay.close_update_streams();
        });
        report_for(&mut collector, 30);
        testbed.relay.wait_until("the relay's tables are the director's again", |relay| {
            relay.slices.values().all(|lines| lines.len() > 1)
        });
    });
    // The host would get 2,182 calls a second if it had all slices. Its bound is 1.25 times its capacity, that is
    // 1,000; a batch that is refused repeatedly is sent if it exceeds the bound by at most a quarter; and the rates
    // of slices are known to a tenth. Six hosts are needed, because with three, each of which may have twice its fair
    // share, the limit would be too close to the rate of all slices.
    assert!(peak <= 1_375.0, "{peak}");
    assert!(testbed.director.counter("guard_judged") > 0);
}
