//! Placing slices beside balancing: an even layout for a start, and slices that nobody holds or whose holder leaves.

use crate::assignment::{receivers, Assignment, CandidateRank, Holder, Move, Rebalancer};
use crate::mechanism::{normalized_weight, select_holder};
use std::cmp::Ordering;

/// Credits that differ by less than this are equal: they are sums of fractions.
const CREDIT_PRECISION: f64 = 1e-9;

/// Listed weights, scaled to an average of 1; where none is listed, counts are taken plainly.
pub fn normalized_weights(weights: &[Option<f64>]) -> Vec<f64> {
    let listed: Vec<f64> = weights.iter().filter_map(|weight| *weight).collect();
    let mean = listed.iter().sum::<f64>() / listed.len().max(1) as f64;
    let scaled = |weight: &Option<f64>| match weight {
        Some(weight) if mean > 0.0 => normalized_weight(*weight, mean),
        _ => 1.0,
    };
    weights.iter().map(scaled).collect()
}

/// An even layout for a start: each in turn as its weight says, so that neighbours, and with them busy keys
/// that sit close together, go to different holders. All slices have none where no holder may take any.
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

/// Smooth weighted round robin: each turn everybody earns its weight, and the richest pays the total.
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

    /// Index of the weight whose turn it is; of equals the first. None without weights.
    fn next_turn(&mut self) -> Option<usize> {
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let credits = &self.credits;
        let richer = |a: usize, b: usize| if credits[b] > credits[a] + CREDIT_PRECISION { b } else { a };
        let richest = (0..credits.len()).reduce(richer)?;
        self.credits[richest] -= self.total;
        Some(richest)
    }
}

impl Rebalancer {
    /// At most so many moves: first slices that nobody holds or whose holder leaves, then balancing.
    pub fn plan_moves(&mut self, board: &Assignment, most: usize) -> Vec<Move> {
        let mut board = board.clone();
        let mut moves = board.place_displaced(most);
        while moves.len() < most {
            let Some(next) = self.next_move(&board) else { break };
            board.apply(&next);
            moves.push(next);
        }
        moves
    }
}

impl Assignment {
    /// Slices that nobody holds or whose holder leaves, hottest first, each to the longest listed holder with
    /// fewest slices per unit of weight, or to any if none is listed. Carries the moves out here.
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

    /// Slices that nobody holds or whose holder leaves, hottest first.
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
