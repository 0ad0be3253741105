use std::collections::BTreeSet;

/// One that may hold slices.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The weight by which its count is reckoned: see `units`.
    pub unit: f64,
    /// When it was listed, or its place in the list; none: it is known, but not listed.
    pub listed_at: Option<f64>,
    /// Newly listed: it takes only coldest slices.
    pub young: bool,
    /// It may take slices; one that may not, but isn't leaving, still gives them.
    pub open: bool,
    /// Draining or gone: its slices move first.
    pub leaving: bool,
    /// The score that it may still take.
    pub room: f64,
}

impl Default for Holder {
    fn default() -> Self {
        let (unit, room) = (1.0, f64::INFINITY);
        Holder { unit, listed_at: Some(0.0), young: false, open: true, leaving: false, room }
    }
}

/// Who holds what. A slice under way counts with the holder that it goes to, and is pinned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    pub holders: Vec<Holder>,
    pub owners: Vec<Option<usize>>,
    pub scores: Vec<f64>,
    /// Slices that are not to be moved.
    pub pinned: BTreeSet<usize>,
    /// Slices, and holders that must not get them.
    pub barred: BTreeSet<(usize, usize)>,
    /// The part of all slices that is on this board; none: all.
    pub part: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    pub slice: usize,
    pub from: Option<usize>,
    pub to: usize,
}

/// What the mechanism remembers: past a gap of 8 slices it moves them until the gap is under 2.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Balance {
    pub moving: bool,
}

impl Board {
    /// How many slices each holder has, and the sum of their scores.
    pub fn sums(&self) -> Vec<(f64, f64)> {
        let mut sums = vec![(0.0, 0.0); self.holders.len()];
        for (owner, score) in self.owners.iter().zip(&self.scores) {
            owner.iter().for_each(|owner| sums[*owner] = (sums[*owner].0 + 1.0, sums[*owner].1 + score));
        }
        sums
    }

    pub(crate) fn free(&self, slice: usize, to: usize) -> bool {
        !self.pinned.contains(&slice) && !self.barred.contains(&(slice, to))
    }

    /// Carries a move out.
    pub(crate) fn take(&mut self, next: &Move) {
        let score = self.scores[next.slice];
        next.from.iter().for_each(|from| self.holders[*from].room += score);
        self.holders[next.to].room -= score;
        self.owners[next.slice] = Some(next.to);
    }
}
