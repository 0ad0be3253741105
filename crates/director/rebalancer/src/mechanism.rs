use crate::board::{Balance, Board, Move};
use std::cmp::Ordering;

/// A listed weight, scaled so that the average is 1; a hundredth at least, as counts are divided by it.
pub fn unit(weight: f64, mean: f64) -> f64 {
    (weight / mean).max(0.01)
}

/// Of those that may take a slice the first by its key: whether they lack the room, how many slices per unit
/// of weight they would hold with it, and when they were listed.
pub fn seat<L: PartialOrd, H>(keys: impl Iterator<Item = ((bool, f64, L), H)>) -> Option<H> {
    keys.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal)).map(|(_, holder)| holder)
}

/// The paper's score of each slice, from its counts by class: `inc` times its share of the heavy class plus
/// its shares of the others. One without counted requests scores as the average slice.
pub fn scores<R: AsRef<[f64]>>(rows: &[R], heavy: Option<usize>, inc: f64) -> Vec<f64> {
    let classes = rows.iter().map(|row| row.as_ref().len()).max().unwrap_or(0);
    // Under one request in all there is nothing to have a share of.
    let all = |c: usize| rows.iter().filter_map(|row| row.as_ref().get(c)).sum::<f64>().max(1.0);
    let factor = |c: usize| if Some(c) == heavy { inc } else { 1.0 } / all(c);
    let factors: Vec<f64> = (0..classes).map(factor).collect();
    let score = |row: &R| row.as_ref().iter().zip(&factors).map(|(many, factor)| many * factor).sum();
    let mut scores: Vec<f64> = rows.iter().map(score).collect();
    let counted = scores.iter().filter(|score| **score > 0.0).count();
    let average = if counted > 0 { scores.iter().sum::<f64>() / counted as f64 } else { 1.0 };
    scores.iter_mut().filter(|score| **score <= 0.0).for_each(|score| *score = average);
    scores
}

impl Board {
    /// Those among whom counts are to be even, emptiest first; the last is the fullest.
    pub(crate) fn ranked(&self, sums: &[(f64, f64)]) -> Vec<usize> {
        let even = |h: &usize| self.holders[*h].listed_at.is_some() && !self.holders[*h].leaving;
        let mut ranked: Vec<usize> = (0..self.holders.len()).filter(even).collect();
        let full = |h: usize| sums[h].0 / self.holders[h].unit;
        ranked.sort_by(|a, b| full(*a).total_cmp(&full(*b)));
        ranked
    }

    /// The fullest, the emptiest that could take anything of it, and the gap between them, in slices per unit
    /// of weight. One that is full must not hold up all.
    pub fn gap(&self) -> Option<(usize, usize, f64)> {
        let sums = self.sums();
        let ranked = self.ranked(&sums);
        let [_, .., from] = ranked[..] else { return None };
        let held = self.owners.iter().zip(&self.scores).filter(|(owner, _)| **owner == Some(from));
        let least = held.map(|(_, score)| *score).fold(f64::INFINITY, f64::min);
        let takes = |to: &usize| self.holders[*to].open && self.holders[*to].room >= least;
        let to = ranked.into_iter().find(takes)?;
        let full = |h: usize| sums[h].0 / self.holders[h].unit;
        // Of several boards the gaps of all, as chance has it, add up by the root.
        Some((from, to, (full(from) - full(to)) / self.part.unwrap_or(1.0).sqrt()))
    }
}

impl Balance {
    /// The next move from fullest to emptiest, if one is due.
    pub fn step(&mut self, board: &Board) -> Option<Move> {
        let (from, to, gap) = board.gap()?;
        self.moving = gap > 8.0 || (self.moving && gap >= 2.0);
        let sums = board.sums();
        // Reckoned per unit of weight, a move may overshoot: the receiver must not end up the fuller one.
        let full = |h: usize, more: f64| (sums[h].0 + more) / board.holders[h].unit;
        let eased = full(to, 1.0) - full(from, -1.0) < full(from, 0.0) - full(to, 0.0);
        let hottest = !board.holders[to].young && sums[from].1 > sums[to].1;
        let key = |slice: &usize| if hottest { -board.scores[*slice] } else { board.scores[*slice] };
        let held = (0..board.owners.len()).filter(|slice| board.owners[*slice] == Some(from));
        let free = held.filter(|slice| board.free(*slice, to));
        let slice = free.min_by(|a, b| key(a).total_cmp(&key(b)))?;
        let due = self.moving && eased && board.holders[to].room >= board.scores[slice];
        due.then_some(Move { slice, from: Some(from), to })
    }
}
