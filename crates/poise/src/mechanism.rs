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

/// Listed weights, scaled to an average of 1; where none is listed, counts are taken plainly.
pub fn units(weights: &[Option<f64>]) -> Vec<f64> {
    let listed: Vec<f64> = weights.iter().filter_map(|weight| *weight).collect();
    let mean = listed.iter().sum::<f64>() / listed.len().max(1) as f64;
    weights.iter().map(|w| w.filter(|_| mean > 0.0).map_or(1.0, |w| (w / mean).max(0.01))).collect()
}

/// The paper's score of each slice, from its counts by class: `inc` times its share of the heavy class plus its
/// shares of the others. One without counted requests scores as the average slice.
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
    /// How many slices each holder has, and the sum of their scores.
    pub fn sums(&self) -> Vec<(f64, f64)> {
        let mut sums = vec![(0.0, 0.0); self.holders.len()];
        for (owner, score) in self.owners.iter().zip(&self.scores) {
            owner.iter().for_each(|owner| sums[*owner] = (sums[*owner].0 + 1.0, sums[*owner].1 + score));
        }
        sums
    }

    /// Those among whom counts are to be even, emptiest first; the last is the fullest.
    pub(crate) fn ranked(&self, sums: &[(f64, f64)]) -> Vec<usize> {
        let even = |h: &usize| self.holders[*h].listed_at.is_some() && !self.holders[*h].leaving;
        let mut ranked: Vec<usize> = (0..self.holders.len()).filter(even).collect();
        let full = |h: usize| sums[h].0 / self.holders[h].unit;
        ranked.sort_by(|a, b| full(*a).total_cmp(&full(*b)));
        ranked
    }

    /// Between fullest and emptiest, in slices per unit of weight.
    pub fn gap(&self) -> Option<f64> {
        let (sums, full) = (self.sums(), |h: usize, many: f64| many / self.holders[h].unit);
        let ranked = self.ranked(&sums);
        let (to, from) = (*ranked.first()?, *ranked.last()?);
        Some(full(from, sums[from].0) - full(to, sums[to].0))
    }

    pub(crate) fn free(&self, slice: usize, to: usize) -> bool {
        !self.pinned.contains(&slice) && !self.barred.contains(&(slice, to))
    }
}

/// What the mechanism remembers: past a gap of 8 slices it moves them until the gap is under 2.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Balance {
    pub moving: bool,
}

impl Balance {
    /// The next move from fullest to emptiest, if one is due.
    pub fn step(&mut self, board: &Board) -> Option<Move> {
        let sums = board.sums();
        let full = |h: usize, more: f64| (sums[h].0 + more) / board.holders[h].unit;
        let ranked = board.ranked(&sums);
        let [_, .., from] = ranked[..] else { return None };
        let held = || (0..board.owners.len()).filter(|slice| board.owners[*slice] == Some(from));
        // The emptiest that could take anything of the fullest's: one without room must not hold up all.
        let least = held().map(|slice| board.scores[slice]).fold(f64::INFINITY, f64::min);
        let takes = |to: &usize| board.holders[*to].open && board.holders[*to].room >= least;
        let to = ranked.iter().copied().find(takes)?;
        // Of several boards the gaps of all, as chance has it, add up by the root.
        let gap = (full(from, 0.0) - full(to, 0.0)) / board.part.unwrap_or(1.0).sqrt();
        self.moving = gap > 8.0 || (self.moving && gap >= 2.0);
        // Reckoned per unit of weight, a move may overshoot: the receiver must not end up the fuller one.
        let eased = full(to, 1.0) - full(from, -1.0) < full(from, 0.0) - full(to, 0.0);
        let hottest = !board.holders[to].young && sums[from].1 > sums[to].1;
        let key = |slice: &usize| if hottest { -board.scores[*slice] } else { board.scores[*slice] };
        let free = held().filter(|slice| board.free(*slice, to));
        let slice = free.min_by(|a, b| key(a).total_cmp(&key(b)))?;
        let due = self.moving && eased && board.holders[to].room >= board.scores[slice];
        due.then_some(Move { slice, from: Some(from), to })
    }
}
