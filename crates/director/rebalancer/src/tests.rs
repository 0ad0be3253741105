//! Boards by hand for each rule of the mechanism, and random ones for what must hold on all.

use crate::*;
use std::collections::BTreeSet;
use test_case::test_case;

/// Holder n has `held[n]` slices, each of which scores 1.
fn board(held: &[usize]) -> Board {
    let owners: Vec<_> = held.iter().enumerate().flat_map(|(n, many)| vec![Some(n); *many]).collect();
    let holders =
        (0..held.len()).map(|n| Holder { listed_at: Some(n as f64), ..Holder::default() }).collect();
    Board { holders, scores: vec![1.0; owners.len()], owners, ..Board::default() }
}

fn carry_out(board: &mut Board, moves: &[Move]) {
    for next in moves {
        assert_eq!(board.owners[next.slice], next.from);
        board.apply(next);
    }
}

/// Multiply-with-carry, enough to vary boards.
struct Draws(u64);

impl Draws {
    fn below(&mut self, most: usize) -> usize {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * most as u64) >> 32) as usize
    }
}

/// A few to many holders, weighed, leaving, closed and young at random; a tenth of the slices hot.
fn drawn(draws: &mut Draws) -> Board {
    let many = 2 + draws.below(20);
    let weights: Vec<_> = (0..many).map(|_| Some(1.0 + draws.below(3) as f64)).collect();
    let units = units(&weights);
    let holder = |n: usize| {
        let (leaving, closed, young) = (draws.below(6) == 0, draws.below(8) == 0, draws.below(5) == 0);
        let listed_at = Some(n as f64);
        Holder { unit: units[n], listed_at, young, leaving, open: !leaving && !closed, ..Holder::default() }
    };
    let mut holders: Vec<Holder> = (0..many).map(holder).collect();
    holders[0] = Holder { unit: units[0], ..Holder::default() };
    let slices = draws.below(1000);
    let owners = (0..slices).map(|_| Some(draws.below(many + 1)).filter(|n| *n < many)).collect();
    let scores = (0..slices).map(|_| if draws.below(10) == 0 { 20.0 } else { 1.0 + draws.below(9) as f64 });
    let scores = scores.collect();
    Board { holders, owners, scores, ..Board::default() }
}

#[test]
fn random_boards_come_to_rest() {
    for seed in 1..200 {
        let mut draws = Draws(seed);
        let mut board = drawn(&mut draws);
        let most = 1 + draws.below(30);
        let (mut balance, mut rounds) = (Balance::default(), 0);
        loop {
            let moves = balance.plan(&board, most);
            assert!(moves.len() <= most);
            assert!(moves.iter().all(|m| board.holders[m.to].open && !board.holders[m.to].leaving));
            if moves.is_empty() {
                break;
            }
            carry_out(&mut board, &moves);
            rounds += 1;
            assert!(rounds <= 3 * board.owners.len(), "seed {seed}: it goes on for ever");
        }
        let kept = |owner: &Option<usize>| owner.is_some_and(|n| !board.holders[n].leaving);
        assert!(board.owners.iter().all(kept), "seed {seed}: nobody's and leavers' slices have moved");
        // With weights a slice may be more than two per unit of a small holder: then no move evens any more.
        let grain = board.holders.iter().map(|h| 1.0 / h.unit).fold(0.0, f64::max);
        let gap = board.gap().map_or(0.0, |gap| gap.slices);
        let ends = if balance.moving { 2.0_f64.max(2.0 * grain) } else { 8.0 };
        assert!(gap <= ends, "seed {seed}: a gap of {gap}");
    }
}

#[test]
fn of_equal_weight_every_gap_past_eight_ends_under_two() {
    for seed in 1..100 {
        let mut draws = Draws(seed);
        let held: Vec<usize> = (0..2 + draws.below(20)).map(|_| draws.below(40)).chain([0, 9]).collect();
        let mut board = board(&held);
        board.scores.iter_mut().for_each(|score| *score += draws.below(50) as f64);
        let moves = Balance::default().plan(&board, usize::MAX);
        carry_out(&mut board, &moves);
        assert!(board.gap().unwrap().slices < 2.0, "seed {seed}");
    }
}

#[test_case(&[9, 0, 4], false, true ; "a gap of nine starts moves")]
#[test_case(&[8, 0, 4], false, false ; "a gap of eight does not")]
#[test_case(&[5, 3, 4], true, true ; "begun, a gap of two goes on")]
#[test_case(&[4, 3, 4], true, false ; "begun, a gap under two ends it")]
fn gaps(held: &[usize], moving: bool, moves: bool) {
    let mut balance = Balance { moving };
    let first = balance.plan(&board(held), 1);
    assert_eq!(first.iter().map(|m| (m.from, m.to)).collect::<Vec<_>>(), vec![(Some(0), 1); moves as usize]);
    assert_eq!(balance.moving, moves);
}

#[test_case(20.0, false, 3 ; "the hottest goes where the fullest scores more")]
#[test_case(0.7, false, 7 ; "the coldest goes where it scores less")]
#[test_case(20.0, true, 7 ; "a newly listed holder takes only the coldest")]
fn hottest_or_coldest(hot: f64, young: bool, slice: usize) {
    let mut board = board(&[10, 1]);
    (board.scores[3], board.scores[7], board.holders[1].young) = (hot, 0.5, young);
    board.scores[10] = if hot < 1.0 { 50.0 } else { 1.0 };
    assert_eq!(Balance::default().plan(&board, 1), [Move { slice, from: Some(0), to: 1 }]);
}

#[test]
fn what_leaves_moves_before_balancing_each_to_the_longest_listed_with_fewest() {
    let mut board = board(&[2, 3, 1, 1, 20]);
    (board.holders[0].leaving, board.holders[0].open) = (true, false);
    (board.holders[2].listed_at, board.scores[1]) = (Some(9.0), 7.0);
    let moves = Balance::default().plan(&board, 3);
    let seats: Vec<_> = moves.iter().map(|m| (m.slice, m.from, m.to)).collect();
    assert_eq!(seats[..2], [(1, Some(0), 3), (0, Some(0), 2)], "the hottest first");
    assert_eq!(moves[2].from, Some(4), "then balancing");
}

#[test]
fn with_nobody_listed_any_will_do_and_with_nobody_open_all_stays() {
    let mut board = board(&[2, 0, 0]);
    (board.holders[0].leaving, board.holders[0].open) = (true, false);
    board.holders[1].listed_at = None;
    (board.holders[2].listed_at, board.holders[2].open) = (None, false);
    assert!(Balance::default().plan(&board, 9).iter().all(|m| m.to == 1));
    board.holders[1].open = false;
    assert_eq!(Balance::default().plan(&board, 9), []);
}

#[test]
fn pinned_and_barred_slices_and_rooms_are_minded() {
    let mut board = board(&[12, 0, 2]);
    (board.scores[5], board.scores[6], board.scores[7]) = (9.0, 8.0, 7.0);
    board.pinned = BTreeSet::from([5]);
    board.barred = BTreeSet::from([(6, 1)]);
    assert_eq!(
        Balance::default().plan(&board, 1)[0].slice,
        7,
        "nor what is under way, nor what must not go there"
    );
    board.holders[1].room = 0.5;
    assert_eq!(Balance::default().plan(&board, 1)[0].to, 2, "one without room holds up nothing");
}

#[test]
fn counts_are_per_unit_of_weight() {
    let mut board = board(&[18, 5]);
    (board.holders[0].unit, board.holders[1].unit) = (1.5, 0.5);
    assert_eq!(board.gap().unwrap().slices, 2.0);
    assert_eq!(Balance::default().plan(&board, 1), []);
    assert_eq!(units(&[None, None]), [1.0, 1.0], "plainly if none is listed");
}

#[test]
fn a_gap_stands_for_those_of_all_boards() {
    let mut board = board(&[5, 0, 2]);
    assert_eq!(Balance::default().plan(&board, 1), []);
    board.part = Some(0.25);
    assert_eq!(Balance::default().plan(&board, 1).len(), 1, "five on a quarter of them: one of ten");
}

#[test]
fn scores_weigh_the_heavy_class_and_fill_in_the_average() {
    assert_eq!(scores(&[[10.0, 0.0], [0.0, 10.0], [0.0, 0.0]], Some(1), 1.5), [1.0, 1.5, 1.25]);
    assert_eq!(scores(&[[0.0], [0.0]], Some(0), 1.5), [1.0, 1.0], "nothing counted yet");
    assert!(scores::<[f64; 1]>(&[], None, 1.5).is_empty());
}

#[test]
fn layouts_are_even_and_part_neighbours() {
    let holders = board(&[0; 7]).holders;
    let owners = lay(64, &holders);
    let many = |n: usize| owners.iter().filter(|owner| **owner == Some(n)).count();
    assert!((0..7).all(|n| many(n) == 9 + (n == 0) as usize));
    assert!(owners.windows(2).all(|pair| pair[0] != pair[1]));
    assert_eq!(lay(2, &[]), [None, None]);
}

#[test]
fn relief_lowers_the_peak_and_starts_no_balancing() {
    for seed in 1..100 {
        let mut draws = Draws(seed);
        let many = 3 + draws.below(20);
        let mut board = board(&vec![6; many]);
        board.scores.iter_mut().for_each(|score| *score += draws.below(10) as f64);
        // One key gets about as much as a whole host.
        board.scores[draws.below(6 * many)] = 40.0;
        board.pinned.insert(draws.below(6 * many));
        let able: Vec<f64> = (0..many).map(|_| 0.8 + 0.1 * draws.below(5) as f64).collect();
        let peak = |board: &Board| {
            let loads = board.sums().into_iter().zip(&able).map(|(totals, able)| totals.score / able);
            loads.fold(0.0, f64::max)
        };
        let before = peak(&board);
        let moves = Balance::default().relieve(&board, &able, 100);
        assert!(moves.iter().all(|m| !board.pinned.contains(&m.slice)));
        carry_out(&mut board, &moves);
        assert!(moves.len() < 100 && (moves.is_empty() || peak(&board) < before), "seed {seed}");
        assert_eq!(Balance::default().plan(&board, 9), [], "seed {seed}: balancing would undo it");
        assert_eq!(Balance { moving: true }.relieve(&board, &able, 9), []);
    }
}

#[test]
fn the_hot_slice_stays_and_its_neighbours_go() {
    let mut board = board(&[6; 5]);
    board.scores[2] = 9.0;
    let moves = Balance::default().relieve(&board, &[1.0; 5], 100);
    assert!(!moves.is_empty() && moves.iter().all(|m| m.from == Some(0) && m.slice != 2));
    carry_out(&mut board, &moves);
    assert!(board.sums()[0].score <= HOT * 38.0 / 5.0 + 1.0);
}
