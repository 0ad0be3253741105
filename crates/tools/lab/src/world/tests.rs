use super::*;
use crate::scenario::{Fault, Fleet, What};
use test_case::test_case;

fn small(seconds: f64, faults: Vec<Fault>) -> Scenario {
    let fleet = Fleet { hosts: 6, proxies: 6, slices: 30, cores: 2, ..Fleet::default() };
    Scenario { seconds, fleet, faults, ..Scenario::default() }
}

fn fault(at: f64, lasts: f64, what: What) -> Fault {
    Fault { at, lasts, what }
}

#[test]
fn a_seed_tells_everything() {
    let faults = || vec![fault(5.0, 5.0, What::Kill { share: 0.3 }), fault(6.0, 5.0, What::Cut { zone: 1 })];
    let played = |seed| {
        let world = World::new(&small(20.0, faults()), Kind::Module, seed).run();
        (world.measured.seconds.clone(), world.measured.heat.clone(), world.measured.events)
    };
    assert_eq!(played(1), played(1));
    assert_ne!(played(1).0, played(2).0);
}

#[test]
fn calls_are_neither_lost_nor_doubled() {
    let faults = vec![
        fault(3.0, 6.0, What::Kill { share: 0.4 }),
        fault(5.0, 5.0, What::Hang { share: 0.2 }),
        fault(8.0, 4.0, What::Flood { factor: 2.0 }),
    ];
    let world = World::new(&small(20.0, faults), Kind::Module, 3).run();
    for (at, second) in world.measured.seconds.iter().enumerate() {
        let ended = second.answered + second.throttled + second.dropped;
        assert_eq!(second.calls, ended, "second {at}: {second:?}");
    }
    assert!(world.free.len() == world.calls.len(), "every place was given back");
}

#[test]
fn of_two_events_at_one_time_the_one_planned_first_comes_first() {
    let mut heap = BinaryHeap::new();
    for order in [3, 1, 2] {
        heap.push(Planned { at: 1.0, order, event: Event::Look });
    }
    heap.push(Planned { at: 0.5, order: 9, event: Event::Look });
    let popped: Vec<u64> = std::iter::from_fn(|| heap.pop()).map(|planned| planned.order).collect();
    assert_eq!(popped, [9, 1, 2, 3]);
}

#[test]
fn a_hundred_thousand_seconds_do_not_drift() {
    let mut scenario = small(100_000.0, vec![]);
    (scenario.load.fill, scenario.fleet.proxies) = (0.0005, 2);
    let world = World::new(&scenario, Kind::Even, 1).run();
    let calls: u32 = world.measured.seconds.iter().map(|second| second.calls).sum();
    let expected = scenario.calls_per_s() * 100_000.0;
    assert!((f64::from(calls) - expected).abs() < 5.0 * expected.sqrt(), "{calls} of {expected}");
    assert_eq!(world.measured.heat.len(), 100_001, "a sample each second");
}

#[test]
fn a_scenario_that_can_never_finish_ends() {
    // Every host hangs for ever: calls are given up, and the world ends.
    let world =
        World::new(&small(10.0, vec![fault(0.0, 1e9, What::Hang { share: 1.0 })]), Kind::Module, 1).run();
    assert!(world.now() <= 10.0 + AFTER + 1.0);
    assert!(world.measured.service() < 0.05);
}

#[test_case(Rule::Drained, Kind::Even, |w: &mut World| { let t = w.now; w.directors[0].told_gone.insert(0, t - 60.0); } ; "tries at a host that is known to drain")]
#[test_case(Rule::NoHost, Kind::Even, |w: &mut World| { w.outs[0].iter_mut().for_each(|out| out.set(1 << 30, true)); w.proxies[0].applied[0] = 1 << 30; } ; "all hosts shut out")]
#[test_case(Rule::PushedOver, Kind::Even, |w: &mut World| { let t = w.now; w.rate *= 40.0; w.hosts.iter_mut().for_each(|h| h.born = t); } ; "all cold under a flood")]
#[test_case(Rule::Queue, Kind::LeastLoaded, |w: &mut World| { w.scenario.channel.lines_per_s = 5.0; w.scenario.channel.backlog = 10.0; } ; "a channel that is slow")]
#[test_case(Rule::Twice, Kind::Even, |w: &mut World| { w.levels[0].iter_mut().for_each(|l| l.set(1 << 30, (1.0, 3))); w.proxies.iter_mut().for_each(|p| p.applied[0] = 1 << 30); w.hosts.iter_mut().take(3).for_each(|h| h.slow = 40.0); } ; "further tries of calls that may have run")]
fn each_checker_fires_in_a_world_that_breaks_its_rule(rule: Rule, kind: Kind, spoil: fn(&mut World)) {
    let mut scenario = small(20.0, vec![]);
    scenario.load.again = 0;
    let mut world = World::new(&scenario, kind, 1);
    while world.now < 3.0 && world.step() {}
    assert!(world.rules.kept(), "sound until then: {:?}", world.rules.broken);
    spoil(&mut world);
    let world = world.run();
    assert!(world.rules.broken.iter().any(|broken| broken.rule == rule), "{:?}", world.rules);
}

#[test]
fn a_fault_inside_a_fault_ends_with_its_own_time() {
    let faults = vec![
        fault(2.0, 10.0, What::Flood { factor: 2.0 }),
        fault(4.0, 2.0, What::Flood { factor: 3.0 }),
        fault(3.0, 8.0, What::ListLate { by: 4.0 }),
    ];
    let mut world = World::new(&small(20.0, faults), Kind::Module, 1);
    let mut seen = Vec::new();
    while world.step() {
        let now = (world.flood, world.list_late);
        if seen.last() != Some(&now) {
            seen.push(now);
        }
    }
    let expected = [(1.0, 1.0), (2.0, 1.0), (2.0, 5.0), (6.0, 5.0), (2.0, 5.0), (2.0, 1.0), (1.0, 1.0)];
    assert_eq!(seen, expected);
}
