//! What waits in the channel: its one reckoning. It hears of every round that is ordered, of every call that is really
//! written (first, again, in part), of who joins and leaves, and of every receipt. Where it can't know it reckons the
//! worse, so that what waits is never more than `out`. What is made of it is decided in `logic`.

use crate::figures::Figures;
use crate::interface::{Call, Input, MarkId, ProxyId, RouteId};
use std::collections::{BTreeSet, VecDeque};

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;

/// A message to every proxy, as far as it is not shown to have passed.
#[derive(Default)]
pub(crate) struct Round {
    /// None: a part of a call, of which no receipt comes.
    pub mark: Option<MarkId>,
    /// When it was written, or ordered if it is still with who writes it.
    pub at: f64,
    pub held: bool,
    /// Nothing of it waits, though receipts may still come.
    pub passed: bool,
    /// Lines of the message to one proxy, its head among them.
    pub each: f64,
    /// Whose receipt is awaited; and how many more may have it to come, as they left, were not known to have joined, or
    /// may have sent a receipt that was not heard.
    pub due: BTreeSet<ProxyId>,
    pub unknown: f64,
    /// Its lines when it was written, and with all before it that had not passed then.
    pub whole: f64,
    pub ahead: f64,
}

impl Round {
    pub fn lines(&self) -> f64 {
        if self.passed {
            return 0.0;
        }
        self.each * (self.due.len() as f64 + self.unknown)
    }
}

#[derive(Default)]
pub(crate) struct Ledger {
    /// Who has joined.
    pub proxies: BTreeSet<ProxyId>,
    /// Routes of which a level was told to all.
    pub levels: BTreeSet<RouteId>,
    /// In the order in which they pass: those that are written, then those that are held.
    pub rounds: VecDeque<Round>,
    /// When a receipt last came, or could first come again; and one of a round that was far from received by all.
    pub told_at: f64,
    pub heard_at: f64,
    /// Lines a second that pass, when receipts last showed it to be less than stated.
    pub pace: Option<f64>,
    /// Lines that wait as reckoned by the pace, no bound; and when reckoned.
    pub waiting: f64,
    pub reckoned_at: f64,
    /// When messages went out.
    pub sent: VecDeque<f64>,
}

impl Ledger {
    /// Lines that were ordered and are not shown to have passed.
    pub fn out(&self) -> f64 {
        self.rounds.iter().map(Round::lines).sum()
    }

    /// Those of them that were written.
    pub fn written_out(&self) -> f64 {
        self.rounds.iter().filter(|round| !round.held).map(Round::lines).sum()
    }

    /// What a message costs before any order of its own. It may bring each level along that was set for all: whether only
    /// to who joined since is not said.
    pub fn head(&self, f: &Figures) -> f64 {
        f.overhead + self.levels.len() as f64
    }

    /// How many proxies get what is written now.
    pub fn receivers(&self, f: &Figures, unheard: bool) -> f64 {
        (self.proxies.len() as f64).max(if unheard { f.proxies } else { 0.0 })
    }

    /// `late`: so long after a write one that joins may have been there when it was carried out.
    pub fn heard(&mut self, now: f64, f: &Figures, late: f64, input: &Input) {
        match *input {
            Input::Joined { proxy, .. } => self.joined(now, late, proxy),
            Input::Left(proxy) => self.left(proxy),
            Input::Applied { proxy, mark, .. } => self.received(now, f.way, proxy, mark),
            Input::Call(Call::Written { mark, orders, unheard }) => {
                let unknown = self.receivers(f, unheard) - self.proxies.len() as f64;
                self.written(now, mark, self.head(f) + orders as f64, unknown);
            }
            Input::Call(Call::TurnedAway) => self.turned_away(),
            Input::Call(Call::Deaf) => self.deaf(now),
            _ => {}
        }
    }

    /// A round is ordered, of so many lines to each proxy. Where nobody tells of calls it counts as written at once.
    pub fn order(&mut self, now: f64, mark: MarkId, each: f64) {
        self.enter(self.rounds.len(), now, Some(mark), each, 0.0);
        self.rounds.back_mut().into_iter().for_each(|round| round.held = true);
        self.sent.push_back(now);
    }

    /// A call has gone out: for the first time, if its round is held; else again, or as a part. Held rounds before it
    /// were merged into it.
    fn written(&mut self, now: f64, mark: Option<MarkId>, each: f64, unknown: f64) {
        let mut at = self.rounds.iter().position(|round| round.held).unwrap_or(self.rounds.len());
        let first = self.rounds.iter().position(|round| round.held && round.mark == mark && mark.is_some());
        for round in self.rounds.drain(at..first.map_or(at, |first| first + 1)) {
            self.waiting = (self.waiting - round.lines()).max(0.0);
            let ordered = self.sent.iter().position(|sent| *sent == round.at);
            ordered.into_iter().for_each(|place| _ = self.sent.remove(place));
        }
        self.enter(at, now, mark, each, unknown);
        self.sent.push_back(now);
        // Who passes before the held ones has more ahead of it than reckoned when they were ordered.
        let mut ahead = self.written_out();
        while let Some(round) = self.rounds.get_mut(at + 1) {
            at += 1;
            ahead += round.lines();
            round.ahead = ahead;
        }
    }

    fn enter(&mut self, at: usize, now: f64, mark: Option<MarkId>, each: f64, unknown: f64) {
        let due = self.proxies.clone();
        let mut round = Round { mark, at: now, each, due, unknown, ..Round::default() };
        round.whole = round.lines();
        round.ahead = self.rounds.iter().take(at).map(Round::lines).sum::<f64>() + round.whole;
        self.waiting += round.whole;
        self.rounds.insert(at, round);
    }

    /// The call that was written last was turned away whole: nothing of it waits.
    fn turned_away(&mut self) {
        let Some(at) = self.rounds.iter().rposition(|round| !round.held) else { return };
        self.sent.pop_back();
        if self.rounds[at].mark.is_some() {
            self.rounds[at].held = true;
        } else {
            self.waiting = (self.waiting - self.rounds[at].lines()).max(0.0);
            self.rounds.remove(at);
        }
    }

    fn joined(&mut self, now: f64, late: f64, proxy: ProxyId) {
        self.proxies.insert(proxy);
        for round in self.rounds.iter_mut().filter(|round| !round.held && now - round.at <= late) {
            if round.due.insert(proxy) {
                round.unknown = (round.unknown - 1.0).max(0.0);
            }
        }
    }

    /// Whether what waits for one that left goes with it is not known.
    fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        for round in &mut self.rounds {
            round.unknown += round.due.remove(&proxy) as u8 as f64;
        }
    }

    /// Receipts may have come that were not heard.
    fn deaf(&mut self, now: f64) {
        self.told_at = now;
        for round in &mut self.rounds {
            round.unknown += std::mem::take(&mut round.due).len() as f64;
        }
    }

    /// A receipt stands for its proxy's part of the first copy that it may be of; all rounds before that one have passed.
    fn received(&mut self, now: f64, way: f64, proxy: ProxyId, mark: MarkId) {
        self.told_at = now;
        let may =
            |round: &Round| round.mark == Some(mark) && (round.unknown > 0.0 || round.due.contains(&proxy));
        let any = || self.rounds.iter().position(|round| round.mark == Some(mark));
        let Some(at) = self.rounds.iter().position(may).or_else(any) else { return };
        if !self.rounds[at].due.remove(&proxy) {
            self.rounds[at].unknown = (self.rounds[at].unknown - 1.0).max(0.0);
        }
        // A copy that has passed is kept while others of its mark wait: late receipts of it are none of theirs.
        self.rounds.iter_mut().take(at).for_each(|round| round.passed = true);
        self.rounds.retain(|round| !round.passed || round.mark == Some(mark));
        let Some(first) = self.rounds.iter().find(|round| !round.passed) else { return };
        // The last few may be late for reasons of their own, also where others left and will send none.
        if first.each * first.due.len() as f64 > 0.1 * first.whole {
            self.heard_at = now;
            self.pace = self.seen(way);
        }
    }

    /// Lines a second that have been received of what waits longest; none while it waits no longer than its way.
    pub fn seen(&self, way: f64) -> Option<f64> {
        let first = self.rounds.iter().find(|round| !round.passed)?;
        if self.heard_at <= first.at + way {
            return None;
        }
        // What is unknown tells nothing anew.
        if first.due.is_empty() {
            return self.pace;
        }
        Some((first.ahead - first.lines()) / (self.heard_at - first.at - way))
    }

    /// No receipt comes any more, whatever is awaited: it did not wait, or nobody is there to tell. A message that waits is
    /// received within its way of the one before it.
    pub fn mute(&self, now: f64, f: &Figures) -> bool {
        let last = self.rounds.iter().rfind(|round| !round.held);
        last.is_some_and(|last| now - last.at.max(self.told_at) > 2.0 * f.way)
    }

    /// Time passes; the pace at which lines do, not below the slowest part of the stated one that is reckoned with.
    /// Forgotten is what was written longer ago than that, when nothing was heard for as long.
    pub fn pass(&mut self, now: f64, f: &Figures, slowest: f64, forgotten: f64) -> f64 {
        let pace = self.seen(f.way).unwrap_or(f.lines_per_s).clamp(slowest * f.lines_per_s, f.lines_per_s);
        self.rounds.retain(|round| now - round.at.max(self.told_at) < forgotten);
        self.sent.retain(|at| now - at <= f.messages_span);
        let lines = (now - std::mem::replace(&mut self.reckoned_at, now)) * pace;
        let least = if pace < f.lines_per_s { self.out() } else { 0.0 };
        self.waiting = (self.waiting - lines).max(least);
        pace
    }
}
