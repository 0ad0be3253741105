//! Which keys a host holds: taken and given back by the answers to its beats.
use std::time::Duration;

/// Keys are numbers up to here.
pub const TOP: u32 = 65535;

/// [from, to, fence, handover or ""] of an answer.
pub type Grant = (u32, u32, u64, String);

#[derive(Debug, Clone, PartialEq)]
struct Hold {
    from: u32,
    to: u32,
    fence: u64,
    until: Duration,
    /// Left out of the last answer: nothing new is run on it, and it goes once nothing runs on it.
    leaving: bool,
}

/// A request at work on a key.
#[derive(Debug, Clone)]
struct Work {
    id: usize,
    key: u32,
    /// The hold ran out under it, even if the key has come back since.
    lost: bool,
}

/// ```
/// use coppersail_stub_backend::Keys;
/// use std::time::Duration;
/// let at = Duration::from_secs;
/// let mut keys = Keys::default();
/// assert!(!keys.start(at(0), 1, 7));
/// keys.granted(at(0), at(0), at(4), &[(0, 99, 3, String::new())]);
/// assert!(keys.start(at(1), 1, 7) && keys.finish(at(2), 1));
/// assert!(!keys.start(at(4), 2, 7), "the hold has run out");
/// ```
#[derive(Debug, Clone, Default)]
pub struct Keys {
    holds: Vec<Hold>,
    /// Highest fences seen, as [from, to, fence], apart from one another.
    seen: Vec<(u32, u32, u64)>,
    works: Vec<Work>,
    /// [from, to, handover], not acknowledged yet.
    released: Vec<(u32, u32, String)>,
    /// How many of `released` stand in the beat that is under way.
    told: usize,
    count: u64,
}

/// What is left of a span without others.
fn without(span: (u32, u32), others: impl Iterator<Item = (u32, u32)>) -> Vec<(u32, u32)> {
    let mut left = vec![span];
    for (from, to) in others {
        let cut = |(a, b): (u32, u32)| {
            let low = (a < from).then(|| (a, b.min(from.wrapping_sub(1))));
            let high = (b > to).then(|| (a.max(to.saturating_add(1)), b));
            low.into_iter().chain(high)
        };
        left = left.into_iter().flat_map(cut).filter(|(a, b)| a <= b).collect();
    }
    left
}

fn meet(a: (u32, u32), b: (u32, u32)) -> Option<(u32, u32)> {
    let both = (a.0.max(b.0), a.1.min(b.1));
    (both.0 <= both.1).then_some(both)
}

impl Keys {
    /// Takes an answer's whole list, given for `keep` from when its beat was sent.
    pub fn granted(&mut self, now: Duration, sent: Duration, keep: Duration, rows: &[Grant]) {
        self.expire(now);
        let sound = |row: &&Grant| row.0 <= row.1 && row.1 <= TOP;
        let (taken, stale): (Vec<_>, Vec<_>) =
            rows.iter().filter(sound).partition(|row| self.fence_over(row) <= row.2);
        let mut holds: Vec<Hold> = Vec::with_capacity(taken.len());
        for &(from, to, fence, _) in &taken {
            // Of two rows on one key the first counts, so that no key is held twice.
            let free =
                without((*from, *to), holds.iter().map(|h| (h.from, h.to)).collect::<Vec<_>>().into_iter());
            let hold = |(from, to)| Hold { from, to, fence: *fence, until: sent + keep, leaving: false };
            holds.extend(free.into_iter().map(hold));
        }
        for old in std::mem::take(&mut self.holds) {
            let rest = without((old.from, old.to), taken.iter().map(|row| (row.0, row.1)));
            for (from, to) in rest {
                // A row under a fence that has been passed is as if it weren't there; it isn't left out either.
                let kept = stale.iter().filter_map(|row| meet((from, to), (row.0, row.1)));
                holds.extend(kept.map(|(from, to)| Hold { from, to, ..old.clone() }));
                let gone = without((from, to), stale.iter().map(|row| (row.0, row.1)));
                holds.extend(gone.into_iter().map(|(from, to)| Hold {
                    from,
                    to,
                    leaving: true,
                    ..old.clone()
                }));
            }
        }
        for &(from, to, fence, _) in taken {
            let parts = std::mem::take(&mut self.seen);
            let rest = |(a, b, f)| {
                without((a, b), [(from, to)].into_iter()).into_iter().map(move |(a, b)| (a, b, f))
            };
            self.seen = parts.into_iter().flat_map(rest).chain([(from, to, fence)]).collect();
        }
        self.seen.sort_unstable();
        self.seen.dedup_by(|next, last| {
            let joins = last.2 == next.2 && last.1 + 1 == next.0;
            last.1 = if joins { next.1 } else { last.1 };
            joins
        });
        holds.sort_by_key(|hold| hold.from);
        self.holds = holds;
        self.expire(now);
    }

    fn fence_over(&self, row: &Grant) -> u64 {
        let over = self.seen.iter().filter(|seen| meet((seen.0, seen.1), (row.0, row.1)).is_some());
        over.map(|seen| seen.2).max().unwrap_or(0)
    }

    /// Lets go of what has run out and of what was left out and is idle.
    pub fn expire(&mut self, now: Duration) {
        for hold in self.holds.iter().filter(|hold| hold.until <= now) {
            let hit = |work: &&mut Work| (hold.from..=hold.to).contains(&work.key);
            self.works.iter_mut().filter(hit).for_each(|work| work.lost = true);
        }
        self.holds.retain(|hold| hold.until > now);
        let busy = |hold: &Hold| self.works.iter().any(|w| !w.lost && (hold.from..=hold.to).contains(&w.key));
        let (gone, kept) =
            std::mem::take(&mut self.holds).into_iter().partition(|hold| hold.leaving && !busy(hold));
        self.holds = kept;
        let gone: Vec<Hold> = gone;
        for Hold { from, to, fence, .. } in gone {
            self.count += 1;
            self.released.push((from, to, format!("{fence:08x}{:08x}", self.count)));
        }
    }

    /// Whether a request on a key may start; if so, it is at work until [`LeaseTable::finish`].
    pub fn start(&mut self, now: Duration, id: usize, key: u32) -> bool {
        self.expire(now);
        let held = self.holds.iter().any(|hold| !hold.leaving && (hold.from..=hold.to).contains(&key));
        if held {
            self.works.push(Work { id, key, lost: false });
        }
        held
    }

    /// Whether the key was held to the end.
    pub fn finish(&mut self, now: Duration, id: usize) -> bool {
        self.expire(now);
        let at = self.works.iter().position(|work| work.id == id);
        let kept = at.is_some_and(|at| !self.works.swap_remove(at).lost);
        self.expire(now);
        kept
    }

    /// What the next beat says, as `held` and `released`.
    #[allow(clippy::type_complexity)]
    pub fn told(&mut self, now: Duration) -> (Vec<(u32, u32, u64)>, Vec<(u32, u32, String)>) {
        self.expire(now);
        self.told = self.released.len();
        (self.holds.iter().map(|h| (h.from, h.to, h.fence)).collect(), self.released.clone())
    }

    /// The beat that [`LeaseTable::told`] filled was acknowledged.
    pub fn acknowledged(&mut self) {
        self.released.drain(..std::mem::take(&mut self.told));
    }

    /// Something is to be released, or to be told as released.
    pub fn unsettled(&self) -> bool {
        !self.released.is_empty() || self.holds.iter().any(|hold| hold.leaving)
    }
}
