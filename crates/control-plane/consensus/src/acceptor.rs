//! The acceptor of Paxos, a register that a quorum changes, with a leader lease (Raft 6.4.1).
use crate::{Id, LeadershipRecord, Ms, Term, Voter};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Why a voter rejects a request, and the highest term it promised, so that the next campaign is above it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rejection {
    /// The cause, for the log.
    #[serde(rename = "why")]
    pub reason: String,
    /// The highest term that the voter has promised.
    pub promised: Term,
}

/// What a voter has on its disk, synced before it responds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterState {
    /// Drawn when the disk was first written; 0 at the first start of the whole system.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// No proposal below this term is accepted.
    pub promised: Term,
    /// The newest record that was accepted.
    pub record: LeadershipRecord,
    /// The longest lease that was granted: settings may be others after a restart.
    #[serde(default, rename = "span")]
    pub longest_lease: Ms,
}

/// A request to a voter. Leases are milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterRequest {
    /// Phase 1 of Paxos: promise this term and return the newest record.
    Prepare(Term),
    /// Phase 2 of Paxos: accept this record and grant a lease for so long.
    Accept(LeadershipRecord, Ms),
    /// The leader renews its lease.
    Renew(LeadershipRecord, Ms),
    /// The leader of this term has stopped and gives its lease back.
    Release(Term),
}

/// The response of a voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct VoterResponse {
    /// The incarnation of its disk.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// To a prepare: the newest record that it accepted.
    pub record: Option<LeadershipRecord>,
    /// Why it rejects the request; `None`: granted.
    #[serde(rename = "no")]
    pub rejection: Option<Rejection>,
}

/// The acceptor of one node. Callers sync `state` before a response that grants something leaves the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// What has to be on the disk before a response is sent.
    pub state: VoterState,
    /// The lease holder, and until when no other candidate is promised anything.
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

    /// Forgets all grants.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a quorum of the record's group still grants it.
    pub fn hold(&self, record: &LeadershipRecord, now: Ms) -> bool {
        record.has_quorum(|w| self.0.get(w).is_some_and(|until| *until > now))
    }
}
