use crate::mechanism::{Balance, Board, Holder, Move};

/// An even layout for a start: each in turn as its weight says, so that neighbours, and with them busy keys
/// that sit close together, go to different holders.
///
/// ```
/// use poise::{lay, Holder};
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
        for slice in slices {
            let score = self.scores[slice];
            let key = |h: usize| {
                let holder = &self.holders[h];
                let listed = holder.listed_at.unwrap_or(f64::INFINITY);
                let (unlisted, cramped) = (holder.listed_at.is_none(), holder.room < score);
                (unlisted, cramped, (sums[h].0 + 1.0) / holder.unit, listed)
            };
            let fits = |h: &usize| self.holders[*h].open && !self.holders[*h].leaving && self.free(slice, *h);
            let seats = (0..self.holders.len()).filter(fits).map(|h| (key(h), h));
            let seat = seats.min_by(|a, b| a.partial_cmp(b).unwrap_or(a.1.cmp(&b.1)));
            let Some((_, to)) = seat.filter(|_| moves.len() < most) else { continue };
            let next = Move { slice, from: self.owners[slice], to };
            next.from.iter().for_each(|from| sums[*from].0 -= 1.0);
            sums[to].0 += 1.0;
            self.take(&next);
            moves.push(next);
        }
        moves
    }

    /// Carries a move out.
    pub(crate) fn take(&mut self, next: &Move) {
        let score = self.scores[next.slice];
        next.from.iter().for_each(|from| self.holders[*from].room += score);
        self.holders[next.to].room -= score;
        self.owners[next.slice] = Some(next.to);
    }
}
