use crate::board::{Balance, Board, Move};

/// A holder is hot from so many times the mean load on: beyond the noise of counts over a few seconds, and
/// well under twice, at which it would fill while the others are half empty.
pub const HOT: f64 = 1.3;

impl Balance {
    /// At most so many moves off holders that carry far more score than others, for what they can, although
    /// counts are even: a hot slice stays, others go to the least loaded. Counts may come to differ by this,
    /// but by no more than the gap that starts balancing; while that moves slices this waits.
    ///
    /// ```
    /// use coppersail_rebalancer::{Balance, Board, Holder};
    /// let holders = vec![Holder::default(); 2];
    /// let owners = vec![Some(0), Some(1), Some(0), Some(1)];
    /// let board = Board { holders, owners, scores: vec![9.0, 1.0, 1.0, 1.0], ..Board::default() };
    /// let moves = Balance::default().relieve(&board, &[1.0, 1.0], 5);
    /// assert_eq!((moves.len(), moves[0].slice, moves[0].to), (1, 2, 1));
    /// ```
    pub fn relieve(&self, board: &Board, able: &[f64], most: usize) -> Vec<Move> {
        let (mut board, mut moves) = (board.clone(), Vec::new());
        while !self.moving && moves.len() < most {
            let Some(next) = board.relief(able) else { break };
            board.take(&next);
            moves.push(next);
        }
        moves
    }
}

impl Board {
    fn relief(&self, able: &[f64]) -> Option<Move> {
        let sums = self.sums();
        let load = |h: usize| sums[h].1 / able[h].max(0.01);
        let ranked = self.ranked(&sums);
        let all = ranked.iter().fold((0.0, 0.0), |all, h| (all.0 + sums[*h].1, all.1 + able[*h].max(0.01)));
        let from = ranked.iter().copied().max_by(|a, b| load(*a).total_cmp(&load(*b)))?;
        if load(from) <= HOT * all.0 / all.1 {
            return None;
        }
        // The one it can help most comes first; where its room or the gap forbids that, the next.
        let mut others: Vec<usize> = ranked.into_iter().filter(|h| *h != from).collect();
        others.sort_by(|a, b| load(*a).total_cmp(&load(*b)));
        let (full, held) = (
            |h: usize, more: f64| (sums[h].0 + more) / self.holders[h].unit,
            || (0..self.owners.len()).filter(|slice| self.owners[*slice] == Some(from)),
        );
        let emptiest = others.iter().map(|h| full(*h, 0.0)).fold(full(from, -1.0), f64::min);
        let fullest = others.iter().map(|h| full(*h, 0.0)).fold(0.0, f64::max);
        let fits = |to: usize, slice: usize| {
            let evens = (sums[from].1 - self.scores[slice]) / able[from].max(0.01)
                >= (sums[to].1 + self.scores[slice]) / able[to].max(0.01);
            evens
                && self.holders[to].open
                && self.free(slice, to)
                && self.holders[to].room >= self.scores[slice]
        };
        let near = |to: usize| full(to, 1.0).max(fullest) - emptiest < 8.0;
        others.into_iter().filter(|to| near(*to)).find_map(|to| {
            let best = held().filter(|slice| fits(to, *slice));
            let best = best.max_by(|a, b| self.scores[*a].total_cmp(&self.scores[*b]));
            best.map(|slice| Move { slice, from: Some(from), to })
        })
    }
}
