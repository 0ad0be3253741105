//! Fixed assignments for each rule of the mechanism, and random assignments for its invariants.

use crate::*;
use std::collections::BTreeSet;
use test_case::test_case;

/// Holder n has `held[n]` slices, each of which scores 1.
fn assignment_of(held: &[usize]) -> Assignment {
    let owners: Vec<_> = held.iter().enumerate().flat_map(|(n, many)| vec![Some(n); *many]).collect();
    let holders =
        (0..held.len()).map(|n| Holder { listed_at: Some(n as f64), ..Holder::default() }).collect();
    Assignment { holders, scores: vec![1.0; owners.len()], owners, ..Assignment::default() }
}

fn apply_moves(assignment: &mut Assignment, moves: &[Move]) {
    for next in moves {
        assert_eq!(assignment.owners[next.slice], next.from);
        assignment.apply(next);
    }
}

/// A multiply-with-carry generator of pseudo-random numbers.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * limit as u64) >> 32) as usize
    }
}

/// 2 to 21 holders with random weights, some of them leaving, closed or newly listed; a tenth of the slices is hot.
fn random_assignment(random: &mut RandomNumbers) -> Assignment {
    let holder_count = 2 + random.below(20);
    let weights: Vec<_> = (0..holder_count).map(|_| Some(1.0 + random.below(3) as f64)).collect();
    let weights = normalized_weights(&weights);
    let holder = |n: usize| {
        let (leaving, closed, is_new) = (random.below(6) == 0, random.below(8) == 0, random.below(5) == 0);
        let listed_at = Some(n as f64);
        Holder {
            weight: weights[n],
            listed_at,
            is_new,
            leaving,
            open: !leaving && !closed,
            ..Holder::default()
        }
    };
    let mut holders: Vec<Holder> = (0..holder_count).map(holder).collect();
    holders[0] = Holder { weight: weights[0], ..Holder::default() };
    let slices = random.below(1000);
    let owners =
        (0..slices).map(|_| Some(random.below(holder_count + 1)).filter(|n| *n < holder_count)).collect();
    let scores = (0..slices).map(|_| if random.below(10) == 0 { 20.0 } else { 1.0 + random.below(9) as f64 });
    let scores = scores.collect();
    Assignment { holders, owners, scores, ..Assignment::default() }
}

#[test]
fn balancing_ends_on_random_assignments() {
    for seed in 1..200 {
        let mut random = RandomNumbers(seed);
        let mut assignment = random_assignment(&mut random);
        let max_moves = 1 + random.below(30);
        let mut rebalancer = Rebalancer::default();
        let mut rounds = 0;
        loop {
            let moves = rebalancer.plan_moves(&assignment, max_moves);
            assert!(moves.len() <= max_moves);
            assert!(moves.iter().all(|m| assignment.holders[m.to].open && !assignment.holders[m.to].leaving));
            if moves.is_empty() {
                break;
            }
            apply_moves(&mut assignment, &moves);
            rounds += 1;
            assert!(rounds <= 3 * assignment.owners.len(), "seed {seed}: balancing does not end");
        }
        let kept = |owner: &Option<usize>| owner.is_some_and(|n| !assignment.holders[n].leaving);
        assert!(
            assignment.owners.iter().all(kept),
            "seed {seed}: slices without a holder, or of leaving ones, have moved"
        );
        // One slice of a holder with a low weight may count as more than two: then no move reduces the gap further.
        let max_step = assignment.holders.iter().map(|h| 1.0 / h.weight).fold(0.0, f64::max);
        let gap = assignment.gap().map_or(0.0, |gap| gap.slices);
        let max_gap = if rebalancer.moving { 2.0_f64.max(2.0 * max_step) } else { 8.0 };
        assert!(gap <= max_gap, "seed {seed}: a gap of {gap}");
    }
}

#[test]
fn balancing_of_equal_weights_ends_below_a_gap_of_two() {
    for seed in 1..100 {
        let mut random = RandomNumbers(seed);
        let held: Vec<usize> = (0..2 + random.below(20)).map(|_| random.below(40)).chain([0, 9]).collect();
        let mut assignment = assignment_of(&held);
        for score in assignment.scores.iter_mut() {
            *score += random.below(50) as f64;
        }
        let moves = Rebalancer::default().plan_moves(&assignment, usize::MAX);
        apply_moves(&mut assignment, &moves);
        assert!(assignment.gap().unwrap().slices < 2.0, "seed {seed}");
    }
}

#[test_case(&[9, 0, 4], false, true ; "a gap of nine starts moves")]
#[test_case(&[8, 0, 4], false, false ; "a gap of eight does not")]
#[test_case(&[5, 3, 4], true, true ; "while balancing, a gap of two goes on")]
#[test_case(&[4, 3, 4], true, false ; "while balancing, a gap under two ends it")]
fn balancing_starts_above_a_gap_of_eight_and_ends_below_two(held: &[usize], moving: bool, moves: bool) {
    let mut rebalancer = Rebalancer { moving };
    let first = rebalancer.plan_moves(&assignment_of(held), 1);
    assert_eq!(first.iter().map(|m| (m.from, m.to)).collect::<Vec<_>>(), vec![(Some(0), 1); moves as usize]);
    assert_eq!(rebalancer.moving, moves);
}

#[test_case(20.0, false, 3 ; "the hottest goes where the fullest scores more")]
#[test_case(0.7, false, 7 ; "the coldest goes where it scores less")]
#[test_case(20.0, true, 7 ; "a newly listed holder takes only the coldest")]
fn scores_decide_which_slice_is_moved(hot: f64, is_new: bool, slice: usize) {
    let mut assignment = assignment_of(&[10, 1]);
    (assignment.scores[3], assignment.scores[7], assignment.holders[1].is_new) = (hot, 0.5, is_new);
    assignment.scores[10] = if hot < 1.0 { 50.0 } else { 1.0 };
    assert_eq!(Rebalancer::default().plan_moves(&assignment, 1), [Move { slice, from: Some(0), to: 1 }]);
}

#[test]
fn slices_of_leaving_holders_move_first() {
    let mut assignment = assignment_of(&[2, 3, 1, 1, 20]);
    assignment.holders[0].leaving = true;
    assignment.holders[0].open = false;
    (assignment.holders[2].listed_at, assignment.scores[1]) = (Some(9.0), 7.0);
    let moves = Rebalancer::default().plan_moves(&assignment, 3);
    let placements: Vec<_> = moves.iter().map(|m| (m.slice, m.from, m.to)).collect();
    assert_eq!(placements[..2], [(1, Some(0), 3), (0, Some(0), 2)], "the hottest first");
    assert_eq!(moves[2].from, Some(4), "then balancing");
}

#[test]
fn unlisted_holders_receive_slices_if_none_is_listed_but_closed_ones_never() {
    let mut assignment = assignment_of(&[2, 0, 0]);
    assignment.holders[0].leaving = true;
    assignment.holders[0].open = false;
    assignment.holders[1].listed_at = None;
    (assignment.holders[2].listed_at, assignment.holders[2].open) = (None, false);
    assert!(Rebalancer::default().plan_moves(&assignment, 9).iter().all(|m| m.to == 1));
    assignment.holders[1].open = false;
    assert_eq!(Rebalancer::default().plan_moves(&assignment, 9), []);
}

#[test]
fn pinned_and_forbidden_slices_stay_and_capacity_is_respected() {
    let mut assignment = assignment_of(&[12, 0, 2]);
    (assignment.scores[5], assignment.scores[6], assignment.scores[7]) = (9.0, 8.0, 7.0);
    assignment.pinned = BTreeSet::from([5]);
    assignment.forbidden = BTreeSet::from([(6, 1)]);
    assert_eq!(
        Rebalancer::default().plan_moves(&assignment, 1)[0].slice,
        7,
        "neither a pinned nor a forbidden slice"
    );
    assignment.holders[1].capacity = 0.5;
    assert_eq!(
        Rebalancer::default().plan_moves(&assignment, 1)[0].to,
        2,
        "a holder without capacity does not block balancing"
    );
}

#[test]
fn gap_divides_slice_counts_by_weights() {
    let mut assignment = assignment_of(&[18, 5]);
    (assignment.holders[0].weight, assignment.holders[1].weight) = (1.5, 0.5);
    assert_eq!(assignment.gap().unwrap().slices, 2.0);
    assert_eq!(Rebalancer::default().plan_moves(&assignment, 1), []);
    assert_eq!(normalized_weights(&[None, None]), [1.0, 1.0], "equal if none is listed");
}

#[test]
fn gap_is_scaled_by_the_share_of_slices() {
    let mut assignment = assignment_of(&[5, 0, 2]);
    assert_eq!(Rebalancer::default().plan_moves(&assignment, 1), []);
    assignment.slice_share = Some(0.25);
    assert_eq!(
        Rebalancer::default().plan_moves(&assignment, 1).len(),
        1,
        "a gap of five on a quarter of the slices stands for ten"
    );
}

#[test]
fn scores_weigh_the_heavy_class_and_default_to_the_average() {
    assert_eq!(scores(&[[10.0, 0.0], [0.0, 10.0], [0.0, 0.0]], Some(1), 1.5), [1.0, 1.5, 1.25]);
    assert_eq!(scores(&[[0.0], [0.0]], Some(0), 1.5), [1.0, 1.0], "nothing counted yet");
    assert!(scores::<[f64; 1]>(&[], None, 1.5).is_empty());
}

#[test]
fn initial_assignment_is_even_and_separates_neighbours() {
    let holders = assignment_of(&[0; 7]).holders;
    let owners = initial_assignment(64, &holders);
    let count = |n: usize| owners.iter().filter(|owner| **owner == Some(n)).count();
    assert!((0..7).all(|n| count(n) == 9 + (n == 0) as usize));
    assert!(owners.windows(2).all(|pair| pair[0] != pair[1]));
    assert_eq!(initial_assignment(2, &[]), [None, None]);
}

#[test]
fn relief_lowers_the_peak_without_starting_balancing() {
    for seed in 1..100 {
        let mut random = RandomNumbers(seed);
        let holder_count = 3 + random.below(20);
        let mut assignment = assignment_of(&vec![6; holder_count]);
        for score in assignment.scores.iter_mut() {
            *score += random.below(10) as f64;
        }
        // One slice scores about as much as all slices of a holder.
        assignment.scores[random.below(6 * holder_count)] = 40.0;
        assignment.pinned.insert(random.below(6 * holder_count));
        let throughputs: Vec<f64> = (0..holder_count).map(|_| 0.8 + 0.1 * random.below(5) as f64).collect();
        let peak = |assignment: &Assignment| {
            let loads = assignment
                .totals()
                .into_iter()
                .zip(&throughputs)
                .map(|(totals, throughput)| totals.score / throughput);
            loads.fold(0.0, f64::max)
        };
        let before = peak(&assignment);
        let moves = Rebalancer::default().relieve_hot_holders(&assignment, &throughputs, 100);
        assert!(moves.iter().all(|m| !assignment.pinned.contains(&m.slice)));
        apply_moves(&mut assignment, &moves);
        assert!(moves.len() < 100 && (moves.is_empty() || peak(&assignment) < before), "seed {seed}");
        assert_eq!(
            Rebalancer::default().plan_moves(&assignment, 9),
            [],
            "seed {seed}: balancing would undo it"
        );
        assert_eq!(Rebalancer { moving: true }.relieve_hot_holders(&assignment, &throughputs, 9), []);
    }
}

#[test]
fn neighbours_of_a_hot_slice_are_moved_instead_of_it() {
    let mut assignment = assignment_of(&[6; 5]);
    assignment.scores[2] = 9.0;
    let moves = Rebalancer::default().relieve_hot_holders(&assignment, &[1.0; 5], 100);
    assert!(!moves.is_empty() && moves.iter().all(|m| m.from == Some(0) && m.slice != 2));
    apply_moves(&mut assignment, &moves);
    assert!(assignment.totals()[0].score <= HOT_LOAD_RATIO * 38.0 / 5.0 + 1.0);
}
