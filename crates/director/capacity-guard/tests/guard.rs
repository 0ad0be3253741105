//! The verdicts of the guard: single cases, and a few thousand generated ones against an oracle.

#[path = "../examples/model/mod.rs"]
mod model;

use coppersail::interface::{HostId, Order, SliceId, ZoneId};
use coppersail_capacity_guard::*;
use model::{badness, is_unsafe, less, told, Case, World};
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

/// So many warm hosts in two zones, and as many slices of four calls a second, each on its host and the next.
fn guard(hosts: u32) -> Guard {
    let host = |n| (id(n), Host { zone: ZoneId((n % 2) as u16), ..Host::default() });
    let table = |n: u32| {
        let lines = BTreeMap::from([(id(n), 1.0), (id((n + 1) % hosts), 1.0)]);
        (SliceId(n as u16), Table { demand: vec![3.0, 1.0], weights: lines })
    };
    let pool = Pool { hosts: (0..hosts).map(host).collect(), capacity_model: capacity_model() };
    Guard::new(pool, &(0..hosts).map(table).collect(), 2)
}

fn line(slice: u16, host: u32, weight: f64) -> Order {
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
    let verdict = guard.judge(&[vec![line(0, 1, 0.0)]], &[leaves(0, NOW + ahead)], NOW);
    assert_eq!(!verdict.passes(), expected, "{verdict:?}");
    if expected {
        let refused = refused(verdict);
        assert_eq!(refused.reasons[0].when, Moment::At(NOW + ahead));
        assert!(
            refused.repair.unwrap().moves.iter().all(|made| made.to != id(0)),
            "not to the one that leaves"
        );
    }
}

#[test]
fn a_table_whose_only_host_opens_later_is_refused() {
    let mut guard = guard(6);
    guard.set_host(id(5), Host { state: ListedState::Removed, ..Host::default() });
    let opens = PendingEvent { at: NOW + 2.0, host: id(5), event: HostEvent::Opens };
    let calls = [vec![line(0, 5, 1.0), line(0, 0, 0.0), line(0, 1, 0.0)]];
    let refused = refused(guard.judge(&calls, &[opens], NOW));
    assert_eq!(refused.reasons[0].when, Moment::AfterProposal);
}

#[test]
fn an_overload_of_a_warm_host_is_refused_and_repaired() {
    let mut guard = guard(6);
    let pile: Vec<Order> = (0..6).flat_map(|n| [line(n, 3, 9.0)]).collect();
    let refused = refused(guard.judge(&[pile], &[], NOW));
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
    let calls = [vec![line(0, 3, 1.0), line(5, 3, 1.0)]];
    let verdict = guard.judge(&calls, &[], NOW);
    assert_eq!(!verdict.passes(), expected, "{verdict:?}");
}

#[test]
fn a_state_that_is_unsafe_only_between_two_calls_is_refused() {
    let mut guard = guard(6);
    let swap = [vec![line(0, 0, 0.0), line(0, 1, 0.0)], vec![line(0, 2, 1.0), line(0, 3, 1.0)]];
    let refused = refused(guard.judge(&swap, &[], NOW));
    assert_eq!(refused.reasons[0].when, Moment::BetweenCalls(0));
    let [old, new] = swap;
    assert_eq!(guard.judge(&[new, old], &[], NOW), Verdict::Accepted, "new lines before old ones go");
}

#[test]
fn a_route_concentrated_on_two_hosts_is_refused_with_capacity_unknown() {
    let mut guard = guard(10);
    guard.capacity_model_mut().capacity = None;
    let pile: Vec<Order> = (0..10)
        .flat_map(|n| {
            let off = [n, (n + 1) % 10].map(|host| line(n, host.into(), 0.0));
            [line(n, 0, 1.0), line(n, 1, 1.0)].into_iter().chain(
                off.into_iter()
                    .filter(move |order| !matches!(order, Order::SetWeight { host, .. } if host.0 < 2)),
            )
        })
        .collect();
    let refused = refused(guard.judge(&[pile], &[], NOW));
    assert!(refused.reasons.iter().any(|found| matches!(found.reason, Reason::HostConcentration { .. })));
}

#[test]
fn with_all_hosts_cold_after_a_crash_a_slice_without_host_still_gets_one() {
    let mut guard = guard(6);
    (0..6).for_each(|n| guard.set_host(id(n), Host { started_at: Some(NOW - 0.5), ..Host::default() }));
    // One table bare, and every host too cold to take it: somebody must.
    guard.set_weight(SliceId(0), id(0), 0.0);
    guard.set_weight(SliceId(0), id(1), 0.0);
    let verdict = guard.judge(&[vec![line(0, 4, 1.0)]], &[], NOW);
    assert!(verdict.passes(), "{verdict:?}");
}

#[test]
fn a_slice_with_more_demand_than_any_capacity_still_gets_hosts() {
    let mut guard = guard(6);
    guard.set_demand(SliceId(0), &[60.0, 0.0]);
    // Half of it each at two warm hosts instead of at none.
    guard.set_weight(SliceId(0), id(0), 0.0);
    guard.set_weight(SliceId(0), id(1), 0.0);
    let verdict = guard.judge(&[vec![line(0, 0, 1.0), line(0, 1, 1.0)]], &[], NOW);
    assert!(verdict.passes(), "{verdict:?}");
}

#[test_case(0.0 ; "none")]
#[test_case(1e-300 ; "tiny")]
#[test_case(1e300 ; "huge")]
fn extreme_weights_leave_sums_intact(weight: f64) {
    let mut guard = guard(6);
    let _ = guard.judge(&[vec![line(0, 0, weight), line(0, 3, weight)]], &[], NOW);
    let _ = guard.judge(&[vec![line(0, 99, weight)]], &[], NOW);
    assert_eq!(guard.judge(&[vec![]], &[], NOW), Verdict::Accepted);
}

#[test]
fn a_listed_host_that_has_never_answered_covers_no_slice() {
    let mut guard = guard(6);
    guard.set_host(id(7), Host { proven: false, ..Host::default() });
    let calls = [vec![line(0, 7, 1.0), line(0, 0, 0.0), line(0, 1, 0.0)]];
    assert!(!guard.judge(&calls, &[], NOW).passes(), "a stranger has answered nobody yet");
}

#[test]
fn a_drain_of_nearly_all_hosts_keeps_utilisation_within_its_limit() {
    let pool = guard(20).pool().clone();
    let hosts = (0..19).map(id).collect();
    let wanted = DrainRequest { hosts, return_after: Some(3.0), max_hosts_at_once: Some(4), calls: 100.0 };
    let steps = drain(&pool, &wanted, NOW);
    let out: usize = steps.iter().map(|step| step.hosts.len()).sum();
    assert_eq!(out, 19);
    assert!(steps.iter().all(|step| step.hosts.len() <= 4 && !step.forced));
    assert!(steps.iter().all(|step| step.utilisation.is_some_and(|fill| fill <= 0.85)), "{steps:?}");
    // With nobody's word of what they carry, a fifth at a time at most.
    let pool = Pool { capacity_model: CapacityModel { capacity: None, ..pool.capacity_model }, ..pool };
    let steps = drain(&pool, &DrainRequest { max_hosts_at_once: None, ..wanted }, NOW);
    assert!(steps.iter().all(|step| step.hosts.len() <= 4), "{steps:?}");
}

#[test]
fn a_drain_without_spare_capacity_is_forced_one_by_one_and_leaves_the_last_host() {
    let pool = guard(3).pool().clone();
    let wanted = DrainRequest {
        hosts: (0..3).map(id).collect(),
        return_after: None,
        max_hosts_at_once: None,
        calls: 29.0,
    };
    let steps = drain(&pool, &wanted, NOW);
    assert_eq!(steps.len(), 2, "the last one stays: {steps:?}");
    assert!(steps.iter().all(|step| step.forced && step.hosts.len() == 1));
}

#[test]
fn generated_cases_are_judged_as_the_oracle_does() {
    for seed in 0..4000 {
        let case = Case::drawn(seed, 2 + (seed % 7) as usize, 1 + (seed % 9) as usize);
        let verdict = case.guard().judge(&case.calls, &case.pending, case.now);
        assert_eq!(verdict != Verdict::Accepted, is_unsafe(&case), "seed {seed}: {verdict:?}");
        if let Verdict::Refused(Findings { repair: Some(repair), .. })
        | Verdict::Improvement(Findings { repair: Some(repair), .. }) = &verdict
        {
            let mut world: World = told(&case);
            let proposed = badness(&world.ahead(&case));
            repair.orders().iter().for_each(|order| world.apply(order));
            assert!(less(&badness(&world.ahead(&case)), &proposed), "seed {seed}: a repair makes it better");
        }
    }
}

fn subjects(found: &Findings) -> Vec<Subject> {
    found.reasons.iter().map(|found| found.reason.subject()).collect()
}

#[test]
fn the_load_index_agrees_with_its_tables_after_many_changes() {
    let mut chance = fastrand::Rng::with_seed(7);
    let mut kept = guard(6);
    for _ in 0..300_000 {
        let (slice, host) = (SliceId(chance.u16(0..6)), id(chance.u32(0..6)));
        kept.set_weight(slice, host, [0.0, 0.1, 1.0, 7.3][chance.usize(0..4)]);
        kept.set_demand(slice, &[chance.f64() * 9.0, chance.f64()]);
    }
    let fresh = LoadIndex::from_tables(kept.pool(), kept.loads().tables(), 2);
    for host in (0..6).map(id) {
        let calls = |loads: &LoadIndex| loads.host_load(host).map_or(0.0, |load| load.calls);
        assert!((calls(kept.loads()) - calls(&fresh)).abs() < 1e-6, "{host:?}");
    }
    assert_eq!(kept.loads().uncovered(), fresh.uncovered());
}

#[test]
fn a_judgement_leaves_the_guard_unchanged() {
    for seed in 0..500 {
        let case = Case::drawn(seed, 5, 4);
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
        let lines = |guard: &Guard| guard.loads().tables().clone();
        assert_eq!(lines(&judged), lines(&case.guard()), "seed {seed}");
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
    assert_eq!(demand.demand(slices())[&SliceId(2)], [1.0, 0.0], "with nothing heard at all each alike");
    demand.report(NOW, SliceId(0), coppersail::interface::RouteId(0), 10.0, 1.0);
    demand.report(NOW, SliceId(1), coppersail::interface::RouteId(0), 2.0, 1.0);
    assert_eq!(demand.demand(slices())[&SliceId(2)], [6.0, 0.0]);
}

#[test]
fn a_withdrawn_zone_and_a_pending_drain_are_judged_together() {
    let mut guard = guard(6);
    // Zone 1 is cut: its hosts are shut out. Of zone 0 one leaves in three seconds.
    [1, 3, 5]
        .into_iter()
        .for_each(|n| guard.set_host(id(n), Host { zone: ZoneId(1), withdrawn: true, ..Host::default() }));
    let only = vec![line(0, 2, 1.0), line(0, 0, 0.0), line(0, 1, 0.0)];
    assert!(guard.judge(std::slice::from_ref(&only), &[], NOW).passes(), "host 2 is open");
    let refused = refused(guard.judge(&[only], &[leaves(2, NOW + 3.0)], NOW));
    assert!(refused.reasons.iter().any(|found| found.reason == Reason::Uncovered { slice: SliceId(0) }));
    let repair = refused.repair.unwrap();
    let sound = |made: &Move| made.to == id(0) || made.to == id(4);
    assert!(repair.moves.iter().all(sound), "neither to the cut zone nor to the one that leaves: {repair:?}");
}

#[test]
fn a_host_that_drained_and_returned_counts_by_its_present_state() {
    let mut guard = guard(6);
    let all = [vec![line(0, 3, 1.0), line(0, 0, 0.0), line(0, 1, 0.0)]];
    guard.set_host(id(3), Host { state: ListedState::Draining, ..Host::default() });
    assert!(!guard.judge(&all, &[], NOW).passes());
    guard.set_host(id(3), Host { started_at: Some(NOW - 0.2), ..Host::default() });
    assert!(
        !guard.judge(&[vec![line(0, 3, 9.0), line(1, 3, 9.0), line(2, 3, 9.0)]], &[], NOW).passes(),
        "cold"
    );
    guard.set_host(id(3), Host::default());
    assert_eq!(guard.judge(&all, &[], NOW), Verdict::Accepted);
}

#[test]
fn with_demand_unknown_tables_are_judged_by_shares_alone() {
    let mut guard = guard(10);
    (0..10).for_each(|n| guard.set_demand(SliceId(n), &[1.0, 0.0]));
    guard.capacity_model_mut().capacity = None;
    assert_eq!(guard.judge(&[vec![line(0, 5, 1.0)]], &[], NOW), Verdict::Accepted);
    let bare = guard.judge(&[vec![Order::ClearTable(SliceId(0))]], &[], NOW);
    assert!(!bare.passes());
    let pile: Vec<Order> = (0..10).map(|n| line(n, 0, 90.0)).collect();
    assert!(!guard.judge(&[pile], &[], NOW).passes());
}

#[test]
fn several_directors_judge_their_own_slices_by_their_share_of_the_capacity() {
    // Two directors with half of the slices each: what each has seen a host carry for it is half as well.
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
        assert_eq!(guard.judge(&[vec![line(own, 4, 1.0)]], &[], NOW), Verdict::Accepted);
        let pile: Vec<Order> = (0..3).map(|n| line(own + 2 * n, 4, 90.0)).collect();
        assert!(!guard.judge(&[pile], &[], NOW).passes());
    }
}
