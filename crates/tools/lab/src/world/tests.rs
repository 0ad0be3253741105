//! Tests of the world: determinism, the life of calls, the end of a play, and that each rule's check fires.

use super::assignments::RoutePolicy;
use super::event::{Event, ScheduledEvent};
use super::run::MAX_RUN_ON;
use super::World;
use crate::policy::Kind;
use crate::rules::Rule;
use crate::scenario::{Fault, FaultKind, Fleet, Scenario};
use coppersail::interface::RetryPolicy;
use std::collections::BinaryHeap;
use test_case::test_case;

/// A message that no director reaches, so that what it brings is never replaced.
const NEVER_REPLACED: u32 = 1 << 30;

fn small(seconds: f64, faults: Vec<Fault>) -> Scenario {
    let fleet = Fleet { hosts: 6, proxies: 6, slices: 30, cores: 2, ..Fleet::default() };
    Scenario { seconds, fleet, faults, ..Scenario::default() }
}

fn fault(at: f64, lasts: f64, what: FaultKind) -> Fault {
    Fault { at, duration: lasts, kind: what }
}

#[test]
fn one_seed_gives_two_different_plays() {
    let faults =
        || vec![fault(5.0, 5.0, FaultKind::Kill { share: 0.3 }), fault(6.0, 5.0, FaultKind::Cut { zone: 1 })];
    let played = |seed| {
        let world = World::new(&small(20.0, faults()), Kind::Module, seed).run();
        (world.measured.seconds.clone(), world.measured.jobs_by_host.clone(), world.measured.events)
    };
    assert_eq!(played(1), played(1));
    assert_ne!(played(1).0, played(2).0);
}

#[test]
fn a_call_is_lost_or_counted_twice() {
    let faults = vec![
        fault(3.0, 6.0, FaultKind::Kill { share: 0.4 }),
        fault(5.0, 5.0, FaultKind::Hang { share: 0.2 }),
        fault(8.0, 4.0, FaultKind::Flood { factor: 2.0 }),
    ];
    let world = World::new(&small(20.0, faults), Kind::Module, 3).run();
    for (at, second) in world.measured.seconds.iter().enumerate() {
        let ended = second.answered + second.throttled + second.dropped;
        assert_eq!(second.calls, ended, "second {at}: {second:?}");
    }
    assert!(world.calls.in_flight() == 0, "every place was given back");
}

#[test]
fn of_two_events_at_one_time_the_one_scheduled_last_comes_first() {
    let mut heap = BinaryHeap::new();
    for sequence in [3, 1, 2] {
        heap.push(ScheduledEvent { at: 1.0, sequence, event: Event::TablesChecked });
    }
    heap.push(ScheduledEvent { at: 0.5, sequence: 9, event: Event::TablesChecked });
    let popped: Vec<u64> = std::iter::from_fn(|| heap.pop()).map(|scheduled| scheduled.sequence).collect();
    assert_eq!(popped, [9, 1, 2, 3]);
}

#[test]
fn times_drift_over_a_hundred_thousand_seconds() {
    let mut scenario = small(100_000.0, vec![]);
    scenario.load.utilization = 0.0005;
    scenario.fleet.proxies = 2;
    let world = World::new(&scenario, Kind::Even, 1).run();
    let calls: u32 = world.measured.seconds.iter().map(|second| second.calls).sum();
    let expected = scenario.calls_per_s() * 100_000.0;
    assert!((f64::from(calls) - expected).abs() < 5.0 * expected.sqrt(), "{calls} of {expected}");
    assert_eq!(world.measured.jobs_by_host.len(), 100_001, "a sample each second");
}

#[test]
fn a_play_does_not_end_while_every_host_hangs_for_ever() {
    let faults = vec![fault(0.0, 1e9, FaultKind::Hang { share: 1.0 })];
    let world = World::new(&small(10.0, faults), Kind::Module, 1).run();
    assert!(world.now() <= 10.0 + MAX_RUN_ON + 1.0);
    assert!(world.measured.service() < 0.05);
}

fn let_the_director_know_of_a_drained_host(world: &mut World) {
    let long_ago = world.now - 60.0;
    world.directors[0].not_ready_since.insert(0, long_ago);
}

fn withdraw_all_hosts(world: &mut World) {
    for withdrawn in &mut world.assignments.withdrawn[0] {
        withdrawn.set(NEVER_REPLACED, true);
    }
    world.proxies[0].applied[0] = NEVER_REPLACED;
}

fn flood_a_fleet_in_slow_start(world: &mut World) {
    world.traffic.calls_per_second *= 40.0;
    for host in &mut world.hosts {
        host.started_at = world.now;
    }
}

fn slow_the_channel(world: &mut World) {
    world.scenario.channel.lines_per_s = 5.0;
    world.scenario.channel.max_backlog = 10.0;
}

fn retry_calls_that_may_have_run(world: &mut World) {
    for policy in &mut world.assignments.route_policies[0] {
        policy.set(NEVER_REPLACED, RoutePolicy { admitted_share: 1.0, retry: RetryPolicy::Twice });
    }
    for proxy in &mut world.proxies {
        proxy.applied[0] = NEVER_REPLACED;
    }
    for host in world.hosts.iter_mut().take(3) {
        host.slowdown = 40.0;
    }
}

#[test_case(Rule::AttemptAfterDraining, Kind::Even, let_the_director_know_of_a_drained_host)]
#[test_case(Rule::NoUsableHost, Kind::Even, withdraw_all_hosts)]
#[test_case(Rule::SlowStartOverload, Kind::Even, flood_a_fleet_in_slow_start)]
#[test_case(Rule::ChannelBacklog, Kind::LeastLoaded, slow_the_channel)]
#[test_case(Rule::DuplicateExecution, Kind::Even, retry_calls_that_may_have_run)]
fn a_violation_of_a_rule_is_not_found(rule: Rule, kind: Kind, violate: fn(&mut World)) {
    let mut scenario = small(20.0, vec![]);
    scenario.load.client_retries = 0;
    let mut world = World::new(&scenario, kind, 1);
    while world.now < 3.0 && world.step() {}
    assert!(world.rules.are_kept(), "sound until then: {:?}", world.rules.violations);
    violate(&mut world);
    let world = world.run();
    assert!(world.rules.violations.iter().any(|broken| broken.rule == rule), "{:?}", world.rules);
}

#[test]
fn a_fault_inside_a_fault_ends_with_the_other() {
    let faults = vec![
        fault(2.0, 10.0, FaultKind::Flood { factor: 2.0 }),
        fault(4.0, 2.0, FaultKind::Flood { factor: 3.0 }),
        fault(3.0, 8.0, FaultKind::ListLate { by: 4.0 }),
    ];
    let mut world = World::new(&small(20.0, faults), Kind::Module, 1);
    let mut seen = Vec::new();
    while world.step() {
        let now = (world.traffic.flood_factor, world.discovery_delay);
        if seen.last() != Some(&now) {
            seen.push(now);
        }
    }
    let expected = [(1.0, 1.0), (2.0, 1.0), (2.0, 5.0), (6.0, 5.0), (2.0, 5.0), (2.0, 1.0), (1.0, 1.0)];
    assert_eq!(seen, expected);
}
