//! The types of the mechanism: which holder has which slices, moves, and totals of an assignment.

use std::collections::BTreeSet;

/// A host or group of hosts that may hold slices.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The weight by which its slice count is divided, above 0 and scaled to a mean of 1: see
    /// [`normalized_weights`](crate::normalized_weights).
    pub weight: f64,
    /// When it was listed, or its position in the list; `None` if it is known, but not listed.
    pub listed_at: Option<f64>,
    /// It was listed recently, and receives only the coldest slices.
    pub is_new: bool,
    /// It may receive slices. A holder that may not, but is not leaving either, still gives slices away.
    pub open: bool,
    /// It is draining or gone, and its slices are moved first.
    pub leaving: bool,
    /// The sum of scores that it may still receive; infinite without a limit.
    pub capacity: f64,
}

impl Default for Holder {
    fn default() -> Self {
        Holder {
            weight: 1.0,
            listed_at: Some(0.0),
            is_new: false,
            open: true,
            leaving: false,
            capacity: f64::INFINITY,
        }
    }
}

/// Which holder has which slices, both identified by index. A slice that is being moved counts for the holder that it
/// goes to, and is pinned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assignment {
    /// All holders.
    pub holders: Vec<Holder>,
    /// The holder of each slice; `None` if it has none.
    pub owners: Vec<Option<usize>>,
    /// The score of each slice: see [`scores`](crate::scores).
    pub scores: Vec<f64>,
    /// Slices that must not be moved.
    pub pinned: BTreeSet<usize>,
    /// Pairs of a slice and a holder that must not receive it.
    pub forbidden: BTreeSet<(usize, usize)>,
    /// The share of all slices that is in this assignment, from 0 to 1; `None` if it has all of them.
    pub slice_share: Option<f64>,
}

/// The move of a slice to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The slice's index.
    pub slice: usize,
    /// The holder that it leaves; `None` if it has none.
    pub from: Option<usize>,
    /// The holder that it goes to.
    pub to: usize,
}

/// The difference between two holders, in slices per unit of weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    /// The holder with the most slices per unit of weight.
    pub fullest: usize,
    /// The holder with the fewest, of those that could receive any slice of the fullest.
    pub emptiest: usize,
    /// By how many slices per unit of weight they differ, extrapolated from this assignment to all slices.
    pub slices: f64,
}

/// The slices and score of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of slices.
    pub slices: f64,
    /// Sum of their scores.
    pub score: f64,
}

/// Rank of a holder that may receive a slice; the lowest gets it. Compared field by field in this order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CandidateRank<L> {
    /// Its capacity is below the score of the slice.
    pub lacks_capacity: bool,
    /// How many slices per unit of weight it would hold with the slice.
    pub fill: f64,
    /// When it was listed; the one listed first is preferred.
    pub listed_at: L,
}

/// State of the mechanism: above a gap of 8 slices it moves slices until the gap is under 2.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rebalancer {
    /// Balancing is in progress: a gap of more than 8 slices was seen, and none under 2 since.
    pub moving: bool,
}

impl Assignment {
    /// Slices and score of each holder.
    pub fn totals(&self) -> Vec<Totals> {
        let mut totals = vec![Totals::default(); self.holders.len()];
        for (owner, score) in self.owners.iter().zip(&self.scores) {
            if let Some(owner) = owner {
                totals[*owner].slices += 1.0;
                totals[*owner].score += score;
            }
        }
        totals
    }

    /// Slices per unit of weight that a holder would have with `more` additional slices.
    pub(crate) fn fill(&self, totals: &[Totals], holder: usize, more: f64) -> f64 {
        (totals[holder].slices + more) / self.holders[holder].weight
    }

    /// The slices of a holder.
    pub(crate) fn slices_of(&self, holder: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.owners.len()).filter(move |slice| self.owners[*slice] == Some(holder))
    }

    /// The lowest score of a holder's slices; infinite if it has none.
    pub(crate) fn lowest_score(&self, holder: usize) -> f64 {
        self.slices_of(holder).map(|slice| self.scores[slice]).fold(f64::INFINITY, f64::min)
    }

    /// Holders that may receive slices, by index.
    pub(crate) fn receivers(&self) -> Vec<usize> {
        receivers(&self.holders)
    }

    /// Whether the slice may be moved to this holder.
    pub(crate) fn may_move(&self, slice: usize, to: usize) -> bool {
        !self.pinned.contains(&slice) && !self.forbidden.contains(&(slice, to))
    }

    /// Applies a move.
    pub(crate) fn apply(&mut self, next: &Move) {
        let score = self.scores[next.slice];
        if let Some(from) = next.from {
            self.holders[from].capacity += score;
        }
        self.holders[next.to].capacity -= score;
        self.owners[next.slice] = Some(next.to);
    }
}

/// Holders that may receive slices and are not leaving, by index: the listed ones, or all if none is listed.
pub(crate) fn receivers(holders: &[Holder]) -> Vec<usize> {
    let open = (0..holders.len()).filter(|h| holders[*h].open && !holders[*h].leaving);
    let open: Vec<usize> = open.collect();
    let is_listed = |h: &usize| holders[*h].listed_at.is_some();
    let listed: Vec<usize> = open.iter().copied().filter(is_listed).collect();
    if listed.is_empty() {
        open
    } else {
        listed
    }
}
