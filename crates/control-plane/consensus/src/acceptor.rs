//! The acceptor of Paxos, a register that a quorum changes, with a leader lease (Raft 6.4.1).
use crate::{Id, LeadershipRecord, Ms, Term, Voter};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A leader counts on a lease for less than its length by this part, for clock drift between leader and voter.
const CLOCK_DRIFT_DIVISOR: Ms = 50;

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
    /// Until when a lease that an earlier process granted may still run.
    barred_until: Ms,
}

impl Acceptor {
    /// At the first start of the whole system: no term was promised yet.
    pub fn bootstrap(record: LeadershipRecord) -> Acceptor {
        let state = VoterState { promised: record.term.clone(), record, ..VoterState::default() };
        Acceptor { state, ..Acceptor::default() }
    }

    /// With an empty disk: not a voter of any record yet.
    pub fn with_empty_disk(incarnation: u64) -> Acceptor {
        Acceptor { state: VoterState { incarnation, ..VoterState::default() }, ..Acceptor::default() }
    }

    /// After a restart: a lease that was granted before may still run, at most for its full length from now.
    pub fn restart(now: Ms, state: VoterState, lease: Ms) -> Acceptor {
        let barred_until = now + lease.max(state.longest_lease);
        Acceptor { state, barred_until, ..Acceptor::default() }
    }

    fn reject<T>(&self, reason: &str) -> Result<T, Rejection> {
        Err(Rejection { reason: reason.into(), promised: self.state.promised.clone() })
    }

    /// Phase 1 of Paxos: promises the term of a candidate, and returns the newest record that this voter has accepted.
    pub fn prepare(&mut self, now: Ms, term: &Term) -> Result<LeadershipRecord, Rejection> {
        if *term <= self.state.promised {
            return self.reject("promised more");
        }
        if self.lease.as_ref().is_some_and(|(who, until)| *who != term.candidate && now < *until) {
            return self.reject("another has the lease");
        }
        // Only the leader of the record can have had a lease that an earlier process granted.
        if now < self.barred_until && self.state.record.leader != term.candidate {
            return self.reject("just started");
        }
        self.state.promised = term.clone();
        Ok(self.state.record.clone())
    }

    /// Phase 2 of Paxos: accepts the record of a candidate that a quorum promised its term, and grants it the lease for
    /// `lease` ms.
    pub fn accept(&mut self, now: Ms, record: &LeadershipRecord, lease: Ms) -> Result<(), Rejection> {
        if record.term < self.state.promised {
            return self.reject("promised more");
        }
        if record.term == self.state.record.term && *record != self.state.record {
            return self.reject("another record of that epoch");
        }
        self.state.promised = record.term.clone();
        self.state.record = record.clone();
        self.state.longest_lease = self.state.longest_lease.max(lease);
        self.lease = Some((record.leader.clone(), now + lease));
        Ok(())
    }

    /// The leader of the term has stopped: the next candidate need not wait for the end of its lease.
    pub fn release(&mut self, term: &Term) {
        if self.state.record.term == *term {
            self.lease = None;
            self.barred_until = 0;
        }
    }
}

/// The grants of the leader lease by voter: until when, counted from when the leader sent the request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrants(BTreeMap<Voter, Ms>);

impl LeaseGrants {
    /// Adds a grant. A fiftieth is subtracted for clock drift between leader and voter, and a millisecond for rounding.
    pub fn add(&mut self, voter: Voter, sent_at: Ms, lease: Ms) {
        let until = self.0.entry(voter).or_default();
        *until = (*until).max((sent_at + lease).saturating_sub(lease / CLOCK_DRIFT_DIVISOR + 1));
    }

    /// Forgets all grants.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a quorum of the record's voters still grants the lease.
    pub fn is_held(&self, record: &LeadershipRecord, now: Ms) -> bool {
        record.has_quorum(|voter| self.0.get(voter).is_some_and(|until| *until > now))
    }
}
