//! The choice of backups and voters. Voters change one at a time, through a joint configuration (Raft 6).
use super::tracker::{MembershipChange, Reconfiguration};
use super::{Core, Role};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{Id, LeadershipRecord, Ms, Voter};

impl Core {
    /// The live members with a healthy disk, best backup first. Preferred, in this order, are members that
    /// are not draining, are not excluded after a failed write, are in another zone than this node (a zone
    /// may fail as a whole), are replicas already (they need no snapshot), and are voters.
    pub(super) fn backup_candidates(&self, now: Ms, base_record: &LeadershipRecord) -> Vec<Id> {
        let has_healthy_disk = |id: &Id| {
            self.is_peer_alive(now, id) && self.peers.get(id).is_some_and(|p| p.status.disk_healthy)
        };
        let mut candidates: Vec<Id> =
            self.members.iter().filter(|id| **id != self.id && has_healthy_disk(id)).cloned().collect();
        let shares_zone = |id: &Id| self.peers.get(id).is_some_and(|p| p.status.zone == self.zone);
        let is_draining = |id: &Id| self.peers.get(id).is_some_and(|p| p.status.draining);
        let is_excluded = |id: &Id| self.excluded_until.get(id).is_some_and(|until| now < *until);
        candidates.sort_by_key(|id| {
            (
                is_draining(id),
                is_excluded(id),
                shares_zone(id),
                !base_record.is_replica(id),
                !base_record.is_voter(id),
                id.clone(),
            )
        });
        candidates
    }

    /// The next change that the leader should make by a campaign, if any: first the end of a joint
    /// configuration, then the replacement of a failed backup, then a change of one voter.
    pub(super) fn wanted_change(&self, now: Ms) -> Option<Reconfiguration> {
        let Role::Leader(record) = &self.role else { return None };
        if !record.outgoing_voters.is_empty() {
            let voters = record.voters.clone();
            return Some(Reconfiguration::Voters(MembershipChange { voters, outgoing_voters: Vec::new() }));
        }
        if self.should_replace_backups(now, record) {
            return Some(Reconfiguration::Backups);
        }
        self.incarnation_update(now, record)
            .or_else(|| self.voter_replacement(now, record))
            .or_else(|| self.voter_addition(now, record))
            .map(Reconfiguration::Voters)
    }

    /// Whether a backup is missing or failed and enough others can take its place.
    fn should_replace_backups(&self, now: Ms, record: &LeadershipRecord) -> bool {
        let has_failed = |id: &Id| !self.is_usable_backup(now, id) || self.has_lost_replica(id, record);
        let is_excluded = |id: &Id| self.excluded_until.get(id).is_some_and(|until| now < *until);
        let candidates = self.backup_candidates(now, record);
        let usable =
            candidates.iter().filter(|id| self.is_usable_backup(now, id) && !is_excluded(id)).count();
        let wanted = self.timeouts.max_failures;
        (record.backups.iter().any(has_failed) || record.backups.len() < wanted) && usable >= wanted
    }

    /// Replaces a voter that came back with another disk: its new incarnation takes the place of the old one.
    fn incarnation_update(&self, now: Ms, record: &LeadershipRecord) -> Option<MembershipChange> {
        record.voters.iter().find_map(|voter| {
            let incarnation = if voter.id == self.id {
                Some(self.incarnation())
            } else {
                self.peer_incarnation(&voter.id).filter(|_| self.is_peer_alive(now, &voter.id))
            };
            let incarnation = incarnation.filter(|incarnation| *incarnation != voter.incarnation)?;
            Some(self.replace_voter(record, voter, Voter { id: voter.id.clone(), incarnation }))
        })
    }

    /// Replaces by a spare member a voter that is draining or has been silent for too long, or else this node
    /// itself while it shuts down. Without a spare member, a voter that is leaving may be removed.
    fn voter_replacement(&self, now: Ms, record: &LeadershipRecord) -> Option<MembershipChange> {
        let must_be_replaced =
            |voter: &&Voter| self.is_draining(now, &voter.id) || self.is_silent(now, &voter.id);
        let others = record.voters.iter().filter(|voter| voter.id != self.id);
        let own = record.voters.iter().find(|voter| voter.id == self.id);
        let own = own.filter(|_| self.shutdown_began_at.is_some());
        let outgoing = others.clone().find(must_be_replaced).or(own)?;
        match self.spare_voters(now, record).into_iter().next() {
            Some(spare) => Some(self.replace_voter(record, outgoing, spare)),
            None => self.voter_removal(now, record, outgoing),
        }
    }

    /// Removes a voter that shuts down. Of an even number of voters it is removed while it drains: the others
    /// tolerate as many failures without it, and of two voters the other one could not go on alone. Of an odd
    /// number it is removed once it is gone: without it the others tolerate the loss of one more disk.
    fn voter_removal(
        &self,
        now: Ms,
        record: &LeadershipRecord,
        outgoing: &Voter,
    ) -> Option<MembershipChange> {
        let is_own = outgoing.id == self.id;
        let is_leaving = is_own || self.peers.get(&outgoing.id).is_some_and(|peer| peer.status.draining);
        let is_gone = !is_own && self.is_silent(now, &outgoing.id);
        let is_even = record.voters.len().is_multiple_of(2);
        let can_stay = |voter: &Voter| {
            if voter.id == self.id {
                self.shutdown_began_at.is_none()
            } else {
                self.is_usable_backup(now, &voter.id)
            }
        };
        let remaining: Vec<Voter> =
            record.voters.iter().filter(|voter| *voter != outgoing).cloned().collect();
        (is_leaving && (is_even || is_gone) && remaining.iter().all(can_stay))
            .then(|| MembershipChange { voters: remaining, outgoing_voters: record.voters.clone() })
    }

    /// Adds a voter if there are fewer than `2 * max_failures + 1` and enough spare members to reach that
    /// number. A single voter gets a second one in any case, because its disk may be lost.
    fn voter_addition(&self, now: Ms, record: &LeadershipRecord) -> Option<MembershipChange> {
        let wanted = 2 * self.timeouts.max_failures + 1;
        let spares = self.spare_voters(now, record);
        let reaches_wanted = record.voters.len() + spares.len() >= wanted;
        if record.voters.len() >= wanted || !reaches_wanted && record.voters.len() > 1 {
            return None;
        }
        let added = spares.into_iter().next()?;
        let voters = record.voters.iter().cloned().chain([added]).collect();
        Some(MembershipChange { voters, outgoing_voters: record.voters.clone() })
    }

    /// The members that are not voters but could be, in the order of their ids.
    fn spare_voters(&self, now: Ms, record: &LeadershipRecord) -> Vec<Voter> {
        let is_spare = |id: &&Id| **id != self.id && !record.is_voter(id) && self.is_usable_backup(now, id);
        let spares = self.members.iter().filter(is_spare);
        spares
            .filter_map(|id| Some(Voter { id: id.clone(), incarnation: self.peer_incarnation(id)? }))
            .collect()
    }

    /// Whether nothing has been heard of the member for too long.
    fn is_silent(&self, now: Ms, id: &str) -> bool {
        let last_heard = self.peers.get(id).map_or(0, |peer| peer.last_heard).max(self.started_at);
        now > last_heard + self.timeouts.replace_after
    }

    fn is_draining(&self, now: Ms, id: &str) -> bool {
        self.is_peer_alive(now, id) && self.peers.get(id).is_some_and(|peer| peer.status.draining)
    }

    fn peer_incarnation(&self, id: &str) -> Option<u64> {
        self.peers.get(id).map(|peer| peer.status.incarnation)
    }

    fn replace_voter(&self, record: &LeadershipRecord, old: &Voter, new: Voter) -> MembershipChange {
        let substitute = |voter: &Voter| if voter == old { new.clone() } else { voter.clone() };
        let mut voters: Vec<Voter> = record.voters.iter().map(substitute).collect();
        if is_injected(InjectedBug::TwoVotersAtOnce) {
            let other = voters.iter().position(|voter| *voter != new && voter.id != self.id);
            other.map(|index| voters.remove(index));
        }
        MembershipChange { voters, outgoing_voters: record.voters.clone() }
    }
}
