//! The reference state: what an observer of all nodes has seen. The invariants are checked against it.
//!
//! It counts quorums independently of the core, so that the code under test is not its own test oracle.
use coppersail_consensus::{LeadershipRecord, Term, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// The knowledge of an observer of all nodes. The order of the fields is part of the fingerprint of a state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReferenceState {
    /// By term, the record and the disks that have ever accepted it.
    accepted: BTreeMap<Term, (LeadershipRecord, BTreeSet<Voter>)>,
    /// The disks that were lost.
    pub(super) lost_disks: BTreeSet<Voter>,
    /// Changes that were acknowledged or readable, in order of commit.
    pub(crate) committed: Vec<u64>,
    pub(crate) acknowledged: BTreeSet<u64>,
    /// The highest term in which a leader held the lease.
    pub(crate) highest_term: Term,
    /// The number of terms in which a leader held the lease.
    pub(crate) terms: usize,
    /// The number of memberships that were chosen.
    pub(crate) memberships: usize,
}

/// Whether these disks decide for the voters of one set: they are a majority, or half of an even number of
/// voters, of which another has lost its disk.
fn decides(voters: &[Voter], accepted_by: &BTreeSet<Voter>, lost_disks: &BTreeSet<Voter>) -> bool {
    let accepted = voters.iter().filter(|voter| accepted_by.contains(voter)).count();
    let is_lost = |voter: &Voter| lost_disks.contains(voter) && !accepted_by.contains(voter);
    2 * accepted > voters.len() || 2 * accepted == voters.len() && voters.iter().any(is_lost)
}

/// Whether one membership may follow another: it is the same, leaves a joint configuration, or enters one
/// that replaces, adds or removes at most one voter.
fn may_follow(old: &LeadershipRecord, new: &LeadershipRecord) -> bool {
    let is_same = old.voters == new.voters && old.outgoing_voters == new.outgoing_voters;
    let ends_joint =
        !old.outgoing_voters.is_empty() && new.outgoing_voters.is_empty() && old.voters == new.voters;
    let begins_joint = old.outgoing_voters.is_empty() && new.outgoing_voters == old.voters;
    let removed = old.voters.iter().filter(|voter| !new.voters.contains(voter)).count();
    let added = new.voters.iter().filter(|voter| !old.voters.contains(voter)).count();
    is_same || ends_joint || begins_joint && removed <= 1 && added <= 1
}

impl ReferenceState {
    /// Whether this disk has accepted the record of the term.
    pub(super) fn has_accepted(&self, term: &Term, voter: &Voter) -> bool {
        self.accepted.get(term).is_some_and(|(_, accepted_by)| accepted_by.contains(voter))
    }

    /// Records that a disk has accepted a record. Invariants: there is one record per term, and each chosen
    /// membership may follow the preceding one.
    pub(super) fn note_accepted(&mut self, record: LeadershipRecord, voter: Voter) -> Result<(), String> {
        if self.accepted.get(&record.term).is_some_and(|(known, _)| *known != record) {
            return Err(format!("two records of term {:?}", record.term));
        }
        let (record, accepted_by) =
            self.accepted.entry(record.term.clone()).or_insert_with(|| (record, BTreeSet::new()));
        accepted_by.insert(voter);
        let term = record.term.clone();
        if self.is_chosen_in(&term) {
            self.memberships = self.count_memberships()?;
        }
        Ok(())
    }

    /// Whether a quorum of the record's voters has accepted exactly this record.
    pub(super) fn is_chosen(&self, record: &LeadershipRecord) -> bool {
        self.is_chosen_in(&record.term)
            && self.accepted.get(&record.term).is_some_and(|(known, _)| known == record)
    }

    /// Whether a quorum has accepted the record of this term.
    fn is_chosen_in(&self, term: &Term) -> bool {
        let Some((record, accepted_by)) = self.accepted.get(term) else { return false };
        let decides = |voters: &[Voter]| decides(voters, accepted_by, &self.lost_disks);
        decides(&record.voters) && (record.outgoing_voters.is_empty() || decides(&record.outgoing_voters))
    }

    fn count_memberships(&self) -> Result<usize, String> {
        let records = self.accepted.values().map(|(record, _)| record);
        let chosen: Vec<&LeadershipRecord> =
            records.filter(|record| self.is_chosen_in(&record.term)).collect();
        for pair in chosen.windows(2) {
            let (old, new) = (pair[0], pair[1]);
            if !may_follow(old, new) {
                return Err(format!(
                    "a membership that may not follow its predecessor: {old:?} then {new:?}"
                ));
            }
        }
        let differ = |pair: &&[&LeadershipRecord]| {
            pair[0].voters != pair[1].voters || pair[0].outgoing_voters != pair[1].outgoing_voters
        };
        Ok(1 + chosen.windows(2).filter(differ).count())
    }
}
