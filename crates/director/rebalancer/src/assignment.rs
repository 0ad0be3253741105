//! The types of the mechanism: who holds what, moves, and what is read off a board.

use std::collections::BTreeSet;

/// One that may hold slices.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The weight by which its count is divided, scaled to a mean of 1: see [`normalized_weights`](crate::normalized_weights). Above 0.
    pub weight: f64,
    /// When it was listed, or its position in the list; none: it is known, but not listed.
    pub listed_at: Option<f64>,
    /// Newly listed: it takes only coldest slices.
    pub is_new: bool,
    /// It may take slices; one that may not, but isn't leaving, still gives them.
    pub open: bool,
    /// Draining or gone: its slices move first.
    pub leaving: bool,
    /// The score that it may still take; infinite without a limit.
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

/// Who holds what. Holders and slices are named by their index. A slice that is being moved counts with the holder that
/// it goes to, and is pinned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assignment {
    /// All that may hold slices.
    pub holders: Vec<Holder>,
    /// The holder of each slice; none: nobody holds it.
    pub owners: Vec<Option<usize>>,
    /// The score of each slice: see [`scores`](crate::scores).
    pub scores: Vec<f64>,
    /// Slices that are not to be moved.
    pub pinned: BTreeSet<usize>,
    /// Pairs of a slice and a holder that must not get it.
    pub forbidden: BTreeSet<(usize, usize)>,
    /// The share of all slices that is on this board, from 0 to 1; none: all.
    pub slice_share: Option<f64>,
}

/// A slice that is to go to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The slice's index.
    pub slice: usize,
    /// The holder that it leaves; none: nobody holds it.
    pub from: Option<usize>,
    /// The holder that it goes to.
    pub to: usize,
}

/// The difference between two holders, in slices per unit of weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Gap {
    /// The holder with the most slices per unit of weight.
    pub fullest: usize,
    /// The one with the fewest, of those that could take any slice of the fullest.
    pub emptiest: usize,
    /// By how many slices per unit of weight they differ, as an estimate for all boards.
    pub slices: f64,
}

/// What a holder has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of slices.
    pub slices: f64,
    /// Sum of their scores.
    pub score: f64,
}

/// Rank of a holder that may take a slice: the lowest gets it. Compared field by field.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CandidateRank<L> {
    /// It lacks the room for the slice.
    pub lacks_capacity: bool,
    /// How many slices per unit of weight it would hold with the slice.
    pub fill: f64,
    /// When it was listed: whoever was listed first is preferred.
    pub listed_at: L,
}

/// What the mechanism remembers: past a gap of 8 slices it moves them until the gap is under 2.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rebalancer {
    /// A gap of more than 8 slices was seen, and has not gone below 2 since.
    pub moving: bool,
}

impl Assignment {
    /// What each holder has.
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

    /// Slices per unit of weight that a holder would have with `more` slices.
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

    /// Holders that may take slices and stay, by index.
    pub(crate) fn receivers(&self) -> Vec<usize> {
        receivers(&self.holders)
    }

    /// Whether the slice may be moved to this holder.
    pub(crate) fn may_move(&self, slice: usize, to: usize) -> bool {
        !self.pinned.contains(&slice) && !self.forbidden.contains(&(slice, to))
    }

    /// Carries a move out.
    pub(crate) fn apply(&mut self, next: &Move) {
        let score = self.scores[next.slice];
        if let Some(from) = next.from {
            self.holders[from].capacity += score;
        }
        self.holders[next.to].capacity -= score;
        self.owners[next.slice] = Some(next.to);
    }
}

/// Holders that may take slices and stay, by index: those that are listed, or all if none is.
pub(crate) fn receivers(holders: &[Holder]) -> Vec<usize> {
    let known = (0..holders.len()).filter(|h| holders[*h].open && !holders[*h].leaving);
    let known: Vec<usize> = known.collect();
    let is_listed = |h: &usize| holders[*h].listed_at.is_some();
    let listed: Vec<usize> = known.iter().copied().filter(is_listed).collect();
    if listed.is_empty() {
        known
    } else {
        listed
    }
}
