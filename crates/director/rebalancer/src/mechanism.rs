//! Scores, the gap between the fullest and the emptiest holder, and the next move, after sections III A and III B of
//! Liu, Wang, Jin: "Research on The Improvement of MongoDB Auto-Sharding in Cloud Environment" (the paper).

use crate::assignment::{Assignment, CandidateRank, Gap, Move, Rebalancer, Totals};
use std::cmp::Ordering;

/// Gaps above which balancing starts, and below which it ends (paper, III B step 1), in slices per unit of weight.
pub(crate) const START_GAP: f64 = 8.0;
const STOP_GAP: f64 = 2.0;

/// A listed weight, scaled to a mean of 1. At least 0.01, as slice counts are divided by it.
pub fn normalized_weight(weight: f64, mean: f64) -> f64 {
    (weight / mean).max(0.01)
}

/// The candidate with the lowest rank, which gets a slice; `None` without candidates.
pub fn select_holder<L: PartialOrd, H>(candidates: impl Iterator<Item = (CandidateRank<L>, H)>) -> Option<H> {
    let first = candidates.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
    first.map(|(_, holder)| holder)
}

/// The paper's score of each slice (equations 1 and 2), from its counts of requests by class: its shares of all
/// classes, added up, that of the heavy class times `heavy_factor`. Without requests a slice gets the average score.
pub fn scores<R: AsRef<[f64]>>(rows: &[R], heavy: Option<usize>, heavy_factor: f64) -> Vec<f64> {
    let classes = rows.iter().map(|row| row.as_ref().len()).max().unwrap_or(0);
    // At least 1, as classes without requests would divide by zero.
    let total = |class: usize| rows.iter().filter_map(|row| row.as_ref().get(class)).sum::<f64>().max(1.0);
    let factor = |class: usize| if Some(class) == heavy { heavy_factor } else { 1.0 } / total(class);
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
    /// The holders to balance (listed and staying) by slices per unit of weight: emptiest first, fullest last.
    pub(crate) fn ranked(&self, totals: &[Totals]) -> Vec<usize> {
        let is_balanced = |h: &usize| self.holders[*h].listed_at.is_some() && !self.holders[*h].leaving;
        let mut ranked: Vec<usize> = (0..self.holders.len()).filter(is_balanced).collect();
        ranked.sort_by(|a, b| self.fill(totals, *a, 0.0).total_cmp(&self.fill(totals, *b, 0.0)));
        ranked
    }

    /// The fullest holder, the emptiest one that could take a slice of it, and the gap between them. Holders without
    /// capacity are skipped, so that they do not block balancing. `None` if no two holders can be compared.
    pub fn gap(&self) -> Option<Gap> {
        let totals = self.totals();
        let ranked = self.ranked(&totals);
        let [_, .., fullest] = ranked[..] else { return None };
        let lowest_score = self.lowest_score(fullest);
        let can_take = |h: &usize| self.holders[*h].open && self.holders[*h].capacity >= lowest_score;
        let emptiest = ranked.into_iter().find(can_take)?;
        let difference = self.fill(&totals, fullest, 0.0) - self.fill(&totals, emptiest, 0.0);
        // If each of several assignments has a share of the slices, random gaps add up by the square root.
        Some(Gap { fullest, emptiest, slices: difference / self.slice_share.unwrap_or(1.0).sqrt() })
    }
}

impl Rebalancer {
    /// The next move from the fullest to the emptiest holder, if one is due (paper, III B step 2).
    pub fn next_move(&mut self, assignment: &Assignment) -> Option<Move> {
        let Gap { fullest: from, emptiest: to, slices: gap } = assignment.gap()?;
        self.moving = gap > START_GAP || (self.moving && gap >= STOP_GAP);
        let totals = assignment.totals();
        // With unequal weights a move may overshoot, so it must lessen the difference.
        let fill = |holder, more| assignment.fill(&totals, holder, more);
        let lessens_gap = fill(to, 1.0) - fill(from, -1.0) < fill(from, 0.0) - fill(to, 0.0);
        let Assignment { holders, scores, .. } = assignment;
        let sends_hottest = !holders[to].is_new && totals[from].score > totals[to].score;
        let key = |slice: usize| if sends_hottest { -scores[slice] } else { scores[slice] };
        let movable = assignment.slices_of(from).filter(|slice| assignment.may_move(*slice, to));
        let slice = movable.min_by(|a, b| key(*a).total_cmp(&key(*b)))?;
        let is_due = self.moving && lessens_gap && holders[to].capacity >= scores[slice];
        is_due.then_some(Move { slice, from: Some(from), to })
    }
}
