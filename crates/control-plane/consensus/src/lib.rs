//! Consensus of the control plane: leader leases, voters and replication, as a pure state machine without
//! I/O. Times are milliseconds of a monotonic clock; the caller passes the current time with each input.
//!
//! A few voters hold one [`LeadershipRecord`] (term, leader, backups, and the voters themselves) as a
//! register that changes by Paxos: a candidate obtains promises for its term from a quorum and reads the
//! newest record, and only a replica named there may propose the next one. Every acknowledged change is on
//! the disks of all replicas that the record names, so each of them can take over on its own. Voters store
//! neither the replicated state nor a log. They change one at a time, through a joint configuration that
//! majorities of the old and of the new voters accept (Raft 6). [`Core`] is one node; `docs/control.md`
//! describes the invariants and their reasons.
//!
//! Of the Raft sections cited in this crate, 3.10, 6.2 and 6.4.1 are those of Ongaro's dissertation, and the
//! others those of the Raft paper.
//!
//! ```
//! use coppersail_consensus::{Acceptor, LeadershipRecord, Term, Voter};
//! let voters: Vec<Voter> = ["a", "b", "c"].map(|id| Voter::new(id, 0)).into();
//! let first = LeadershipRecord {
//!     term: Term::new(1, ""),
//!     leader: "a".into(),
//!     backups: vec!["b".into()],
//!     voters,
//!     outgoing_voters: vec![],
//! };
//! let mut acceptor = Acceptor::bootstrap(first.clone());
//! let term = Term::new(2, "b");
//! assert_eq!(acceptor.prepare(0, &term), Ok(first.clone()));
//! let next = LeadershipRecord { term: term.clone(), leader: "b".into(), backups: vec!["c".into()], ..first };
//! assert!(acceptor.accept(0, &next, 1000).is_ok());
//! assert!(acceptor.prepare(10, &Term::new(3, "c")).is_err(), "b holds a lease of 1000 ms");
//! ```
mod acceptor;
mod core;
mod injected_bugs;
mod messages;
mod output;
mod quorum;

pub use crate::core::{Core, InitialState, Peer, Role, Timeouts, LAST_SEQUENCE_KEY};
pub use acceptor::{Acceptor, LeaseGrants, Rejection, VoterRequest, VoterResponse, VoterState};
#[cfg(feature = "injected-bugs")]
pub use injected_bugs::inject;
pub use injected_bugs::InjectedBug;
pub use messages::{
    Change, KeyValue, PeerStatus, ReplicaWrite, ReplicaWriteKind, ReplicaWriteResponse, Request, Response,
};
pub use output::{OperationId, Output, RequestId};
pub use quorum::VoterAnswer;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Parameters of the 64-bit FNV-1a hash.
pub(crate) const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
pub(crate) const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Milliseconds of a monotonic clock: a point in time or a duration.
pub type Ms = u64;

/// The id of a node: the address at which it serves, "ip:port".
pub type Id = String;

/// A proposal number; no two candidates share one. The term of a record is the proposal number under which it
/// was accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// The number; it only increases.
    #[serde(rename = "n")]
    pub number: u64,
    /// The candidate that chose the number.
    #[serde(rename = "by")]
    pub candidate: Id,
}

impl Term {
    /// Term `number` of a candidate.
    pub fn new(number: u64, candidate: &str) -> Term {
        Term { number, candidate: candidate.into() }
    }
}

/// A voter is one disk of one node. A node that lost its disk is a different voter with the same id: its
/// promises are gone, so its votes do not count until a record names its new incarnation. Until then they
/// only prove that the old disk is lost ([`VoterAnswer::DiskLost`]).
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The node.
    pub id: Id,
    /// Identifies the disk among all that the node has had.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Voter {
    /// The voter of a node with the disk of this incarnation.
    pub fn new(id: &str, incarnation: u64) -> Voter {
        Voter { id: id.into(), incarnation }
    }
}

/// The register that a quorum of voters accepts: who leads in a term, whose disks hold the state, and who
/// votes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The term; no two records have the same term.
    #[serde(rename = "epoch")]
    pub term: Term,
    /// The leader of the term.
    #[serde(rename = "primary")]
    pub leader: Id,
    /// The nodes whose disks hold all acknowledged changes, besides the leader's.
    pub backups: Vec<Id>,
    /// The voters, or the new ones of a joint configuration.
    #[serde(rename = "witnesses")]
    pub voters: Vec<Voter>,
    /// In a joint configuration: the outgoing voters, whose majority is needed as well (Raft 6).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "before")]
    pub outgoing_voters: Vec<Voter>,
}

impl LeadershipRecord {
    /// Whether this record names the node as a replica, that is, as one that holds all acknowledged changes.
    pub fn is_replica(&self, id: &str) -> bool {
        self.leader == id || self.backups.iter().any(|backup| backup == id)
    }

    /// Whether the node may be the next leader, which must hold all acknowledged changes: the record names it
    /// as a replica, and its last durable term shows that its disk is the one that was named, not an empty
    /// replacement.
    pub fn may_lead(&self, id: &str, last_durable_term: &Term) -> bool {
        let has_state =
            *last_durable_term >= self.term || injected_bugs::is_injected(InjectedBug::EmptyDiskLeads);
        self.is_replica(id) && has_state
    }

    /// Whether the answers of the voters are a quorum: a majority of the voters, or half of them if the disk of
    /// another is lost; in a joint configuration, of the outgoing voters as well.
    pub fn has_quorum(&self, answer: impl Fn(&Voter) -> VoterAnswer) -> bool {
        let is_quorum = |voters: &[Voter]| {
            let answers: Vec<VoterAnswer> = voters.iter().map(&answer).collect();
            quorum::is_quorum(&answers)
        };
        let has_new_quorum = is_quorum(&self.voters)
            || injected_bugs::is_injected(InjectedBug::OutgoingMajorityOnly)
                && !self.outgoing_voters.is_empty();
        has_new_quorum && (self.outgoing_voters.is_empty() || is_quorum(&self.outgoing_voters))
    }

    /// The ids of all voters, sorted, each once.
    pub fn voter_ids(&self) -> Vec<Id> {
        let mut all: Vec<Id> =
            self.voters.iter().chain(&self.outgoing_voters).map(|voter| voter.id.clone()).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Whether the node is among the voters or the outgoing voters.
    pub fn is_voter(&self, id: &str) -> bool {
        self.voters.iter().chain(&self.outgoing_voters).any(|voter| voter.id == id)
    }
}

/// The `count` nodes that follow `me` on a ring ordered by a hash of the ids (consistent hashing). A node
/// sends heartbeats to its successors.
///
/// ```
/// let all: Vec<String> = (0..9).map(|n| format!("10.0.0.{n}:80")).collect();
/// let successors = coppersail_consensus::ring_successors(&all[0], &all, 3);
/// assert_eq!(successors.len(), 3);
/// assert!(!successors.contains(&all[0]));
/// ```
pub fn ring_successors(me: &str, all: &[Id], count: usize) -> Vec<Id> {
    let position = |id: &str| {
        id.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ byte as u64).wrapping_mul(FNV_PRIME))
    };
    let mut ring: Vec<(u64, &Id)> = all.iter().filter(|id| *id != me).map(|id| (position(id), id)).collect();
    ring.sort_unstable();
    ring.dedup();
    let own_position = position(me);
    let start = ring.partition_point(|(position, _)| *position < own_position);
    (0..ring.len().min(count)).map(|n| ring[(start + n) % ring.len()].1.clone()).collect()
}

/// The size of the smallest majority among this number of voters.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
