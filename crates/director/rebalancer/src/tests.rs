//! Fixed boards for each rule of the mechanism, and random boards for its invariants.

use crate::*;
use std::collections::BTreeSet;
use test_case::test_case;

/// Holder n has `held[n]` slices, each of which scores 1.
fn board(held: &[usize]) -> Assignment {
    let owners: Vec<_> = held.iter().enumerate().flat_map(|(n, many)| vec![Some(n); *many]).collect();
    let holders =
        (0..held.len()).map(|n| Holder { listed_at: Some(n as f64), ..Holder::default() }).collect();
    Assignment { holders, scores: vec![1.0; owners.len()], owners, ..Assignment::default() }
}

fn apply_moves(board: &mut Assignment, moves: &[Move]) {
    for next in moves {
        assert_eq!(board.owners[next.slice], next.from);
        board.apply(next);
    }
}

/// A multiply-with-carry generator.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, most: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * most as u64) >> 32) as usize
    }
}

/// A board of 2 to 21 holders with random weights, some leaving, closed or newly listed; a tenth of the slices is hot.
fn random_board(random: &mut RandomNumbers) -> Assignment {
    let many = 2 + random.below(20);
    let weights: Vec<_> = (0..many).map(|_| Some(1.0 + random.below(3) as f64)).collect();
    let units = normalized_weights(&weights);
    let holder = |n: usize| {
        let (leaving, closed, young) = (random.below(6) == 0, random.below(8) == 0, random.below(5) == 0);
        let listed_at = Some(n as f64);
        Holder {
            weight: units[n],
            listed_at,
            is_new: young,
            leaving,
            open: !leaving && !closed,
            ..Holder::default()
        }
    };
    let mut holders: Vec<Holder> = (0..many).map(holder).collect();
    holders[0] = Holder { weight: units[0], ..Holder::default() };
    let slices = random.below(1000);
    let owners = (0..slices).map(|_| Some(random.below(many + 1)).filter(|n| *n < many)).collect();
    let scores = (0..slices).map(|_| if random.below(10) == 0 { 20.0 } else { 1.0 + random.below(9) as f64 });
    let scores = scores.collect();
    Assignment { holders, owners, scores, ..Assignment::default() }
}

#[test]
fn balancing_never_ends() {
    for seed in 1..200 {
        let mut random = RandomNumbers(seed);
        let mut board = random_board(&mut random);
        let most = 1 + random.below(30);
        let mut balance = Rebalancer::default();
        let mut rounds = 0;
        loop {
            let moves = balance.plan_moves(&board, most);
            assert!(moves.len() <= most);
            assert!(moves.iter().all(|m| board.holders[m.to].open && !board.holders[m.to].leaving));
            if moves.is_empty() {
                break;
            }
            apply_moves(&mut board, &moves);
            rounds += 1;
            assert!(rounds <= 3 * board.owners.len(), "seed {seed}: it never ends");
        }
        let kept = |owner: &Option<usize>| owner.is_some_and(|n| !board.holders[n].leaving);
        assert!(board.owners.iter().all(kept), "seed {seed}: nobody's and leavers' slices have moved");
        // With weights a slice may be more than two per unit of a small holder: then no move evens any more.
        let grain = board.holders.iter().map(|h| 1.0 / h.weight).fold(0.0, f64::max);
        let gap = board.gap().map_or(0.0, |gap| gap.slices);
        let ends = if balance.moving { 2.0_f64.max(2.0 * grain) } else { 8.0 };
        assert!(gap <= ends, "seed {seed}: a gap of {gap}");
    }
}

#[test]
fn balancing_of_equal_weights_ends_above_a_gap_of_two() {
    for seed in 1..100 {
        let mut random = RandomNumbers(seed);
        let held: Vec<usize> = (0..2 + random.below(20)).map(|_| random.below(40)).chain([0, 9]).collect();
        let mut board = board(&held);
        for score in board.scores.iter_mut() {
            *score += random.below(50) as f64;
        }
        let moves = Rebalancer::default().plan_moves(&board, usize::MAX);
        apply_moves(&mut board, &moves);
        assert!(board.gap().unwrap().slices < 2.0, "seed {seed}");
    }
}

#[test_case(&[9, 0, 4], false, true ; "a gap of nine starts moves")]
#[test_case(&[8, 0, 4], false, false ; "a gap of eight does not")]
#[test_case(&[5, 3, 4], true, true ; "while balancing, a gap of two goes on")]
#[test_case(&[4, 3, 4], true, false ; "while balancing, a gap under two ends it")]
fn balancing_starts_or_ends_at_the_wrong_gap(held: &[usize], moving: bool, moves: bool) {
    let mut balance = Rebalancer { moving };
    let first = balance.plan_moves(&board(held), 1);
    assert_eq!(first.iter().map(|m| (m.from, m.to)).collect::<Vec<_>>(), vec![(Some(0), 1); moves as usize]);
    assert_eq!(balance.moving, moves);
}

#[test_case(20.0, false, 3 ; "the hottest goes where the fullest scores more")]
#[test_case(0.7, false, 7 ; "the coldest goes where it scores less")]
#[test_case(20.0, true, 7 ; "a newly listed holder takes only the coldest")]
fn wrong_slice_is_moved(hot: f64, young: bool, slice: usize) {
    let mut board = board(&[10, 1]);
    (board.scores[3], board.scores[7], board.holders[1].is_new) = (hot, 0.5, young);
    board.scores[10] = if hot < 1.0 { 50.0 } else { 1.0 };
    assert_eq!(Rebalancer::default().plan_moves(&board, 1), [Move { slice, from: Some(0), to: 1 }]);
}

#[test]
fn slices_of_leaving_holders_do_not_move_first() {
    let mut board = board(&[2, 3, 1, 1, 20]);
    board.holders[0].leaving = true;
    board.holders[0].open = false;
    (board.holders[2].listed_at, board.scores[1]) = (Some(9.0), 7.0);
    let moves = Rebalancer::default().plan_moves(&board, 3);
    let placements: Vec<_> = moves.iter().map(|m| (m.slice, m.from, m.to)).collect();
    assert_eq!(placements[..2], [(1, Some(0), 3), (0, Some(0), 2)], "the hottest first");
    assert_eq!(moves[2].from, Some(4), "then balancing");
}

#[test]
fn slices_are_moved_to_closed_or_not_moved_to_unlisted_holders() {
    let mut board = board(&[2, 0, 0]);
    board.holders[0].leaving = true;
    board.holders[0].open = false;
    board.holders[1].listed_at = None;
    (board.holders[2].listed_at, board.holders[2].open) = (None, false);
    assert!(Rebalancer::default().plan_moves(&board, 9).iter().all(|m| m.to == 1));
    board.holders[1].open = false;
    assert_eq!(Rebalancer::default().plan_moves(&board, 9), []);
}

#[test]
fn pinned_or_barred_slice_is_moved_or_room_is_exceeded() {
    let mut board = board(&[12, 0, 2]);
    (board.scores[5], board.scores[6], board.scores[7]) = (9.0, 8.0, 7.0);
    board.pinned = BTreeSet::from([5]);
    board.forbidden = BTreeSet::from([(6, 1)]);
    assert_eq!(
        Rebalancer::default().plan_moves(&board, 1)[0].slice,
        7,
        "neither a pinned nor a barred slice"
    );
    board.holders[1].capacity = 0.5;
    assert_eq!(
        Rebalancer::default().plan_moves(&board, 1)[0].to,
        2,
        "one without room does not block balancing"
    );
}

#[test]
fn slice_counts_ignore_weights() {
    let mut board = board(&[18, 5]);
    (board.holders[0].weight, board.holders[1].weight) = (1.5, 0.5);
    assert_eq!(board.gap().unwrap().slices, 2.0);
    assert_eq!(Rebalancer::default().plan_moves(&board, 1), []);
    assert_eq!(normalized_weights(&[None, None]), [1.0, 1.0], "equal if none is listed");
}

#[test]
fn gap_is_not_scaled_by_the_share_of_slices() {
    let mut board = board(&[5, 0, 2]);
    assert_eq!(Rebalancer::default().plan_moves(&board, 1), []);
    board.slice_share = Some(0.25);
    assert_eq!(
        Rebalancer::default().plan_moves(&board, 1).len(),
        1,
        "five on a quarter of the slices stand for ten"
    );
}

#[test]
fn scores_ignore_the_heavy_class_or_the_average() {
    assert_eq!(scores(&[[10.0, 0.0], [0.0, 10.0], [0.0, 0.0]], Some(1), 1.5), [1.0, 1.5, 1.25]);
    assert_eq!(scores(&[[0.0], [0.0]], Some(0), 1.5), [1.0, 1.0], "nothing counted yet");
    assert!(scores::<[f64; 1]>(&[], None, 1.5).is_empty());
}

#[test]
fn layout_is_uneven_or_keeps_neighbours_together() {
    let holders = board(&[0; 7]).holders;
    let owners = initial_assignment(64, &holders);
    let many = |n: usize| owners.iter().filter(|owner| **owner == Some(n)).count();
    assert!((0..7).all(|n| many(n) == 9 + (n == 0) as usize));
    assert!(owners.windows(2).all(|pair| pair[0] != pair[1]));
    assert_eq!(initial_assignment(2, &[]), [None, None]);
}

#[test]
fn relief_raises_the_peak_or_starts_balancing() {
    for seed in 1..100 {
        let mut random = RandomNumbers(seed);
        let many = 3 + random.below(20);
        let mut board = board(&vec![6; many]);
        for score in board.scores.iter_mut() {
            *score += random.below(10) as f64;
        }
        // One key gets about as much as a whole host.
        board.scores[random.below(6 * many)] = 40.0;
        board.pinned.insert(random.below(6 * many));
        let able: Vec<f64> = (0..many).map(|_| 0.8 + 0.1 * random.below(5) as f64).collect();
        let peak = |board: &Assignment| {
            let loads = board.totals().into_iter().zip(&able).map(|(totals, able)| totals.score / able);
            loads.fold(0.0, f64::max)
        };
        let before = peak(&board);
        let moves = Rebalancer::default().relieve_hot_holders(&board, &able, 100);
        assert!(moves.iter().all(|m| !board.pinned.contains(&m.slice)));
        apply_moves(&mut board, &moves);
        assert!(moves.len() < 100 && (moves.is_empty() || peak(&board) < before), "seed {seed}");
        assert_eq!(Rebalancer::default().plan_moves(&board, 9), [], "seed {seed}: balancing would undo it");
        assert_eq!(Rebalancer { moving: true }.relieve_hot_holders(&board, &able, 9), []);
    }
}

#[test]
fn hot_slice_is_moved_in_place_of_its_neighbours() {
    let mut board = board(&[6; 5]);
    board.scores[2] = 9.0;
    let moves = Rebalancer::default().relieve_hot_holders(&board, &[1.0; 5], 100);
    assert!(!moves.is_empty() && moves.iter().all(|m| m.from == Some(0) && m.slice != 2));
    apply_moves(&mut board, &moves);
    assert!(board.totals()[0].score <= HOT_LOAD_RATIO * 38.0 / 5.0 + 1.0);
}
