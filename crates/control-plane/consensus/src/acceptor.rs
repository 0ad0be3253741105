//! One witness: a register with a lease.
use crate::{Id, LeadershipRecord, Ms, Term, Voter};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a witness says no, and the highest ballot it knows, so that the next try is above it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rejection {
    #[serde(rename = "why")]
    pub reason: String,
    pub promised: Term,
}

/// What is on a witness's disk, synced before it answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterState {
    /// Drawn when the disk was first written; 0 at the first start of the whole system.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub promised: Term,
    pub record: LeadershipRecord,
    /// The longest lease that was granted: settings may be others after a restart.
    #[serde(default)]
    #[serde(rename = "span")]
    pub longest_lease: Ms,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterRequest {
    Prepare(Term),
    Accept(LeadershipRecord, Ms),
    /// The primary asks for its lease again.
    Renew(LeadershipRecord, Ms),
    /// The primary has stopped acting and needs its lease no more.
    Release(Term),
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct VoterResponse {
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub record: Option<LeadershipRecord>,
    #[serde(rename = "no")]
    pub rejection: Option<Rejection>,
}

/// Callers sync `held` before a yes leaves the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub state: VoterState,
    /// Until when nobody else is listened to.
    lease: Option<(Id, Ms)>,
    /// A process before this one may have granted a lease for so long.
    barred: Ms,
}

impl Acceptor {
    /// At the first start of the whole system: nothing was promised to anybody.
    pub fn bootstrap(record: LeadershipRecord) -> Acceptor {
        let held = VoterState { promised: record.term.clone(), record, ..VoterState::default() };
        Acceptor { state: held, ..Acceptor::default() }
    }

    /// With an empty disk: in no group yet.
    pub fn with_empty_disk(life: u64) -> Acceptor {
        Acceptor { state: VoterState { incarnation: life, ..VoterState::default() }, ..Acceptor::default() }
    }

    /// After a restart: whatever lease was granted before may run on from now.
    pub fn restart(now: Ms, held: VoterState, span: Ms) -> Acceptor {
        let barred = now + span.max(held.longest_lease);
        Acceptor { state: held, barred, ..Acceptor::default() }
    }

    fn no<T>(&self, why: &str) -> Result<T, Rejection> {
        Err(Rejection { reason: why.into(), promised: self.state.promised.clone() })
    }

    /// A candidate asks for a ballot. The record that it gets is the newest that this witness has accepted.
    pub fn prepare(&mut self, now: Ms, ballot: &Term) -> Result<LeadershipRecord, Rejection> {
        if *ballot <= self.state.promised {
            return self.no("promised more");
        }
        if self.lease.as_ref().is_some_and(|(who, until)| *who != ballot.candidate && now < *until) {
            return self.no("another has the lease");
        }
        // Only the primary of the record can have had a lease of an earlier process here.
        if now < self.barred && self.state.record.leader != ballot.candidate {
            return self.no("just started");
        }
        self.state.promised = ballot.clone();
        Ok(self.state.record.clone())
    }

    /// A candidate that a quorum promised its ballot writes the record; it gets the lease for `span` with that.
    pub fn accept(&mut self, now: Ms, record: &LeadershipRecord, span: Ms) -> Result<(), Rejection> {
        if record.term < self.state.promised {
            return self.no("promised more");
        }
        if record.term == self.state.record.term && *record != self.state.record {
            return self.no("another record of that epoch");
        }
        self.state.promised = record.term.clone();
        self.state.record = record.clone();
        self.state.longest_lease = self.state.longest_lease.max(span);
        self.lease = Some((record.leader.clone(), now + span));
        Ok(())
    }

    /// The primary has stopped: whoever may take over need not wait.
    pub fn release(&mut self, epoch: &Term) {
        if self.state.record.term == *epoch {
            self.lease = None;
            self.barred = 0;
        }
    }
}

/// The leases that a primary counts on: by witness, until when, counted from when it asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrants(BTreeMap<Voter, Ms>);

impl LeaseGrants {
    /// A fiftieth is given up for clocks that differ in pace, and a millisecond for rounding.
    pub fn add(&mut self, witness: Voter, asked: Ms, span: Ms) {
        let until = self.0.entry(witness).or_default();
        *until = (*until).max((asked + span).saturating_sub(span / 50 + 1));
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a quorum of the record's group still grants it.
    pub fn hold(&self, record: &LeadershipRecord, now: Ms) -> bool {
        record.has_quorum(|w| self.0.get(w).is_some_and(|until| *until > now))
    }
}
