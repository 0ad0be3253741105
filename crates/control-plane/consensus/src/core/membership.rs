//! Who should be a backup or a voter. Voters change one at a time, through a joint configuration (Raft 6).
use super::tracker::*;
use super::*;

impl Core {
    /// Who may be a backup, best first: whose disk takes writes and who stays; of another zone, which may be lost
    /// whole; named already, as it holds all; a witness.
    pub(super) fn backup_candidates(&self, now: Ms, base: &LeadershipRecord) -> Vec<Id> {
        let fit = |id: &Id| {
            self.is_peer_alive(now, id) && self.peers.get(id).is_some_and(|p| p.status.disk_healthy)
        };
        let mut all: Vec<Id> = self.members.iter().filter(|id| **id != self.id && fit(id)).cloned().collect();
        let beside = |id: &Id| self.peers.get(id).is_some_and(|p| p.status.zone == self.zone);
        let leaves = |id: &Id| self.peers.get(id).is_some_and(|p| p.status.draining);
        let shun = |id: &Id| self.excluded_until.get(id).is_some_and(|until| now < *until);
        all.sort_by_key(|id| {
            (leaves(id), shun(id), beside(id), !base.is_replica(id), !base.is_voter(id), id.clone())
        });
        all
    }

    /// What the acting primary would have otherwise: another backup, another group.
    pub(super) fn wanted_change(&self, now: Ms) -> Option<Option<MembershipChange>> {
        let Role::Leader(record) = &self.role else { return None };
        if !record.outgoing_voters.is_empty() {
            return Some(Some(MembershipChange {
                voters: record.voters.clone(),
                outgoing_voters: Vec::new(),
            }));
        }
        let reborn = |id: &Id| {
            self.peers.get(id).is_some_and(|p| {
                p.status.last_durable_term < record.term && p.status.record.term >= record.term
            })
        };
        let bad = |id: &Id| !self.is_usable_backup(now, id) || reborn(id);
        let able =
            self.backup_candidates(now, record).into_iter().filter(|id| self.is_usable_backup(now, id));
        let able: Vec<Id> =
            able.filter(|id| self.excluded_until.get(id).is_none_or(|until| now >= *until)).collect();
        let lost = record.backups.iter().any(bad) || record.backups.len() < self.spans.max_failures;
        if lost && able.len() >= self.spans.max_failures {
            return Some(None);
        }
        // Of who was heard once it is known; the first witnesses have 0.
        let life = |id: &Id| self.peers.get(id).map(|p| p.status.incarnation);
        let spare = |id: &&Id| {
            **id != self.id && !record.is_voter(id) && self.is_usable_backup(now, id) && life(id).is_some()
        };
        let mut spares = self.members.iter().filter(spare);
        let change = |old: &Voter, new: Voter| {
            let mut witnesses: Vec<Voter> =
                record.voters.iter().map(|w| if w == old { new.clone() } else { w.clone() }).collect();
            if is_injected(InjectedBug::TwoVotersAtOnce) {
                let other = witnesses.iter().position(|w| *w != new && w.id != self.id);
                other.map(|at| witnesses.remove(at));
            }
            Some(Some(MembershipChange { voters: witnesses, outgoing_voters: record.voters.clone() }))
        };
        for w in &record.voters {
            let (now_life, near) = if w.id == self.id {
                (Some(self.life()), true)
            } else {
                (life(&w.id), self.is_peer_alive(now, &w.id))
            };
            if near && now_life.is_some_and(|life| life != w.incarnation) {
                return change(w, Voter { id: w.id.clone(), incarnation: now_life.unwrap_or_default() });
            }
        }
        for w in record.voters.iter().filter(|w| w.id != self.id) {
            let seen = self.peers.get(&w.id).map_or(0, |p| p.last_heard).max(self.started_at);
            let leaves =
                self.peers.get(&w.id).is_some_and(|p| p.status.draining) && self.is_peer_alive(now, &w.id);
            if leaves || now > seen + self.spans.replace_after {
                if let Some(id) = spares.next() {
                    return change(w, Voter { id: id.clone(), incarnation: life(id).unwrap_or_default() });
                }
            }
        }
        // Its own place, before it goes.
        if let (Some(_), Some(own)) = (self.shutdown_began_at, record.voters.iter().find(|w| w.id == self.id))
        {
            if let Some(id) = spares.next() {
                return change(own, Voter { id: id.clone(), incarnation: life(id).unwrap_or_default() });
            }
        }
        let wanted = 2 * self.spans.max_failures + 1;
        if record.voters.len() < wanted {
            let spare: Vec<&Id> = spares.collect();
            if record.voters.len() + spare.len() >= wanted {
                let new = Voter { id: spare[0].clone(), incarnation: life(spare[0]).unwrap_or_default() };
                let witnesses = record.voters.iter().cloned().chain([new]).collect();
                return Some(Some(MembershipChange {
                    voters: witnesses,
                    outgoing_voters: record.voters.clone(),
                }));
            }
        }
        None
    }
}
