//! Peers: their status, contact with them, and the targets of heartbeats.
use super::tracker::{DiskWrite, WriteBatch};
use super::{json, metadata_keys, Core, Peer};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{Id, LeadershipRecord, Ms, Output, PeerStatus, Voter, VoterAnswer};
use std::collections::BTreeSet;

impl Core {
    /// The leader: a peer that reported, within the last lease duration, that it holds the leader lease.
    pub fn known_leader(&self, now: Ms) -> Option<&Id> {
        let holds_lease = |p: &&Peer| now < p.last_heard + self.timeouts.lease && p.status.holds_lease;
        let leader = self.peers.values().filter(holds_lease).max_by_key(|p| p.status.record.term.clone());
        leader.map(|p| &p.status.id)
    }

    /// Whether a quorum of voters has answered calls that this node sent within the last lease duration
    /// (check quorum, Raft 6.2).
    pub fn has_quorum_contact(&self, now: Ms) -> bool {
        let contacted = |id: &Id| {
            if *id == self.id {
                return Some(self.incarnation());
            }
            let peer = self.peers.get(id)?;
            let is_recent = peer.last_contact > 0 && now < peer.last_contact + self.timeouts.lease;
            is_recent.then_some(peer.status.incarnation)
        };
        self.record.has_quorum(|voter| match contacted(&voter.id) {
            Some(incarnation) if incarnation == voter.incarnation => VoterAnswer::Granted,
            Some(_) => VoterAnswer::DiskLost,
            None => VoterAnswer::Missing,
        })
    }

    /// Whether a request or response from the peer arrived within the last lease duration.
    pub fn is_peer_alive(&self, now: Ms, id: &str) -> bool {
        self.peers.get(id).is_some_and(|p| p.last_heard > 0 && now < p.last_heard + self.timeouts.lease)
    }

    /// Whether the peer is alive, has a healthy disk, and is not draining.
    pub(super) fn is_usable_backup(&self, now: Ms, id: &str) -> bool {
        self.is_peer_alive(now, id)
            && self.peers.get(id).is_some_and(|p| p.status.disk_healthy && !p.status.draining)
    }

    /// Whether the peer, a replica of the record, has lost its disk: it knows the record, but its disk has not
    /// reached the term of the record.
    pub(super) fn has_lost_replica(&self, id: &str, record: &LeadershipRecord) -> bool {
        self.peers.get(id).is_some_and(|peer| {
            peer.status.last_durable_term < record.term && peer.status.record.term >= record.term
        })
    }

    /// The status that this node sends with each heartbeat.
    pub fn status(&self, now: Ms) -> PeerStatus {
        PeerStatus {
            id: self.id.clone(),
            holds_lease: self.holds_leader_lease(now),
            disk_healthy: self.disk_healthy,
            draining: self.shutdown_began_at.is_some(),
            incarnation: self.incarnation(),
            last_durable_term: self.last_durable_term.clone(),
            zone: self.zone.clone(),
            record: self.record.clone(),
            members: self.members.iter().cloned().collect(),
        }
    }

    /// Handles a heartbeat, or the response to one that this node sent; `sent_at` is set for a response, to
    /// the time at which this node sent its heartbeat.
    pub fn handle_peer_status(
        &mut self,
        now: Ms,
        status: &PeerStatus,
        sent_at: Option<Ms>,
        out: &mut Vec<Output>,
    ) {
        if status.id == self.id {
            return;
        }
        let peer = self.peers.entry(status.id.clone()).or_default();
        peer.last_heard = now;
        peer.last_contact = peer.last_contact.max(sent_at.unwrap_or(0));
        peer.status = status.clone();
        if status.holds_lease {
            self.leader_seen_at = now;
        }
        self.add_members(now, std::iter::once(&status.id).chain(&status.members), out);
        let sender = Voter::new(&status.id, status.incarnation);
        if is_injected(InjectedBug::UnknownDiskRecordIgnored) && !self.record.voters.contains(&sender) {
            return;
        }
        self.observe_record(now, &status.record, out);
    }

    /// Adds members that are new. They are stored, so that a restarted node has peers to contact.
    pub fn add_members<'a>(&mut self, now: Ms, ids: impl Iterator<Item = &'a Id>, out: &mut Vec<Output>) {
        let before = self.members.len();
        self.members.extend(ids.cloned());
        if self.members.len() > before {
            let all: Vec<&Id> = self.members.iter().collect();
            let metadata = vec![(metadata_keys::MEMBERS.into(), json(&all))];
            self.persist(now, DiskWrite::Metadata, WriteBatch::metadata(metadata), out);
        }
    }

    /// The targets of the next heartbeats: the voters, the replicas, the known leader, `count` successors on
    /// the ring of live members, and `count` of the silent members, which rotate with `turn`.
    pub fn heartbeat_targets(&self, now: Ms, turn: usize, count: usize) -> BTreeSet<Id> {
        let (alive, silent): (Vec<Id>, Vec<Id>) = self
            .members
            .iter()
            .filter(|id| **id != self.id)
            .cloned()
            .partition(|id| self.is_peer_alive(now, id));
        let mut all: BTreeSet<Id> = self.record.voter_ids().into_iter().collect();
        all.extend(std::iter::once(&self.record.leader).chain(&self.record.backups).cloned());
        all.extend(self.known_leader(now).cloned());
        let mut ring = alive;
        ring.push(self.id.clone());
        all.extend(crate::ring_successors(&self.id, &ring, count));
        let silent: Vec<Id> = silent.into_iter().filter(|id| !all.contains(id)).collect();
        if !silent.is_empty() {
            all.extend(
                (0..count.min(silent.len())).map(|n| silent[(turn * count + n) % silent.len()].clone()),
            );
        }
        all.remove(&self.id);
        all.remove("");
        all
    }

    pub(super) fn observe_record(&mut self, now: Ms, record: &LeadershipRecord, out: &mut Vec<Output>) {
        self.highest_term_number = self.highest_term_number.max(record.term.number);
        if record.term > self.record.term {
            self.record = record.clone();
            let metadata = vec![(metadata_keys::RECORD.into(), json(record))];
            self.persist(now, DiskWrite::Metadata, WriteBatch::metadata(metadata), out);
        }
    }
}
