//! Verdicts of the guard: constructed cases, and a few thousand generated cases that are compared with an
//! oracle.

#[path = "../examples/model/mod.rs"]
mod model;

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::*;
use model::{after_proposal, is_unsafe, less, severity, Case, World};
use std::collections::BTreeMap;
use test_case::test_case;

const NOW: f64 = 100.0;

fn id(n: u32) -> HostId {
    HostId(n)
}

fn capacity_model() -> CapacityModel {
    let capacity = Some(Estimate { low: 8.0, middle: 10.0 });
    CapacityModel { cold_capacity_share: 0.2, slow_start_duration: 10.0, collapse_multiple: 2.5, capacity }
}

/// A guard with this number of warm hosts in two zones, and as many slices with four calls per second. Slice
/// n is on hosts n and n + 1.
fn guard(hosts: u32) -> Guard {
    let host = |n| (id(n), Host { zone: ZoneId((n % 2) as u16), ..Host::default() });
    let table = |n: u32| {
        let weights = BTreeMap::from([(id(n), 1.0), (id((n + 1) % hosts), 1.0)]);
        (SliceId(n as u16), Table { demand: vec![3.0, 1.0], weights })
    };
    let pool = Pool { hosts: (0..hosts).map(host).collect(), capacity_model: capacity_model() };
    Guard::new(pool, &(0..hosts).map(table).collect(), 2)
}

fn set_weight(slice: u16, host: u32, weight: f64) -> Order {
    Order::SetWeight { slice: SliceId(slice), host: id(host), weight }
}

fn refused(verdict: Verdict) -> Findings {
    match verdict {
        Verdict::Refused(refused) => refused,
        verdict => panic!("{verdict:?}"),
    }
}

fn leaves(host: u32, at: f64) -> PendingEvent {
    PendingEvent { at, host: id(host), event: HostEvent::Leaves }
}

#[test]
fn a_slice_without_an_open_host_is_refused_with_a_repair_of_one_move() {
    let mut guard = guard(6);
    let refused = refused(guard.judge(&[vec![Order::ClearTable(SliceId(2))]], &[], NOW));
    assert_eq!(refused.reasons[0].reason, Reason::Uncovered { slice: SliceId(2) });
    let repair = refused.repair.unwrap();
    assert_eq!((repair.moves.len(), repair.left), (1, Severity::default()));
}

#[test_case(2.0, true ; "when the drain is complete in two seconds")]
#[test_case(60.0, false ; "not when it is a minute ahead")]
fn a_table_that_is_safe_now_is_refused_for_a_pending_drain(ahead: f64, expected: bool) {
    let mut guard = guard(6);
    let verdict = guard.judge(&[vec![set_weight(0, 1, 0.0)]], &[leaves(0, NOW + ahead)], NOW);
    assert_eq!(!verdict.passes(), expected, "{verdict:?}");
    if expected {
        let refused = refused(verdict);
        assert_eq!(refused.reasons[0].when, Moment::At(NOW + ahead));
        assert!(
            refused.repair.unwrap().moves.iter().all(|made| made.to != id(0)),
            "no weight moves to the leaving host"
        );
    }
}

#[test]
fn a_table_whose_only_host_opens_later_is_refused() {
    let mut guard = guard(6);
    guard.set_host(id(5), Host { state: ListedState::Removed, ..Host::default() });
    let opens = PendingEvent { at: NOW + 2.0, host: id(5), event: HostEvent::Opens };
    let calls = [vec![set_weight(0, 5, 1.0), set_weight(0, 0, 0.0), set_weight(0, 1, 0.0)]];
    let refused = refused(guard.judge(&calls, &[opens], NOW));
    assert_eq!(refused.reasons[0].when, Moment::AfterProposal);
}

#[test]
fn an_overload_of_a_warm_host_is_refused_and_repaired() {
    let mut guard = guard(6);
    let overload: Vec<Order> = (0..6).flat_map(|n| [set_weight(n, 3, 9.0)]).collect();
    let refused = refused(guard.judge(&[overload], &[], NOW));
    assert!(refused
        .reasons
        .iter()
        .any(|found| matches!(found.reason, Reason::WarmOverload { host, .. } if host == id(3))));
    assert!(refused.repair.is_some_and(|repair| repair.left == Severity::default()));
}

#[test_case(1.0, true ; "just started")]
#[test_case(9.0, false ; "nearly warm")]
fn an_overload_of_a_cold_host_is_refused(age: f64, expected: bool) {
    let mut guard = guard(6);
    guard.set_host(id(3), Host { started_at: Some(NOW - age), zone: ZoneId(1), ..Host::default() });
    let calls = [vec![set_weight(0, 3, 1.0), set_weight(5, 3, 1.0)]];
    let verdict = guard.judge(&calls, &[], NOW);
    assert_eq!(!verdict.passes(), expected, "{verdict:?}");
}

#[test]
fn a_state_that_is_unsafe_only_between_two_calls_is_refused() {
    let mut guard = guard(6);
    let swap = [
        vec![set_weight(0, 0, 0.0), set_weight(0, 1, 0.0)],
        vec![set_weight(0, 2, 1.0), set_weight(0, 3, 1.0)],
    ];
    let refused = refused(guard.judge(&swap, &[], NOW));
    assert_eq!(refused.reasons[0].when, Moment::BetweenCalls(0));
    let [old, new] = swap;
    assert_eq!(
        guard.judge(&[new, old], &[], NOW),
        Verdict::Accepted,
        "weights are added before the old ones are removed"
    );
}

#[test]
fn a_route_concentrated_on_two_hosts_is_refused_with_capacity_unknown() {
    let mut guard = guard(10);
    guard.capacity_model_mut().capacity = None;
    let overload: Vec<Order> = (0..10)
        .flat_map(|n| {
            let off = [n, (n + 1) % 10].map(|host| set_weight(n, host.into(), 0.0));
            [set_weight(n, 0, 1.0), set_weight(n, 1, 1.0)].into_iter().chain(
                off.into_iter()
                    .filter(move |order| !matches!(order, Order::SetWeight { host, .. } if host.0 < 2)),
            )
        })
        .collect();
    let refused = refused(guard.judge(&[overload], &[], NOW));
    assert!(refused.reasons.iter().any(|found| matches!(found.reason, Reason::HostConcentration { .. })));
}

#[test]
fn with_all_hosts_cold_after_a_crash_a_slice_without_host_still_gets_one() {
    let mut guard = guard(6);
    (0..6).for_each(|n| guard.set_host(id(n), Host { started_at: Some(NOW - 0.5), ..Host::default() }));
    // One slice has no open host, and every host is too cold for its calls; one of them must get it
    // nevertheless.
    guard.set_weight(SliceId(0), id(0), 0.0);
    guard.set_weight(SliceId(0), id(1), 0.0);
    let verdict = guard.judge(&[vec![set_weight(0, 4, 1.0)]], &[], NOW);
    assert!(verdict.passes(), "{verdict:?}");
}

#[test]
fn a_slice_with_more_demand_than_any_capacity_still_gets_hosts() {
    let mut guard = guard(6);
    guard.set_demand(SliceId(0), &[60.0, 0.0]);
    // The proposal assigns half of the demand to each of two warm hosts, instead of having no host at all.
    guard.set_weight(SliceId(0), id(0), 0.0);
    guard.set_weight(SliceId(0), id(1), 0.0);
    let verdict = guard.judge(&[vec![set_weight(0, 0, 1.0), set_weight(0, 1, 1.0)]], &[], NOW);
    assert!(verdict.passes(), "{verdict:?}");
}

#[test_case(0.0 ; "none")]
#[test_case(1e-300 ; "tiny")]
#[test_case(1e300 ; "huge")]
fn extreme_weights_leave_sums_intact(weight: f64) {
    let mut guard = guard(6);
    let _ = guard.judge(&[vec![set_weight(0, 0, weight), set_weight(0, 3, weight)]], &[], NOW);
    let _ = guard.judge(&[vec![set_weight(0, 99, weight)]], &[], NOW);
    assert_eq!(guard.judge(&[vec![]], &[], NOW), Verdict::Accepted);
}

#[test]
fn a_listed_host_that_has_never_answered_covers_no_slice() {
    let mut guard = guard(6);
    guard.set_host(id(7), Host { proven: false, ..Host::default() });
    let calls = [vec![set_weight(0, 7, 1.0), set_weight(0, 0, 0.0), set_weight(0, 1, 0.0)]];
    assert!(!guard.judge(&calls, &[], NOW).passes(), "a host that has answered no call yet is not open");
}

#[test]
fn a_drain_of_nearly_all_hosts_keeps_utilisation_within_its_limit() {
    let pool = guard(20).pool().clone();
    let hosts = (0..19).map(id).collect();
    let request = DrainRequest { hosts, return_after: Some(3.0), max_hosts_at_once: Some(4), calls: 100.0 };
    let steps = drain(&pool, &request, NOW);
    let out: usize = steps.iter().map(|step| step.hosts.len()).sum();
    assert_eq!(out, 19);
    assert!(steps.iter().all(|step| step.hosts.len() <= 4 && !step.forced));
    assert!(
        steps.iter().all(|step| step.utilisation.is_some_and(|utilisation| utilisation <= 0.85)),
        "{steps:?}"
    );
    // Without known capacities, at most a fifth of the hosts is drained at a time.
    let pool = Pool { capacity_model: CapacityModel { capacity: None, ..pool.capacity_model }, ..pool };
    let steps = drain(&pool, &DrainRequest { max_hosts_at_once: None, ..request }, NOW);
    assert!(steps.iter().all(|step| step.hosts.len() <= 4), "{steps:?}");
}

#[test]
fn a_drain_without_spare_capacity_is_forced_one_by_one_and_leaves_the_last_host() {
    let pool = guard(3).pool().clone();
    let request = DrainRequest {
        hosts: (0..3).map(id).collect(),
        return_after: None,
        max_hosts_at_once: None,
        calls: 29.0,
    };
    let steps = drain(&pool, &request, NOW);
    assert_eq!(steps.len(), 2, "the last host is not drained: {steps:?}");
    assert!(steps.iter().all(|step| step.forced && step.hosts.len() == 1));
}

#[test]
fn verdicts_on_generated_cases_match_the_oracle() {
    for seed in 0..4000 {
        let case = Case::random(seed, 2 + (seed % 7) as usize, 1 + (seed % 9) as usize);
        let verdict = case.guard().judge(&case.calls, &case.pending, case.now);
        assert_eq!(verdict != Verdict::Accepted, is_unsafe(&case), "seed {seed}: {verdict:?}");
        if let Verdict::Refused(Findings { repair: Some(repair), .. })
        | Verdict::Improvement(Findings { repair: Some(repair), .. }) = &verdict
        {
            let mut world: World = after_proposal(&case);
            let proposed = severity(&world.ahead(&case));
            repair.orders().iter().for_each(|order| world.apply(order));
            assert!(less(&severity(&world.ahead(&case)), &proposed), "seed {seed}: a repair makes it better");
        }
    }
}

fn subjects(found: &Findings) -> Vec<Subject> {
    found.reasons.iter().map(|found| found.reason.subject()).collect()
}

#[test]
fn the_load_index_agrees_with_its_tables_after_many_changes() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut incremental = guard(6);
    for _ in 0..300_000 {
        let (slice, host) = (SliceId(rng.u16(0..6)), id(rng.u32(0..6)));
        incremental.set_weight(slice, host, [0.0, 0.1, 1.0, 7.3][rng.usize(0..4)]);
        incremental.set_demand(slice, &[rng.f64() * 9.0, rng.f64()]);
    }
    let fresh = LoadIndex::from_tables(incremental.pool(), incremental.loads().tables(), 2);
    for host in (0..6).map(id) {
        let calls = |loads: &LoadIndex| loads.host_load(host).map_or(0.0, |load| load.calls);
        assert!((calls(incremental.loads()) - calls(&fresh)).abs() < 1e-6, "{host:?}");
    }
    assert_eq!(incremental.loads().uncovered(), fresh.uncovered());
}

#[test]
fn a_judgement_leaves_the_guard_unchanged() {
    for seed in 0..500 {
        let case = Case::random(seed, 5, 4);
        let mut judged = case.guard();
        let first = judged.judge(&case.calls, &case.pending, case.now);
        let judged_again = judged.judge(&case.calls, &case.pending, case.now);
        let kinds = |verdict: &Verdict| match verdict {
            Verdict::Accepted => (0, vec![], 0),
            Verdict::Improvement(found) => {
                (1, subjects(found), found.repair.as_ref().map_or(0, |r| r.moves.len()))
            }
            Verdict::Refused(found) => {
                (2, subjects(found), found.repair.as_ref().map_or(0, |r| r.moves.len()))
            }
        };
        assert_eq!(kinds(&judged_again), kinds(&first), "seed {seed}");
        assert_eq!(judged.pool(), case.guard().pool(), "seed {seed}");
        let tables = |guard: &Guard| guard.loads().tables().clone();
        assert_eq!(tables(&judged), tables(&case.guard()), "seed {seed}");
    }
}

#[test]
fn capacity_is_estimated_from_utilisation_and_waiting_calls() {
    let estimate = |observations: &[HostObservation]| {
        let mut capacity = CapacityEstimator::default();
        (0..5).for_each(|n| {
            observations.iter().for_each(|observation| {
                capacity.observe(id(n), NOW, HostObservation { relative_capacity: 1.0, ..*observation })
            })
        });
        capacity.estimate()
    };
    let observation = |answered, failed, utilisation, waiting| HostObservation {
        answered,
        failed,
        utilisation,
        waiting,
        relative_capacity: 1.0,
    };
    let both = |low, middle| Some(Estimate { low, middle });
    assert_eq!(estimate(&[]), None);
    assert_eq!(
        estimate(&[observation(5.0, 0.0, Some(0.5), None), observation(0.1, 0.0, Some(0.01), None)]),
        both(10.0, 10.0)
    );
    assert_eq!(
        estimate(&[observation(5.0, 0.0, None, Some(0.0)), observation(50.0, 40.0, None, None)]),
        both(5.0, f64::INFINITY)
    );
    assert_eq!(
        estimate(&[observation(5.0, 0.0, None, Some(3.0)), observation(9.0, 0.0, None, Some(4.0))]),
        both(9.0, 9.0)
    );
}

#[test]
fn a_slice_without_reports_counts_with_the_average_demand() {
    let mut demand = DemandEstimator::new(2);
    let slices = || [0, 1, 2].map(SliceId).into_iter();
    assert_eq!(
        demand.demand(slices())[&SliceId(2)],
        [1.0, 0.0],
        "without any report all slices have the same demand"
    );
    demand.report(NOW, SliceId(0), coppersail::interface::RouteId(0), 10.0, 1.0);
    demand.report(NOW, SliceId(1), coppersail::interface::RouteId(0), 2.0, 1.0);
    assert_eq!(demand.demand(slices())[&SliceId(2)], [6.0, 0.0]);
}

#[test]
fn a_withdrawn_zone_and_a_pending_drain_are_considered_together() {
    let mut guard = guard(6);
    // Zone 1 is partitioned: its hosts are withdrawn. One host of zone 0 leaves in three seconds.
    [1, 3, 5]
        .into_iter()
        .for_each(|n| guard.set_host(id(n), Host { zone: ZoneId(1), withdrawn: true, ..Host::default() }));
    let only = vec![set_weight(0, 2, 1.0), set_weight(0, 0, 0.0), set_weight(0, 1, 0.0)];
    assert!(guard.judge(std::slice::from_ref(&only), &[], NOW).passes(), "host 2 is open");
    let refused = refused(guard.judge(&[only], &[leaves(2, NOW + 3.0)], NOW));
    assert!(refused.reasons.iter().any(|found| found.reason == Reason::Uncovered { slice: SliceId(0) }));
    let repair = refused.repair.unwrap();
    let is_allowed = |made: &Move| made.to == id(0) || made.to == id(4);
    assert!(
        repair.moves.iter().all(is_allowed),
        "no weight moves to the withdrawn zone or to the leaving host: {repair:?}"
    );
}

#[test]
fn a_host_that_drained_and_returned_counts_by_its_present_state() {
    let mut guard = guard(6);
    let all = [vec![set_weight(0, 3, 1.0), set_weight(0, 0, 0.0), set_weight(0, 1, 0.0)]];
    guard.set_host(id(3), Host { state: ListedState::Draining, ..Host::default() });
    assert!(!guard.judge(&all, &[], NOW).passes());
    guard.set_host(id(3), Host { started_at: Some(NOW - 0.2), ..Host::default() });
    assert!(
        !guard
            .judge(&[vec![set_weight(0, 3, 9.0), set_weight(1, 3, 9.0), set_weight(2, 3, 9.0)]], &[], NOW)
            .passes(),
        "cold"
    );
    guard.set_host(id(3), Host::default());
    assert_eq!(guard.judge(&all, &[], NOW), Verdict::Accepted);
}

#[test]
fn with_demand_unknown_tables_are_checked_by_shares_alone() {
    let mut guard = guard(10);
    (0..10).for_each(|n| guard.set_demand(SliceId(n), &[1.0, 0.0]));
    guard.capacity_model_mut().capacity = None;
    assert_eq!(guard.judge(&[vec![set_weight(0, 5, 1.0)]], &[], NOW), Verdict::Accepted);
    let cleared = guard.judge(&[vec![Order::ClearTable(SliceId(0))]], &[], NOW);
    assert!(!cleared.passes());
    let overload: Vec<Order> = (0..10).map(|n| set_weight(n, 0, 90.0)).collect();
    assert!(!guard.judge(&[overload], &[], NOW).passes());
}

#[test]
fn each_of_two_directors_checks_its_slices_against_its_share_of_the_capacity() {
    // Two directors own half of the slices each, so each observes half of the capacity of every host.
    let halves = [0, 1].map(|half| {
        let whole = guard(6);
        let tables =
            whole.loads().tables().clone().into_iter().filter(|(slice, _)| slice.0 % 2 == half).collect();
        let capacity = Some(Estimate { low: 4.0, middle: 5.0 });
        let pool = Pool {
            capacity_model: CapacityModel { capacity, ..whole.pool().capacity_model },
            ..whole.pool().clone()
        };
        Guard::new(pool, &tables, 2)
    });
    for (half, mut guard) in halves.into_iter().enumerate() {
        let own = half as u16;
        assert_eq!(guard.judge(&[vec![set_weight(own, 4, 1.0)]], &[], NOW), Verdict::Accepted);
        let overload: Vec<Order> = (0..3).map(|n| set_weight(own + 2 * n, 4, 90.0)).collect();
        assert!(!guard.judge(&[overload], &[], NOW).passes());
    }
}
