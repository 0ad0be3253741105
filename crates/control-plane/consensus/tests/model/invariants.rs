//! The invariants, which must hold in every state; they are checked against the reference state.
use super::state::{index_of, Node, NAMES};
use super::Cluster;
use coppersail_consensus::{Change, Core, LeadershipRecord, Role, Term};
use std::collections::BTreeMap;
use std::sync::Arc;

fn holds_change(state: &BTreeMap<String, String>, number: u64) -> bool {
    state.contains_key(&format!("k{number}"))
}

fn has_durable_term(node: &Node, term: &Term) -> bool {
    let durable = node.metadata.get("floor").and_then(|text| serde_json::from_str::<Term>(text).ok());
    durable.is_some_and(|durable| durable >= *term)
}

impl Cluster {
    /// Records that a leader has acknowledged changes, for which it must hold the lease.
    pub(super) fn note_acknowledged(&mut self, node: usize, changes: &[Change]) -> Result<(), String> {
        if !self.lease_holders().contains(&node) {
            return Err(format!("{} acknowledges without the lease", NAMES[node]));
        }
        for change in changes {
            Arc::make_mut(&mut self.reference).acknowledged.insert(change.ticket);
        }
        self.check_invariants()
    }

    /// Checks all invariants, and records in the reference state the changes that are readable now.
    pub(crate) fn check_invariants(&mut self) -> Result<(), String> {
        let lease_holders = self.lease_holders();
        if let [first, second, ..] = lease_holders[..] {
            return Err(format!("{} and {} both hold the lease", NAMES[first], NAMES[second]));
        }
        let Some(leader) = lease_holders.first().copied() else { return Ok(()) };
        let core = self.core(leader).unwrap();
        let Role::Leader(record) = &core.role else { return Err("a lease holder without a record".into()) };
        self.check_record(leader, record)?;
        let committed = self.check_changes(leader, core)?;
        self.check_replicas(record, &committed)?;
        let term = record.term.clone();
        let is_new_term = term != self.reference.highest_term;
        if is_new_term || committed.len() > self.reference.committed.len() {
            let reference = Arc::make_mut(&mut self.reference);
            reference.terms += usize::from(is_new_term);
            (reference.highest_term, reference.committed) = (term, committed);
        }
        Ok(())
    }

    /// The leader's term is the highest so far, and a quorum has accepted its record.
    fn check_record(&self, leader: usize, record: &LeadershipRecord) -> Result<(), String> {
        if record.term < self.reference.highest_term {
            return Err(format!("{} leads in an older term", NAMES[leader]));
        }
        if !self.reference.is_chosen(record) {
            return Err(format!("{} leads by a record that no quorum has accepted", NAMES[leader]));
        }
        Ok(())
    }

    /// The leader has all changes that were ever acknowledged or readable, in the same order. Returns those
    /// that are readable now.
    fn check_changes(&self, leader: usize, core: &Core) -> Result<Vec<u64>, String> {
        let (state, reference) = (core.state(), &self.reference);
        let is_new = |number: &u64| holds_change(state, *number) && !reference.committed.contains(number);
        let mut committed = reference.committed.clone();
        committed.extend((1..=self.last_proposal).filter(is_new));
        for number in committed.iter().chain(&reference.acknowledged) {
            if !holds_change(state, *number) {
                return Err(format!("{} leads without change {number}", NAMES[leader]));
            }
        }
        let last = committed.last().map(|number| number.to_string());
        if state.get("last") != last.as_ref() {
            return Err(format!("{} has another order of changes: {state:?}, {committed:?}", NAMES[leader]));
        }
        Ok(committed)
    }

    /// Every replica that the record names has the changes and the term of the record on its disk, unless
    /// that disk was lost later.
    fn check_replicas(&self, record: &LeadershipRecord, committed: &[u64]) -> Result<(), String> {
        for id in std::iter::once(&record.leader).chain(&record.backups) {
            let node = &self.nodes[index_of(id)];
            // The leader replaces a lost disk later. A disk that takes part in a newer campaign still has the
            // changes.
            let is_lost = node.removed || !has_durable_term(node, &record.term);
            if !is_lost && committed.iter().any(|number| !holds_change(&node.state, *number)) {
                return Err(format!("a change of {committed:?} is not on the disk of replica {id}"));
            }
            if is_lost && node.lost_disks == 0 && !node.removed {
                return Err(format!("the disk of replica {id} is not at the term of the record"));
            }
        }
        Ok(())
    }
}
