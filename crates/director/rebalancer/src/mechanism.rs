//! The paper's mechanism: scores, the gap between the fullest and the emptiest, the next move.

use crate::assignment::{Assignment, CandidateRank, Gap, Move, Rebalancer, Totals};
use std::cmp::Ordering;

/// A listed weight, scaled so that the average is 1; a hundredth at least, as counts are divided by it.
pub fn normalized_weight(weight: f64, mean: f64) -> f64 {
    (weight / mean).max(0.01)
}

/// Of those that may take a slice the first by its rank; none without candidates.
pub fn select_holder<L: PartialOrd, H>(candidates: impl Iterator<Item = (CandidateRank<L>, H)>) -> Option<H> {
    let first = candidates.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
    first.map(|(_, holder)| holder)
}

/// The paper's score of each slice, from its counts by class: `inc` times its share of the heavy class plus
/// its shares of the others. One without counted requests scores as the average slice.
pub fn scores<R: AsRef<[f64]>>(rows: &[R], heavy: Option<usize>, inc: f64) -> Vec<f64> {
    let classes = rows.iter().map(|row| row.as_ref().len()).max().unwrap_or(0);
    // At least one, as shares of nothing are not defined.
    let total = |class: usize| rows.iter().filter_map(|row| row.as_ref().get(class)).sum::<f64>().max(1.0);
    let factor = |class: usize| if Some(class) == heavy { inc } else { 1.0 } / total(class);
    let factors: Vec<f64> = (0..classes).map(factor).collect();
    let score = |row: &R| row.as_ref().iter().zip(&factors).map(|(count, factor)| count * factor).sum();
    let mut scores: Vec<f64> = rows.iter().map(score).collect();
    let counted = scores.iter().filter(|score| **score > 0.0).count();
    let average = if counted > 0 { scores.iter().sum::<f64>() / counted as f64 } else { 1.0 };
    for score in scores.iter_mut().filter(|score| **score <= 0.0) {
        *score = average;
    }
    scores
}

impl Assignment {
    /// Those among whom counts are to be even, emptiest first; the last is the fullest.
    pub(crate) fn ranked(&self, totals: &[Totals]) -> Vec<usize> {
        let is_counted = |h: &usize| self.holders[*h].listed_at.is_some() && !self.holders[*h].leaving;
        let mut ranked: Vec<usize> = (0..self.holders.len()).filter(is_counted).collect();
        ranked.sort_by(|a, b| self.fill(totals, *a, 0.0).total_cmp(&self.fill(totals, *b, 0.0)));
        ranked
    }

    /// The fullest, the emptiest that could take anything of it, and the gap between them, in slices per unit
    /// of weight. One that is full must not hold up all. None where no two holders can be compared.
    pub fn gap(&self) -> Option<Gap> {
        let totals = self.totals();
        let ranked = self.ranked(&totals);
        let [_, .., fullest] = ranked[..] else { return None };
        let lowest_score = self.lowest_score(fullest);
        let can_take = |h: &usize| self.holders[*h].open && self.holders[*h].capacity >= lowest_score;
        let emptiest = ranked.into_iter().find(can_take)?;
        let difference = self.fill(&totals, fullest, 0.0) - self.fill(&totals, emptiest, 0.0);
        // Of several boards random gaps add up by the square root.
        Some(Gap { fullest, emptiest, slices: difference / self.slice_share.unwrap_or(1.0).sqrt() })
    }
}

impl Rebalancer {
    /// The next move from fullest to emptiest, if one is due.
    pub fn next_move(&mut self, board: &Assignment) -> Option<Move> {
        let Gap { fullest: from, emptiest: to, slices: gap } = board.gap()?;
        self.moving = gap > 8.0 || (self.moving && gap >= 2.0);
        let totals = board.totals();
        // Per unit of weight a move may overshoot: it must lessen the difference.
        let fill = |holder, more| board.fill(&totals, holder, more);
        let lessens_gap = fill(to, 1.0) - fill(from, -1.0) < fill(from, 0.0) - fill(to, 0.0);
        let sends_hottest = !board.holders[to].is_new && totals[from].score > totals[to].score;
        let key = |slice: usize| if sends_hottest { -board.scores[slice] } else { board.scores[slice] };
        let movable = board.slices_of(from).filter(|slice| board.may_move(*slice, to));
        let slice = movable.min_by(|a, b| key(*a).total_cmp(&key(*b)))?;
        let is_due = self.moving && lessens_gap && board.holders[to].capacity >= board.scores[slice];
        is_due.then_some(Move { slice, from: Some(from), to })
    }
}
