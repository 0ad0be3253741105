//! Who may act: epochs, leases and the group of witnesses, without I/O. Times are milliseconds of a steady clock, given in.
//!
//! A small group of witnesses holds one [`LeadershipRecord`] (epoch, primary, backups, and the group itself) as a register that a
//! quorum changes: a candidate has a ballot promised, reads the newest record, and only who stands in it may write the
//! next one. What was acknowledged is on the disks of all that the record names, so each of them can go on alone.
//! Witnesses hold no configuration and no log. The group changes one witness at a time, by a record that both the old
//! and the new group must accept before the new one stands alone. [`Core`] is the whole of it as one state machine;
//! `docs/control.md` says what holds and why.
//!
//! ```
//! use coppersail_consensus::{Acceptor, Ballot, Record, Witness};
//! let group: Vec<Witness> = ["a", "b", "c"].map(|id| Witness::new(id, 0)).into();
//! let first = Record { epoch: Ballot::new(1, ""), primary: "a".into(), backups: vec!["b".into()], witnesses: group, before: vec![] };
//! let mut one = Acceptor::first(first.clone());
//! let ballot = Ballot::new(2, "b");
//! assert_eq!(one.prepare(0, &ballot), Ok(first.clone()));
//! let next = Record { epoch: ballot.clone(), primary: "b".into(), backups: vec!["c".into()], ..first };
//! assert!(one.accept(0, &next, 1000).is_ok());
//! assert!(one.prepare(10, &Ballot::new(3, "c")).is_err(), "b has a lease of a second");
//! ```
mod acceptor;
mod core;
mod injected_bugs;
mod messages;
mod output;

pub use crate::core::{Core, InitialState, Peer, Role, Timeouts, SEQ};
pub use acceptor::{Acceptor, LeaseGrants, Rejection, VoterRequest, VoterResponse, VoterState};
#[cfg(feature = "injected-bugs")]
pub use injected_bugs::inject;
pub use injected_bugs::InjectedBug;
pub use messages::{
    Change, KeyValue, PeerStatus, ReplicaWrite, ReplicaWriteKind, ReplicaWriteResponse, Request, Response,
};
pub use output::{OperationId, Output, RequestId};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

pub type Ms = u64;

/// Who a director is: where it serves hosts and operators, "ip:port".
pub type Id = String;

/// Ballots are never the same for two candidates. A record's ballot is its epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "by")]
    pub candidate: Id,
}

impl Term {
    pub fn new(n: u64, by: &str) -> Term {
        Term { number: n, candidate: by.into() }
    }
}

/// One disk of one director. A director whose disk was lost is another witness at the same place: it has forgotten
/// what it promised, and counts for nothing until a group names its new life.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub id: Id,
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Voter {
    pub fn new(id: &str, life: u64) -> Voter {
        Voter { id: id.into(), incarnation: life }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadershipRecord {
    #[serde(rename = "epoch")]
    pub term: Term,
    #[serde(rename = "primary")]
    pub leader: Id,
    /// Whose disks hold all that was acknowledged, besides the primary's.
    pub backups: Vec<Id>,
    #[serde(rename = "witnesses")]
    pub voters: Vec<Voter>,
    /// While the group changes: the group before, whose majority is needed as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "before")]
    pub outgoing_voters: Vec<Voter>,
}

impl LeadershipRecord {
    pub fn is_replica(&self, who: &str) -> bool {
        self.leader == who || self.backups.iter().any(|b| b == who)
    }

    /// Only who holds all that was acknowledged may be the next primary: it stands in the record, and its disk, by
    /// the epoch it last took part in, is the one that was named and not an empty one put in its place.
    pub fn may_lead(&self, who: &str, floor: &Term) -> bool {
        self.is_replica(who) && *floor >= self.term
    }

    /// Whether these witnesses decide.
    pub fn has_quorum(&self, yes: impl Fn(&Voter) -> bool) -> bool {
        let most = |group: &[Voter]| group.iter().filter(|w| yes(w)).count() > group.len() / 2;
        let new = most(&self.voters)
            || injected_bugs::is_injected(InjectedBug::OutgoingMajorityOnly)
                && !self.outgoing_voters.is_empty();
        new && (self.outgoing_voters.is_empty() || most(&self.outgoing_voters))
    }

    /// Everybody who is asked, each once.
    pub fn voter_ids(&self) -> Vec<Id> {
        let mut all: Vec<Id> =
            self.voters.iter().chain(&self.outgoing_voters).map(|w| w.id.clone()).collect();
        all.sort();
        all.dedup();
        all
    }

    pub fn is_voter(&self, who: &str) -> bool {
        self.voters.iter().chain(&self.outgoing_voters).any(|w| w.id == who)
    }
}

/// The few that a director's place on a ring names: those that follow it in the order of a hash of their names.
/// Its heartbeats go to them.
///
/// ```
/// let all: Vec<String> = (0..9).map(|n| format!("10.0.0.{n}:80")).collect();
/// let few = coppersail_consensus::watchers(&all[0], &all, 3);
/// assert_eq!(few.len(), 3);
/// assert!(!few.contains(&all[0]));
/// ```
pub fn ring_successors(me: &str, all: &[Id], few: usize) -> Vec<Id> {
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

pub fn majority(seats: usize) -> usize {
    seats / 2 + 1
}
