use crate::board::{Balance, Board, Holder, Move};
use crate::mechanism::{seat, unit};

/// Listed weights, scaled to an average of 1; where none is listed, counts are taken plainly.
pub fn units(weights: &[Option<f64>]) -> Vec<f64> {
    let listed: Vec<f64> = weights.iter().filter_map(|weight| *weight).collect();
    let mean = listed.iter().sum::<f64>() / listed.len().max(1) as f64;
    weights.iter().map(|w| w.filter(|_| mean > 0.0).map_or(1.0, |w| unit(w, mean))).collect()
}

/// An even layout for a start: each in turn as its weight says, so that neighbours, and with them busy keys
/// that sit close together, go to different holders.
///
/// ```
/// use coppersail_rebalancer::{lay, Holder};
/// let (one, gone) = (Holder::default(), Holder { open: false, leaving: true, ..Holder::default() });
/// assert_eq!(lay(3, &[one.clone(), gone, one]), [Some(0), Some(2), Some(0)]);
/// ```
pub fn lay(slices: usize, holders: &[Holder]) -> Vec<Option<usize>> {
    let open = |h: &usize| holders[*h].open && !holders[*h].leaving;
    let all: Vec<usize> = (0..holders.len()).filter(open).collect();
    let listed = all.iter().copied().filter(|h| holders[*h].listed_at.is_some());
    // With nobody listed any will do.
    let mut seats: Vec<usize> = listed.collect();
    if seats.is_empty() {
        seats = all;
    }
    seats.sort_by(|a, b| holders[*a].listed_at.partial_cmp(&holders[*b].listed_at).unwrap_or(a.cmp(b)));
    let total: f64 = seats.iter().map(|h| holders[*h].unit).sum();
    let mut credits = vec![0.0; seats.len()];
    let mut next = || {
        credits.iter_mut().zip(&seats).for_each(|(credit, h)| *credit += holders[*h].unit);
        let richest = (0..seats.len()).reduce(|a, b| if credits[b] > credits[a] + 1e-9 { b } else { a })?;
        credits[richest] -= total;
        Some(seats[richest])
    };
    (0..slices).map(|_| next()).collect()
}

impl Balance {
    /// At most so many moves: first slices that nobody holds or whose holder leaves, then balancing.
    pub fn plan(&mut self, board: &Board, most: usize) -> Vec<Move> {
        let mut board = board.clone();
        let mut moves = board.rescue(most);
        while moves.len() < most {
            let Some(next) = self.step(&board) else { break };
            board.take(&next);
            moves.push(next);
        }
        moves
    }
}

impl Board {
    /// Slices that nobody holds or whose holder leaves, hottest first, each to the longest listed holder with
    /// fewest slices per unit of weight, or to any if none is listed. Carries the moves out here.
    pub(crate) fn rescue(&mut self, most: usize) -> Vec<Move> {
        let lost = |slice: &usize| self.owners[*slice].is_none_or(|h| self.holders[h].leaving);
        let mut slices: Vec<usize> = (0..self.owners.len()).filter(lost).collect();
        slices.sort_by(|a, b| self.scores[*b].total_cmp(&self.scores[*a]));
        let (mut sums, mut moves) = (self.sums(), Vec::new());
        let open = |h: &usize| self.holders[*h].open && !self.holders[*h].leaving;
        let known: Vec<usize> = (0..self.holders.len()).filter(open).collect();
        let listed: Vec<usize> =
            known.iter().copied().filter(|h| self.holders[*h].listed_at.is_some()).collect();
        let seats = if listed.is_empty() { known } else { listed };
        for slice in slices {
            let key = |h: usize| {
                let holder = &self.holders[h];
                let cramped = holder.room < self.scores[slice];
                ((cramped, (sums[h].0 + 1.0) / holder.unit, holder.listed_at), h)
            };
            let fits = seats.iter().copied().filter(|h| self.free(slice, *h));
            let Some(to) = seat(fits.map(key)).filter(|_| moves.len() < most) else { continue };
            let next = Move { slice, from: self.owners[slice], to };
            next.from.iter().for_each(|from| sums[*from].0 -= 1.0);
            sums[to].0 += 1.0;
            self.take(&next);
            moves.push(next);
        }
        moves
    }
}
