//! Which slices should go where: the paper's mechanism over pieces, and what it needs to know of them.
use crate::{row_bytes, Candidate, LeaseTable, Ms, Piece, SliceLease, Table, ANSWER};
use coppersail_rebalancer::{Board, Holder};
use std::collections::BTreeMap;

/// A piece is cut in two when it alone brings this part of a mean host's requests: then a few of them even out what
/// one host has too much.
const HEAVY: f64 = 0.15;
/// So many counted requests, for each host, say something about how they are spread.
const TELLING: f64 = 10.0;

pub(crate) fn lay(pieces: usize, hosts: &[Candidate]) -> Vec<Option<usize>> {
    let holders: Vec<Holder> = hosts.iter().map(|h| holder(h, mean(hosts))).collect();
    coppersail_rebalancer::lay(pieces, &holders)
}

impl Table {
    /// Pieces as they stand: cut wherever neighbours differ by what is under way, and where one is heavy.
    fn cut(&mut self, hosts: usize) {
        let all: f64 = self.counts.iter().sum();
        let heavy =
            if all > TELLING * hosts as f64 { HEAVY * all / hosts.max(1) as f64 } else { f64::INFINITY };
        if self.pieces.is_empty() {
            // Found on the disk: as fine as they were laid at first, as long as neighbours stand alike.
            let len = (self.rows.len() / crate::pieces_for(hosts) as usize).max(1);
            let first = (0..self.rows.len()).step_by(len);
            self.pieces = first.map(|first| Piece { first, len: len.min(self.rows.len() - first) }).collect();
        }
        let mut pieces = Vec::with_capacity(self.pieces.len());
        let mut todo: Vec<Piece> = self.pieces.iter().rev().copied().collect();
        while let Some(piece) = todo.pop() {
            let rows = &self.rows[piece.first..piece.first + piece.len];
            let unlike = rows.iter().position(|r| !r.alike(&rows[0]));
            let hot = self.counts[piece.first..piece.first + piece.len].iter().sum::<f64>() > heavy;
            match unlike.or((hot && piece.len > 1 && !rows[0].busy).then_some(piece.len / 2)) {
                Some(at) => {
                    todo.push(Piece { first: piece.first + at, len: piece.len - at });
                    todo.push(Piece { first: piece.first, len: at });
                }
                None => pieces.push(piece),
            }
        }
        self.pieces = pieces;
    }

    /// About what a host's rows take in an answer.
    fn bytes(&self, ident: &str) -> usize {
        let of = self.pieces.iter().map(|p| &self.rows[p.first]).filter(|r| r.holder == ident);
        of.map(row_bytes).sum()
    }
}

impl SliceLease {
    fn alike(&self, other: &SliceLease) -> bool {
        self.holder == other.holder
            && self.wanted == other.wanted
            && self.busy == other.busy
            && self.asked == other.asked
            && self.told == other.told
    }
}

impl LeaseTable {
    /// The paper's mechanism says which slices should go where. At most `most` are under way at a time. `settled`: all
    /// hosts have had the time to beat here, so that one that is not known is gone.
    pub fn plan(&mut self, now: Ms, service: &str, hosts: &[Candidate], most: usize, settled: bool) {
        let Some(table) = self.tables.get_mut(service) else { return };
        let at: BTreeMap<&str, usize> = hosts.iter().enumerate().map(|(n, h)| (h.id.as_str(), n)).collect();
        let open = |ident: &str| at.get(ident).is_some_and(|n| !hosts[*n].draining && !hosts[*n].suspect);
        table.cut(hosts.len());
        for row in &mut table.rows {
            // Who is to get it has gone meanwhile.
            if row.wanted.as_deref().is_some_and(|w| !open(w)) && !row.busy {
                row.wanted = None;
            }
            // One that can't be asked lets go by the end of its time.
            let lost = |holder: &str| at.get(holder).map_or(settled, |n| hosts[*n].suspect);
            if row.wanted.is_some() && !row.holder.is_empty() && lost(&row.holder) {
                row.asked = true;
            }
            // It need not move any more, and was not asked for yet.
            if !row.asked && row.wanted.as_deref() == Some(row.holder.as_str()) {
                row.wanted = None;
            }
        }
        let mut holders: Vec<Holder> = hosts.iter().map(|h| holder(h, mean(hosts))).collect();
        // Of a host that has as many as an answer can tell, no more is asked.
        for (host, holder) in hosts.iter().zip(&mut holders) {
            holder.open &= table.bytes(&host.id) < ANSWER * 9 / 10;
        }
        // A holder that is not known any more: its rows wait out their time.
        holders.push(Holder { listed_at: None, open: false, leaving: true, ..Holder::default() });
        let lost = holders.len() - 1;
        let owner = |row: &SliceLease| {
            let who = row.wanted.as_deref().unwrap_or(&row.holder);
            if who.is_empty() {
                None
            } else {
                Some(at.get(who).copied().unwrap_or(lost))
            }
        };
        let firsts: Vec<&SliceLease> = table.pieces.iter().map(|p| &table.rows[p.first]).collect();
        let owners = firsts.iter().map(|r| owner(r)).collect();
        let unsure =
            |row: &SliceLease| !settled && !row.holder.is_empty() && !at.contains_key(row.holder.as_str());
        let under_way = |row: &SliceLease| row.busy || row.wanted.is_some() || unsure(row);
        let pinned = firsts.iter().enumerate().filter(|(_, r)| under_way(r)).map(|(n, _)| n).collect();
        let of = |p: &Piece| table.counts[p.first..p.first + p.len].iter().sum::<f64>();
        let counts: Vec<[f64; 1]> = table.pieces.iter().map(|p| [of(p)]).collect();
        let scores = coppersail_rebalancer::scores(&counts, None, 1.0);
        let mut board = Board { holders, owners, scores, pinned, ..Board::default() };
        // What nobody holds or what its holder is about to drop is no choice: it is not paced.
        let must = |row: &&&SliceLease| !under_way(row) && !open(&row.holder);
        let (must, busy) =
            (firsts.iter().filter(must).count(), firsts.iter().filter(|r| under_way(r)).count());
        let most = must.max(most.saturating_sub(busy));
        let mut moves = table.balance.plan(&board, most);
        let all: f64 = table.counts.iter().sum();
        if moves.is_empty() && all > TELLING * hosts.len() as f64 {
            // Here what was counted counts: slices without requests are no load, and with most of them an average one
            // each would hide it. One request each keeps them in the order of their number.
            let able: Vec<f64> = board.holders.iter().map(|h| h.unit).collect();
            board.scores = counts.iter().map(|c| c[0] + 0.01).collect();
            moves = table.balance.relieve(&board, &able, most);
        }
        for next in moves {
            let Some(host) = hosts.get(next.to) else { continue };
            let piece = table.pieces[next.slice];
            for row in &mut table.rows[piece.first..piece.first + piece.len] {
                (row.wanted, row.wanted_at) = (Some(host.id.clone()), now);
                row.asked |=
                    !row.holder.is_empty() && at.get(row.holder.as_str()).is_none_or(|n| hosts[*n].suspect);
                if row.holder.is_empty() {
                    row.until = row.until.min(now);
                }
            }
        }
        // One that beats again before its time is over keeps what it has.
        for row in &mut table.rows {
            if row.asked
                && !row.busy
                && row.told
                && open(&row.holder)
                && row.until > now
                && row.wanted.is_none()
            {
                row.asked = false;
            }
        }
    }
}

fn mean(hosts: &[Candidate]) -> f64 {
    hosts.iter().map(|h| h.capacity).sum::<f64>().max(1.0) / hosts.len().max(1) as f64
}

fn holder(host: &Candidate, mean: f64) -> Holder {
    let unit = (host.capacity / mean).max(0.01);
    let open = !host.draining && !host.suspect;
    Holder {
        unit,
        listed_at: Some(host.listing_order as f64),
        young: host.new,
        open,
        leaving: !open,
        ..Holder::default()
    }
}
