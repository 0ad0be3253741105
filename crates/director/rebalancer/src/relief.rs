//! Relief of hot holders: an addition to the paper's mechanism for hot slices where slice counts are even.

use crate::assignment::{Assignment, Move, Rebalancer, Totals};
use crate::mechanism::START_GAP;

/// A holder is hot above this multiple of the mean load: beyond the noise of counts over a few seconds, and well under
/// twice the mean, at which it would be saturated while the others are half idle.
pub const HOT_LOAD_RATIO: f64 = 1.3;

/// Lower bound of a holder's throughput, as loads are divided by it.
const MIN_THROUGHPUT: f64 = 0.01;

impl Rebalancer {
    /// At most `max_moves` moves off hot holders, whose score for their throughput is far above the mean although slice
    /// counts are even: a hot slice stays, and others move to the least loaded holders. The counts may then differ, but
    /// by less than the gap that starts balancing, which would undo the relief. While balancing moves slices, no relief
    /// is planned.
    ///
    /// `throughputs` has the throughput of each holder, in any unit.
    ///
    /// ```
    /// use coppersail_rebalancer::{Assignment, Holder, Rebalancer};
    /// let holders = vec![Holder::default(); 2];
    /// let owners = vec![Some(0), Some(1), Some(0), Some(1)];
    /// let assignment = Assignment { holders, owners, scores: vec![9.0, 1.0, 1.0, 1.0], ..Assignment::default() };
    /// let moves = Rebalancer::default().relieve_hot_holders(&assignment, &[1.0, 1.0], 5);
    /// assert_eq!((moves.len(), moves[0].slice, moves[0].to), (1, 2, 1));
    /// ```
    pub fn relieve_hot_holders(
        &self,
        assignment: &Assignment,
        throughputs: &[f64],
        max_moves: usize,
    ) -> Vec<Move> {
        let mut assignment = assignment.clone();
        let mut moves = Vec::new();
        while !self.moving && moves.len() < max_moves {
            let Some(next) = Relief::new(&assignment, throughputs).next_move() else { break };
            assignment.apply(&next);
            moves.push(next);
        }
        moves
    }
}

/// The search for one move.
struct Relief<'a> {
    assignment: &'a Assignment,
    /// Throughput of each holder.
    throughputs: Vec<f64>,
    totals: Vec<Totals>,
    /// The holders to balance, emptiest first.
    ranked: Vec<usize>,
}

impl<'a> Relief<'a> {
    fn new(assignment: &'a Assignment, throughputs: &[f64]) -> Self {
        let totals = assignment.totals();
        let ranked = assignment.ranked(&totals);
        let throughputs = throughputs.iter().map(|throughput| throughput.max(MIN_THROUGHPUT)).collect();
        Relief { assignment, throughputs, totals, ranked }
    }

    /// Load of a holder with `more` additional score: score divided by throughput.
    fn load(&self, holder: usize, more: f64) -> f64 {
        (self.totals[holder].score + more) / self.throughputs[holder]
    }

    /// Load above which a holder is hot.
    fn hot_load(&self) -> f64 {
        let mut score = 0.0;
        let mut throughput = 0.0;
        for holder in &self.ranked {
            score += self.totals[*holder].score;
            throughput += self.throughputs[*holder];
        }
        HOT_LOAD_RATIO * score / throughput
    }

    /// The next move off the most loaded holder, if it is hot and another one can take a slice.
    fn next_move(&self) -> Option<Move> {
        let load = |holder: &usize| self.load(*holder, 0.0);
        let hottest = self.ranked.iter().copied().max_by(|a, b| load(a).total_cmp(&load(b)))?;
        if load(&hottest) <= self.hot_load() {
            return None;
        }
        // The least loaded receiver is tried first, and the next if its capacity or the gap forbids a move.
        let mut others: Vec<usize> = self.ranked.iter().copied().filter(|h| *h != hottest).collect();
        others.sort_by(|a, b| load(a).total_cmp(&load(b)));
        let fills = || others.iter().map(|h| self.assignment.fill(&self.totals, *h, 0.0));
        let lowest_fill = fills().fold(self.assignment.fill(&self.totals, hottest, -1.0), f64::min);
        let highest_fill = fills().fold(0.0, f64::max);
        for to in others.iter().copied() {
            let fill_after = self.assignment.fill(&self.totals, to, 1.0);
            let starts_no_balancing = fill_after.max(highest_fill) - lowest_fill < START_GAP;
            let slice = if starts_no_balancing { self.largest_fitting(hottest, to) } else { None };
            if let Some(slice) = slice {
                return Some(Move { slice, from: Some(hottest), to });
            }
        }
        None
    }

    /// The slice with the highest score that the receiver can take without becoming the more loaded holder.
    fn largest_fitting(&self, from: usize, to: usize) -> Option<usize> {
        let scores = &self.assignment.scores;
        let fitting = self.assignment.slices_of(from).filter(|slice| self.fits(*slice, from, to));
        fitting.max_by(|a, b| scores[*a].total_cmp(&scores[*b]))
    }

    fn fits(&self, slice: usize, from: usize, to: usize) -> bool {
        let score = self.assignment.scores[slice];
        let receiver = &self.assignment.holders[to];
        let stays_less_loaded = self.load(from, -score) >= self.load(to, score);
        stays_less_loaded
            && receiver.open
            && self.assignment.may_move(slice, to)
            && receiver.capacity >= score
    }
}
