//! One witness: a register with a lease.
use crate::{Ballot, Id, Ms, Record, Witness};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a witness says no, and the highest ballot it knows, so that the next try is above it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct No {
    pub why: String,
    pub promised: Ballot,
}

/// What is on a witness's disk, synced before it answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Drawn when the disk was first written; 0 at the first start of the whole system.
    pub life: u64,
    pub promised: Ballot,
    pub record: Record,
    /// The longest lease that was granted: settings may be others after a restart.
    #[serde(default)]
    pub span: Ms,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WitnessCall {
    Prepare(Ballot),
    Accept(Record, Ms),
    /// The primary asks for its lease again.
    Renew(Record, Ms),
    /// The primary has stopped acting and needs its lease no more.
    Release(Ballot),
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct WitnessSay {
    pub life: u64,
    pub record: Option<Record>,
    pub no: Option<No>,
}

/// Callers sync `held` before a yes leaves the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub held: Held,
    /// Until when nobody else is listened to.
    lease: Option<(Id, Ms)>,
    /// A process before this one may have granted a lease for so long.
    barred: Ms,
}

impl Acceptor {
    /// At the first start of the whole system: nothing was promised to anybody.
    pub fn first(record: Record) -> Acceptor {
        let held = Held { promised: record.epoch.clone(), record, ..Held::default() };
        Acceptor { held, ..Acceptor::default() }
    }

    /// With an empty disk: in no group yet.
    pub fn fresh(life: u64) -> Acceptor {
        Acceptor { held: Held { life, ..Held::default() }, ..Acceptor::default() }
    }

    /// After a restart: whatever lease was granted before may run on from now.
    pub fn again(now: Ms, held: Held, span: Ms) -> Acceptor {
        let barred = now + span.max(held.span);
        Acceptor { held, barred, ..Acceptor::default() }
    }

    fn no<T>(&self, why: &str) -> Result<T, No> {
        Err(No { why: why.into(), promised: self.held.promised.clone() })
    }

    /// A candidate asks for a ballot. The record that it gets is the newest that this witness has accepted.
    pub fn prepare(&mut self, now: Ms, ballot: &Ballot) -> Result<Record, No> {
        if *ballot <= self.held.promised {
            return self.no("promised more");
        }
        if self.lease.as_ref().is_some_and(|(who, until)| *who != ballot.by && now < *until) {
            return self.no("another has the lease");
        }
        // Only the primary of the record can have had a lease of an earlier process here.
        if now < self.barred && self.held.record.primary != ballot.by {
            return self.no("just started");
        }
        self.held.promised = ballot.clone();
        Ok(self.held.record.clone())
    }

    /// A candidate that a quorum promised its ballot writes the record; it gets the lease for `span` with that.
    pub fn accept(&mut self, now: Ms, record: &Record, span: Ms) -> Result<(), No> {
        if record.epoch < self.held.promised {
            return self.no("promised more");
        }
        if record.epoch == self.held.record.epoch && *record != self.held.record {
            return self.no("another record of that epoch");
        }
        self.held.promised = record.epoch.clone();
        self.held.record = record.clone();
        self.held.span = self.held.span.max(span);
        self.lease = Some((record.primary.clone(), now + span));
        Ok(())
    }

    /// The primary has stopped: whoever may take over need not wait.
    pub fn release(&mut self, epoch: &Ballot) {
        if self.held.record.epoch == *epoch {
            self.lease = None;
            self.barred = 0;
        }
    }
}

/// The leases that a primary counts on: by witness, until when, counted from when it asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Leases(BTreeMap<Witness, Ms>);

impl Leases {
    /// A fiftieth is given up for clocks that differ in pace, and a millisecond for rounding.
    pub fn add(&mut self, witness: Witness, asked: Ms, span: Ms) {
        let until = self.0.entry(witness).or_default();
        *until = (*until).max((asked + span).saturating_sub(span / 50 + 1));
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a quorum of the record's group still grants it.
    pub fn hold(&self, record: &Record, now: Ms) -> bool {
        record.quorum(|w| self.0.get(w).is_some_and(|until| *until > now))
    }
}
