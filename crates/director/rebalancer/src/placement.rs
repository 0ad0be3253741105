//! Placement other than balancing: an even initial assignment, and slices without a holder or whose holder leaves.

use crate::assignment::{receivers, Assignment, CandidateRank, Holder, Move, Rebalancer};
use crate::mechanism::{normalized_weight, select_holder};
use std::cmp::Ordering;

/// Credits that differ by less than this count as equal, as sums of fractions are rounded.
const CREDIT_PRECISION: f64 = 1e-9;

/// Scales the listed weights to a mean of 1. A weight that is not listed is 1, as are all if none is above 0.
pub fn normalized_weights(weights: &[Option<f64>]) -> Vec<f64> {
    let listed: Vec<f64> = weights.iter().filter_map(|weight| *weight).collect();
    let mean = listed.iter().sum::<f64>() / listed.len().max(1) as f64;
    let scaled = |weight: &Option<f64>| match weight {
        Some(weight) if mean > 0.0 => normalized_weight(*weight, mean),
        _ => 1.0,
    };
    weights.iter().map(scaled).collect()
}

/// An even initial assignment by weighted round robin, so that neighbouring slices, and with them busy keys that are
/// close together, go to different holders. Slices have no holder if none may receive any.
///
/// ```
/// use coppersail_rebalancer::{initial_assignment, Holder};
/// let (one, gone) = (Holder::default(), Holder { open: false, leaving: true, ..Holder::default() });
/// assert_eq!(initial_assignment(3, &[one.clone(), gone, one]), [Some(0), Some(2), Some(0)]);
/// ```
pub fn initial_assignment(slices: usize, holders: &[Holder]) -> Vec<Option<usize>> {
    let mut receivers = receivers(holders);
    let by_listing = |a: &usize, b: &usize| {
        holders[*a].listed_at.partial_cmp(&holders[*b].listed_at).unwrap_or_else(|| a.cmp(b))
    };
    receivers.sort_by(by_listing);
    let mut rotation = WeightedRotation::new(receivers.iter().map(|h| holders[*h].weight).collect());
    let mut owners = Vec::with_capacity(slices);
    for _ in 0..slices {
        owners.push(rotation.next_turn().map(|turn| receivers[turn]));
    }
    owners
}

/// Smooth weighted round robin: each turn adds every weight to its credit, selects the highest credit and subtracts the
/// total of the weights from it.
struct WeightedRotation {
    weights: Vec<f64>,
    total: f64,
    credits: Vec<f64>,
}

impl WeightedRotation {
    fn new(weights: Vec<f64>) -> Self {
        let total = weights.iter().sum();
        let credits = vec![0.0; weights.len()];
        WeightedRotation { weights, total, credits }
    }

    /// Index of the weight whose turn it is; of equals the first. `None` without weights.
    fn next_turn(&mut self) -> Option<usize> {
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let credits = &self.credits;
        let higher = |a: usize, b: usize| if credits[b] > credits[a] + CREDIT_PRECISION { b } else { a };
        let selected = (0..credits.len()).reduce(higher)?;
        self.credits[selected] -= self.total;
        Some(selected)
    }
}

impl Rebalancer {
    /// At most `max_moves` moves: first slices without a holder or whose holder leaves, then balancing.
    pub fn plan_moves(&mut self, assignment: &Assignment, max_moves: usize) -> Vec<Move> {
        let mut assignment = assignment.clone();
        let mut moves = assignment.place_displaced(max_moves);
        while moves.len() < max_moves {
            let Some(next) = self.next_move(&assignment) else { break };
            assignment.apply(&next);
            moves.push(next);
        }
        moves
    }
}

impl Assignment {
    /// Places slices without a holder or whose holder leaves, hottest first, each on the holder with the fewest slices
    /// per unit of weight (of equals the one listed longest), and applies these moves. Unlisted holders receive slices
    /// only if none is listed.
    fn place_displaced(&mut self, max_moves: usize) -> Vec<Move> {
        let receivers = self.receivers();
        let mut totals = self.totals();
        let mut moves = Vec::new();
        for slice in self.displaced_slices() {
            if moves.len() >= max_moves {
                break;
            }
            let rank = |h: usize| CandidateRank {
                lacks_capacity: self.holders[h].capacity < self.scores[slice],
                fill: self.fill(&totals, h, 1.0),
                listed_at: self.holders[h].listed_at,
            };
            let candidates = receivers.iter().copied().filter(|h| self.may_move(slice, *h));
            let Some(to) = select_holder(candidates.map(|h| (rank(h), h))) else { continue };
            let next = Move { slice, from: self.owners[slice], to };
            if let Some(from) = next.from {
                totals[from].slices -= 1.0;
            }
            totals[to].slices += 1.0;
            self.apply(&next);
            moves.push(next);
        }
        moves
    }

    /// Slices without a holder or whose holder leaves, hottest first.
    fn displaced_slices(&self) -> Vec<usize> {
        let is_displaced = |slice: &usize| match self.owners[*slice] {
            Some(holder) => self.holders[holder].leaving,
            None => true,
        };
        let by_score = |a: &usize, b: &usize| -> Ordering { self.scores[*b].total_cmp(&self.scores[*a]) };
        let mut slices: Vec<usize> = (0..self.owners.len()).filter(is_displaced).collect();
        slices.sort_by(by_score);
        slices
    }
}
