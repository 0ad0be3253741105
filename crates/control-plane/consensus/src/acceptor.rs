//! The Paxos acceptor of the leadership record, with a leader lease (Raft 6.4.1).
use crate::{Id, LeadershipRecord, Ms, Term, Voter, VoterAnswer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A leader treats a lease as shorter by one part in this many, for clock drift between leader and voter.
const CLOCK_DRIFT_DIVISOR: Ms = 50;

/// Why a voter rejects a request, and the highest term it promised, which the next campaign must exceed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rejection {
    /// The cause, for the log.
    #[serde(rename = "why")]
    pub reason: String,
    /// The highest term that the voter has promised.
    pub promised: Term,
}

/// The durable state of a voter, synced to its disk before it responds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterState {
    /// Drawn at random when the disk was first written; 0 for the voters of the whole system's first start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// No proposal below this term is accepted.
    pub promised: Term,
    /// The newest record that was accepted.
    pub record: LeadershipRecord,
    /// The longest lease granted so far; the configured one may be shorter after a restart.
    #[serde(default, rename = "span")]
    pub longest_lease: Ms,
}

/// A request to a voter. Leases are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterRequest {
    /// Phase 1 of Paxos: promise this term and return the newest record.
    Prepare(Term),
    /// Phase 2 of Paxos: accept this record and grant its leader a lease of this length.
    Accept(LeadershipRecord, Ms),
    /// The leader of this record renews its lease for this length.
    Renew(LeadershipRecord, Ms),
    /// The leader of this term has stopped and releases its lease.
    Release(Term),
}

/// The response of a voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct VoterResponse {
    /// The incarnation of its disk.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// In response to a prepare: the newest record that the voter has accepted.
    pub record: Option<LeadershipRecord>,
    /// Why the voter rejects the request; `None` if it grants it.
    #[serde(rename = "no")]
    pub rejection: Option<Rejection>,
}

/// The acceptor of one node. Callers must sync `state` to the disk before they send a response that grants a
/// request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// The state that must be on the disk before a response is sent.
    pub state: VoterState,
    /// The lease holder, and the time until which no other candidate gets a promise.
    lease: Option<(Id, Ms)>,
    /// The time until which a lease that was granted before a restart may still run.
    earlier_lease_until: Ms,
}

impl Acceptor {
    /// The acceptor at the first start of the whole system, when no term has been promised yet.
    pub fn bootstrap(record: LeadershipRecord) -> Acceptor {
        let state = VoterState { promised: record.term.clone(), record, ..VoterState::default() };
        Acceptor { state, ..Acceptor::default() }
    }

    /// The acceptor of a node with an empty disk, which no record names as a voter yet.
    pub fn with_empty_disk(incarnation: u64) -> Acceptor {
        Acceptor { state: VoterState { incarnation, ..VoterState::default() }, ..Acceptor::default() }
    }

    /// The acceptor after a restart: a lease granted before may still run, for at most its full length from
    /// now.
    pub fn restart(now: Ms, state: VoterState, lease: Ms) -> Acceptor {
        let earlier_lease_until = now + lease.max(state.longest_lease);
        Acceptor { state, earlier_lease_until, ..Acceptor::default() }
    }

    fn reject<T>(&self, reason: &str) -> Result<T, Rejection> {
        Err(Rejection { reason: reason.into(), promised: self.state.promised.clone() })
    }

    /// Phase 1 of Paxos: promises the term of a candidate, and returns the newest record that this voter has
    /// accepted.
    pub fn prepare(&mut self, now: Ms, term: &Term) -> Result<LeadershipRecord, Rejection> {
        if *term <= self.state.promised {
            return self.reject("promised more");
        }
        if self.lease.as_ref().is_some_and(|(holder, until)| *holder != term.candidate && now < *until) {
            return self.reject("another has the lease");
        }
        // A lease granted before a restart can only belong to the leader of the record.
        if now < self.earlier_lease_until && self.state.record.leader != term.candidate {
            return self.reject("just started");
        }
        self.state.promised = term.clone();
        Ok(self.state.record.clone())
    }

    /// Phase 2 of Paxos: accepts the record of a candidate whose term a quorum has promised, and grants the
    /// candidate the lease for `lease` ms.
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

    /// Ends the lease of a leader that has stopped, so that the next candidate need not wait for its expiry.
    pub fn release(&mut self, term: &Term) {
        if self.state.record.term == *term {
            self.lease = None;
            self.earlier_lease_until = 0;
        }
    }
}

/// The grants of the leader lease: when each voter's grant expires, counted from when the leader sent its
/// request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseGrants(BTreeMap<Voter, Ms>);

impl LeaseGrants {
    /// Adds a grant. A fiftieth is subtracted for clock drift between leader and voter, and a millisecond for
    /// rounding.
    pub fn add(&mut self, voter: Voter, sent_at: Ms, lease: Ms) {
        let until = self.0.entry(voter).or_default();
        *until = (*until).max((sent_at + lease).saturating_sub(lease / CLOCK_DRIFT_DIVISOR + 1));
    }

    /// Removes all grants.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a quorum of the record's voters still grants the lease.
    pub fn is_held(&self, record: &LeadershipRecord, now: Ms) -> bool {
        let granted = || self.0.iter().filter(|(_, until)| **until > now).map(|(voter, _)| voter);
        record.has_quorum(|voter| VoterAnswer::find(voter, granted()))
    }
}
