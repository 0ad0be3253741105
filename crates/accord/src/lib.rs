//! Epochs and seats: who may act. Times are milliseconds of a steady clock, given in; nothing here does I/O.
//!
//! A small, fixed group of seats holds one record, `epoch, primary, backup`, as a register that a majority changes:
//! a candidate has a ballot promised, reads the newest record, and only who stands in it may write the next one.
//! What was acknowledged is on the disks of both that the record names, so each of them can go on alone.
//! Seats hold no configuration and no log. `docs/system.md` says what else was weighed.
//!
//! ```
//! use accord::{Ballot, Record, Seat};
//! let first = Record { epoch: Ballot::new(1, ""), primary: "a".into(), backup: "b".into() };
//! let mut seat = Seat::first(first.clone());
//! let ballot = Ballot::new(2, "b");
//! assert_eq!(seat.prepare(0, &ballot), Ok(first));
//! let next = Record { epoch: ballot.clone(), primary: "b".into(), backup: "c".into() };
//! assert!(seat.accept(0, &next, 1000).is_ok());
//! assert!(seat.prepare(10, &Ballot::new(3, "c")).is_err(), "b has been promised a second");
//! ```
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

pub type Ms = u64;

/// Who a director is: where it serves hosts and operators, "ip:port".
pub type Id = String;

/// Ballots are never the same for two candidates, so a seat that forgot one can't give it away twice.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub n: u64,
    pub by: Id,
}

impl Ballot {
    pub fn new(n: u64, by: &str) -> Ballot {
        Ballot { n, by: by.into() }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub epoch: Ballot,
    pub primary: Id,
    pub backup: Id,
}

impl Record {
    pub fn names(&self, who: &str) -> bool {
        self.primary == who || self.backup == who
    }

    /// Only who holds all that was acknowledged may be the next primary: it stands in the record, and its disk, by
    /// the epoch it last took part in, is the one that was named and not an empty one put in its place.
    pub fn lets(&self, who: &str, floor: &Ballot) -> bool {
        self.names(who) && *floor >= self.epoch
    }
}

/// Why a seat says no, and the highest ballot it knows, so that the next try is above it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct No {
    pub why: String,
    pub promised: Ballot,
}

/// What is on a seat's disk, synced before it answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub promised: Ballot,
    pub record: Record,
}

/// One seat. Callers sync `held` before an `Ok` of `prepare`, `accept` or `renew` leaves the process.
#[derive(Debug, Clone, Default)]
pub struct Seat {
    pub held: Held,
    /// Until when nobody else is listened to.
    lease: Option<(Id, Ms)>,
    /// A life before this one may have promised that much.
    barred: Ms,
    /// Whom a seat with a lost disk has yet to hear; none for a sound one.
    unheard: BTreeSet<Id>,
}

impl Seat {
    /// At the first start of the whole system: nothing was promised to anybody.
    pub fn first(record: Record) -> Seat {
        Seat { held: Held { promised: record.epoch.clone(), record }, ..Seat::default() }
    }

    /// After a restart: whatever was promised in an earlier life is over by `barred`.
    pub fn again(held: Held, barred: Ms) -> Seat {
        Seat { held, barred, ..Seat::default() }
    }

    /// With a lost disk: it may have promised what it has forgotten, and grants nothing before all others were heard.
    pub fn lost(others: impl IntoIterator<Item = Id>, barred: Ms) -> Seat {
        Seat { barred, unheard: others.into_iter().collect(), ..Seat::default() }
    }

    pub fn whole(&self) -> bool {
        self.unheard.is_empty()
    }

    pub fn unheard(&self) -> impl Iterator<Item = &Id> {
        self.unheard.iter()
    }

    /// What another seat knows. Only a seat with a lost disk learns from it; true once it is whole again.
    pub fn hear(&mut self, now: Ms, from: &str, held: &Held, span: Ms) -> bool {
        if !self.unheard.remove(from) {
            return false;
        }
        if held.promised > self.held.promised {
            self.held.promised = held.promised.clone();
        }
        if held.record.epoch > self.held.record.epoch {
            self.held.record = held.record.clone();
        }
        self.barred = self.barred.max(now + span);
        self.whole()
    }

    fn no<T>(&self, why: &str) -> Result<T, No> {
        Err(No { why: why.into(), promised: self.held.promised.clone() })
    }

    /// A candidate asks for a ballot. The record that it gets is the newest that this seat knows.
    pub fn prepare(&mut self, now: Ms, ballot: &Ballot) -> Result<Record, No> {
        if !self.whole() {
            return self.no("lost its disk");
        }
        if *ballot <= self.held.promised {
            return self.no("promised more");
        }
        if self.lease.as_ref().is_some_and(|(who, until)| *who != ballot.by && now < *until) {
            return self.no("promised to another");
        }
        // Only the primary of the record can have had a promise from an earlier life of this seat.
        if now < self.barred && self.held.record.primary != ballot.by {
            return self.no("just started");
        }
        self.held.promised = ballot.clone();
        Ok(self.held.record.clone())
    }

    /// A candidate that a majority promised its ballot writes the record; it is promised `span` with that.
    pub fn accept(&mut self, now: Ms, record: &Record, span: Ms) -> Result<(), No> {
        if !self.whole() {
            return self.no("lost its disk");
        }
        if record.epoch < self.held.promised {
            return self.no("promised more");
        }
        self.held = Held { promised: record.epoch.clone(), record: record.clone() };
        self.lease = Some((record.primary.clone(), now + span));
        Ok(())
    }

    /// The primary asks to be promised `span` more. A seat that missed its record takes it now. True: sync first.
    pub fn renew(&mut self, now: Ms, record: &Record, span: Ms) -> Result<bool, No> {
        let new = self.held.record != *record;
        if new && record.epoch == self.held.record.epoch {
            return self.no("another record of that epoch");
        }
        self.accept(now, record, span).map(|()| new)
    }
}

/// The promises that a primary counts on: by seat, until when, counted from when it asked.
#[derive(Debug, Clone, Default)]
pub struct Promises(std::collections::BTreeMap<Id, Ms>);

impl Promises {
    /// A hundredth is given up for clocks that differ in pace.
    pub fn add(&mut self, seat: &str, asked: Ms, span: Ms) {
        let until = self.0.entry(seat.into()).or_default();
        *until = (*until).max(asked + span - span / 100 - 1);
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Until when a majority of `seats` has promised.
    pub fn until(&self, seats: &[Id]) -> Ms {
        let mut all: Vec<Ms> = seats.iter().map(|s| self.0.get(s).copied().unwrap_or(0)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(majority(seats.len()) - 1).copied().unwrap_or(0)
    }
}

pub fn majority(seats: usize) -> usize {
    seats / 2 + 1
}

/// The few that a director's place on a ring names: those that follow it in the order of a hash of their names.
/// Its heartbeats go to them.
///
/// ```
/// let all: Vec<String> = (0..9).map(|n| format!("10.0.0.{n}:80")).collect();
/// let few = accord::watchers(&all[0], &all, 3);
/// assert_eq!(few.len(), 3);
/// assert!(!few.contains(&all[0]));
/// ```
pub fn watchers(me: &str, all: &[Id], few: usize) -> Vec<Id> {
    let place = |id: &str| {
        id.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ b as u64).wrapping_mul(0x100_0000_01b3))
    };
    let mut ring: Vec<(u64, &Id)> = all.iter().filter(|id| *id != me).map(|id| (place(id), id)).collect();
    ring.sort_unstable();
    ring.dedup();
    let mine = place(me);
    let start = ring.partition_point(|(p, _)| *p < mine);
    (0..ring.len().min(few)).map(|n| ring[(start + n) % ring.len()].1.clone()).collect()
}
