//! Tests of which host owns a slice.

use super::*;
use test_case::test_case;

#[test_case(&[9, 0, 4], false, 9.0; "a gap of nine starts moves to the emptiest")]
#[test_case(&[8, 0, 4], false, 8.0; "a gap of eight does not")]
#[test_case(&[5, 3, 4], true, 5.0; "while balancing, a gap of two goes on")]
#[test_case(&[4, 3, 4], true, 4.0; "while balancing, a gap under two ends it")]
fn balancing_starts_above_a_gap_of_eight_and_ends_below_two(
    initially_held: &[usize],
    balancing: bool,
    fullest: f64,
) {
    let mut tables = tables(initially_held);
    tables.rebalancer.moving = balancing;
    let gap = held(&tables, 0) - held(&tables, 1);
    let params = Parameters { slice_count: tables.slices.len() as f64, ..params() };
    tables.balance(100.0, &params, &mut Outbox::default());
    let moves = gap > 8.0 || (balancing && gap >= 2.0);
    assert_eq!(tables.rebalancer.moving, moves);
    assert_eq!(held(&tables, 0), if moves { fullest - 1.0 } else { fullest });
    assert_eq!(held(&tables, 2), 4.0);
}

// With five directors each had about one slice for each host, so that no gap reached 8, and new hosts owned nothing
// until the end of slow start.
#[test_case(1.0, false ; "all slices: a gap of five starts no moves")]
#[test_case(4.0, true ; "a quarter of the slices: it stands for a gap of ten")]
fn gap_is_scaled_by_the_share_of_slices(directors: f64, moves: bool) {
    let mut tables = tables(&[5, 0, 2]);
    let params = Parameters { slice_count: 7.0 * directors, ..params() };
    tables.balance(100.0, &params, &mut Outbox::default());
    assert_eq!(tables.rebalancer.moving, moves);
}

#[test]
fn emptiest_host_without_capacity_does_not_block_balancing() {
    let mut tables = tables(&[10, 0, 1]);
    tables.views.get_mut(&id(1)).unwrap().slow_start = 0.2;
    tables.response_time = 1.0;
    tables.max_ready_hosts = 10;
    let params = Parameters { slice_count: 11.0, ..params() };
    tables.balance(100.0, &params, &mut Outbox::default());
    assert_eq!(held(&tables, 2), 2.0, "the host in slow start has no capacity");
}

// Capacity of a host halfway through slow start, by the fleet's median response time, the call rate and the sustained
// call rate.
#[test_case(1.0, 2.0, 1.0, 1.5 ; "slow at twice the sustained rate")]
#[test_case(1.0, 1.0, 1.0, 3.0 ; "slow at the sustained rate, as few hosts carry the calls")]
#[test_case(0.2, 2.0, 1.0, 3.0 ; "quick")]
#[test_case(1.0, 0.0, 0.0, 1.5 ; "slow from the start")]
#[test_case(1.0, 0.2, 1.0, 1.5 ; "slow, and proxies are unreachable")]
#[test_case(0.0, 1.0, 1.0, 1.5 ; "not measured")]
fn capacity_in_slow_start_follows_response_time_and_call_rate(
    response_time: f64,
    rate: f64,
    sustained_rate: f64,
    capacity: f64,
) {
    let mut tables = tables(&[6, 6, 6]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.5;
    tables.response_time = response_time;
    tables.max_ready_hosts = 3;
    tables.call_rate = rate;
    tables.sustained_call_rate = sustained_rate;
    assert!((tables.capacities(&params())[&id(2)] + 6.0 - capacity * 0.5 * 6.0).abs() < 1e-9);
}

#[test_case(9.0, 0.0, 0 ; "the hottest goes where the fullest scores more")]
#[test_case(0.1, 0.0, 9 ; "the coldest goes where it scores less")]
#[test_case(9.0, 95.0, 9 ; "a newly listed host takes only the coldest")]
fn scores_decide_which_slice_is_moved(hot: f64, listed_at: f64, expected: u16) {
    let mut tables = tables(&[10, 1]);
    tables.slices.get_mut(&SliceId(0)).unwrap().score = hot.max(1.5);
    tables.slices.get_mut(&SliceId(9)).unwrap().score = 0.5;
    tables.slices.get_mut(&SliceId(10)).unwrap().score = if hot > 1.0 { 1.0 } else { 50.0 };
    tables.views.get_mut(&id(1)).unwrap().seniority = (listed_at, 1);
    tables.balance(100.0, &params(), &mut Outbox::default());
    assert_eq!(tables.slices[&SliceId(expected)].owner, Some(id(1)));
}

#[test]
fn gap_divides_slice_counts_by_weights() {
    let mut tables = tables(&[12, 5]);
    tables.views.get_mut(&id(0)).unwrap().weight = 3.0;
    tables.balance(100.0, &params(), &mut Outbox::default());
    assert!(!tables.rebalancer.moving, "8 slices per unit of weight against 10");
}

#[test]
fn initial_assignment_is_even_and_follows_the_stored_tables() {
    let mut tables = tables(&[6, 2, 1]);
    for slice in tables.slices.values_mut() {
        slice.owner = None;
    }
    tables.assign_initial_owners(&params(), &mut Outbox::default());
    assert_eq!(
        (held(&tables, 1), held(&tables, 2)),
        (2.0, 1.0),
        "slices stay with the hosts of the stored tables"
    );
    assert_eq!(held(&tables, 0), 5.0, "its even share of three, and two more");
    tables.move_displaced(1.0, &params());
    assert_eq!(held(&tables, 2), 2.0, "the rest goes to the emptiest host");
}

#[test_case(false, 0 ; "at once if draining or gone")]
#[test_case(true, 2 ; "if suspected, after two seconds of withdrawal")]
fn slices_leave_hosts_that_are_gone_or_withdrawn(ready: bool, kept: usize) {
    let mut tables = tables(&[2, 2, 1, 1]);
    tables.views.get_mut(&id(0)).unwrap().ready = ready;
    tables.withdrawn.insert(id(0), 10.0);
    tables.move_displaced(11.0, &params());
    assert_eq!(held(&tables, 0), kept as f64);
    tables.move_displaced(12.5, &params());
    assert_eq!(held(&tables, 0), 0.0);
    assert_eq!(
        (held(&tables, 2), held(&tables, 3)),
        (2.0, 2.0),
        "each slice goes to the host with the fewest"
    );
}

#[test]
fn longest_listed_host_is_preferred_among_equals() {
    let mut tables = tables(&[1, 0, 0]);
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    tables.views.get_mut(&id(1)).unwrap().seniority = (5.0, 9);
    tables.move_displaced(1.0, &params());
    assert_eq!(held(&tables, 2), 1.0);
}

#[test]
fn score_weighs_the_route_with_the_longest_latency_objective() {
    let mut tables = tables(&[3]);
    tables.slices.get_mut(&SliceId(0)).unwrap().calls = vec![10.0, 0.0];
    tables.slices.get_mut(&SliceId(1)).unwrap().calls = vec![0.0, 10.0];
    tables.score_slices(&params());
    let score = |n| tables.slices[&SliceId(n)].score;
    assert_eq!((score(0), score(1)), (1.0, 1.5));
    assert_eq!(score(2), 1.25, "a slice without counted calls gets the average score");
}

#[test_case(0.2 ; "just started")]
#[test_case(0.6 ; "in the middle of slow start")]
fn host_in_slow_start_stays_within_its_capacity(slow_start: f64) {
    let mut tables = tables(&[6, 6, 6]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = slow_start;
    tables.response_time = 1.0;
    tables.max_ready_hosts = 3;
    let capacity = tables.capacities(&params())[&id(2)] + 6.0;
    assert!(
        (capacity - 1.5 * slow_start * 6.0).abs() < 1e-9,
        "0.6 of the collapse multiple for all calls of its tables"
    );
    tables.move_displaced(1.0, &params());
    assert!(held(&tables, 2) <= capacity, "slices beyond its capacity go to other hosts");
}

#[test]
fn capacity_stays_below_the_collapse_multiple() {
    let mut tables = tables(&[6, 6, 6]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.5;
    tables.response_time = 1.0;
    tables.max_ready_hosts = 3;
    let params = Parameters { collapse_multiple: 1.5, ..params() };
    assert!((tables.capacities(&params)[&id(2)] + 6.0 - 0.6 * 1.5 * 0.5 * 6.0).abs() < 1e-9);
}

#[test]
fn capacity_does_not_grow_as_other_hosts_fail() {
    let mut tables = tables(&[6, 6, 6]);
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.5;
    tables.update_withdrawals(1.0, &mut Outbox::default());
    let before = tables.capacities(&params())[&id(2)];
    tables.views.get_mut(&id(0)).unwrap().ready = false;
    tables.update_withdrawals(2.0, &mut Outbox::default());
    assert!(tables.capacities(&params())[&id(2)] <= before);
}

#[test]
fn director_started_during_an_outage_does_not_overestimate_capacity() {
    let mut tables = tables(&[6, 6, 6]);
    for n in 0..2 {
        tables.views.get_mut(&id(n)).unwrap().ready = false;
    }
    tables.views.get_mut(&id(2)).unwrap().slow_start = 0.2;
    tables.update_withdrawals(1.0, &mut Outbox::default());
    let capacity = tables.capacities(&params())[&id(2)] + 6.0;
    assert!(capacity < 1.5 * 0.2 * 6.0, "no spare capacity is assumed");
}
