//! Relief of hot holders: an addition to the paper's mechanism, for hot slices at an even count.

use crate::assignment::{Assignment, Move, Rebalancer, Totals};

/// A holder is hot from so many times the mean load on: beyond the noise of counts over a few seconds, and
/// well under twice, at which it would fill while the others are half empty.
pub const HOT_LOAD_RATIO: f64 = 1.3;

/// The gap in slices per unit of weight at which balancing starts, and would undo what relief did.
const BALANCING_GAP: f64 = 8.0;

/// What a holder is able to do at least, as loads are divided by it.
const MIN_ABILITY: f64 = 0.01;

impl Rebalancer {
    /// At most so many moves off holders that carry far more score than others, for what they can, although
    /// counts are even: a hot slice stays, others go to the least loaded. Counts may come to differ by this,
    /// but by no more than the gap that starts balancing; while that moves slices this waits.
    ///
    /// `able` has for each holder what it can do, in any unit.
    ///
    /// ```
    /// use coppersail_rebalancer::{Assignment, Holder, Rebalancer};
    /// let holders = vec![Holder::default(); 2];
    /// let owners = vec![Some(0), Some(1), Some(0), Some(1)];
    /// let board = Assignment { holders, owners, scores: vec![9.0, 1.0, 1.0, 1.0], ..Assignment::default() };
    /// let moves = Rebalancer::default().relieve_hot_holders(&board, &[1.0, 1.0], 5);
    /// assert_eq!((moves.len(), moves[0].slice, moves[0].to), (1, 2, 1));
    /// ```
    pub fn relieve_hot_holders(&self, board: &Assignment, able: &[f64], most: usize) -> Vec<Move> {
        let mut board = board.clone();
        let mut moves = Vec::new();
        while !self.moving && moves.len() < most {
            let Some(next) = Relief::new(&board, able).next_move() else { break };
            board.apply(&next);
            moves.push(next);
        }
        moves
    }
}

/// The search for one move.
struct Relief<'a> {
    board: &'a Assignment,
    /// What each holder can do.
    abilities: Vec<f64>,
    totals: Vec<Totals>,
    /// Those among whom counts are to be even, emptiest first.
    ranked: Vec<usize>,
}

impl<'a> Relief<'a> {
    fn new(board: &'a Assignment, able: &[f64]) -> Self {
        let totals = board.totals();
        let ranked = board.ranked(&totals);
        let abilities = able.iter().map(|able| able.max(MIN_ABILITY)).collect();
        Relief { board, abilities, totals, ranked }
    }

    /// Score of a holder with `more` score, for what it can do.
    fn load(&self, holder: usize, more: f64) -> f64 {
        (self.totals[holder].score + more) / self.abilities[holder]
    }

    /// Load from which on a holder is hot.
    fn hot_load(&self) -> f64 {
        let mut score = 0.0;
        let mut ability = 0.0;
        for holder in &self.ranked {
            score += self.totals[*holder].score;
            ability += self.abilities[*holder];
        }
        HOT_LOAD_RATIO * score / ability
    }

    /// The next move off the most loaded holder, if it is hot and another can help it.
    fn next_move(&self) -> Option<Move> {
        let load = |holder: &usize| self.load(*holder, 0.0);
        let hottest = self.ranked.iter().copied().max_by(|a, b| load(a).total_cmp(&load(b)))?;
        if load(&hottest) <= self.hot_load() {
            return None;
        }
        // The one it can help most comes first; where its room or the gap forbids that, the next.
        let mut others: Vec<usize> = self.ranked.iter().copied().filter(|h| *h != hottest).collect();
        others.sort_by(|a, b| load(a).total_cmp(&load(b)));
        let fills = || others.iter().map(|h| self.board.fill(&self.totals, *h, 0.0));
        let lowest_fill = fills().fold(self.board.fill(&self.totals, hottest, -1.0), f64::min);
        let highest_fill = fills().fold(0.0, f64::max);
        for to in others.iter().copied() {
            let fill_after = self.board.fill(&self.totals, to, 1.0);
            let starts_no_balancing = fill_after.max(highest_fill) - lowest_fill < BALANCING_GAP;
            let slice = if starts_no_balancing { self.largest_fitting(hottest, to) } else { None };
            if let Some(slice) = slice {
                return Some(Move { slice, from: Some(hottest), to });
            }
        }
        None
    }

    /// The slice with the highest score that the holder can take without becoming the more loaded one.
    fn largest_fitting(&self, from: usize, to: usize) -> Option<usize> {
        let scores = &self.board.scores;
        let fitting = self.board.slices_of(from).filter(|slice| self.fits(*slice, from, to));
        fitting.max_by(|a, b| scores[*a].total_cmp(&scores[*b]))
    }

    fn fits(&self, slice: usize, from: usize, to: usize) -> bool {
        let score = self.board.scores[slice];
        let receiver = &self.board.holders[to];
        let evens = self.load(from, -score) >= self.load(to, score);
        evens && receiver.open && self.board.may_move(slice, to) && receiver.capacity >= score
    }
}
