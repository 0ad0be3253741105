//! Graceful shutdown: what a node hands over before it exits (leadership transfer, Raft 3.10).
use super::{Core, Role};
use crate::{Id, Ms};

impl Core {
    /// Begins a graceful shutdown: the roles of this node are handed over first.
    pub fn begin_shutdown(&mut self, now: Ms) {
        self.shutdown_began_at.get_or_insert(now);
    }

    /// Whether [`Core::begin_shutdown`] was called.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_began_at.is_some()
    }

    /// Whether the process may exit: the leader knows that it shuts down, and it is neither a replica nor a voter
    /// that is still needed, or all other members are draining as well, or the grace period is over. An isolated node
    /// waits for the end of the grace period: a role that no other node has taken over would be lost with it.
    pub fn may_exit(&self, now: Ms) -> bool {
        let Some(began_at) = self.shutdown_began_at else { return false };
        if now > began_at + self.timeouts.shutdown_grace {
            return true;
        }
        let leader = self.known_leader(now).and_then(|id| self.peers.get(id));
        // The leader must have learnt of the shutdown: it may be about to make this node a voter.
        let is_announced = leader.is_some_and(|leader| leader.last_contact > began_at);
        let mut others = self.members.iter().filter(|id| **id != self.id && self.is_usable_backup(now, id));
        let has_spare = others.any(|id| !self.record.is_voter(id));
        let is_needed = self.record.is_replica(&self.id) || self.is_vote_needed(has_spare);
        // If the whole system shuts down, there is no node to hand a role over to.
        let is_draining =
            |id: &Id| self.is_peer_alive(now, id) && self.peers.get(id).is_some_and(|p| p.status.draining);
        let all_draining = self.members.iter().filter(|id| **id != self.id).all(is_draining);
        self.role == Role::Follower && (!is_needed && is_announced || all_draining && self.campaign.is_none())
    }

    /// Whether the leader can still replace or remove this voter. In a joint configuration, and with an even
    /// number of voters, the others may need its vote until then.
    fn is_vote_needed(&self, has_spare: bool) -> bool {
        let is_joint = !self.record.outgoing_voters.is_empty();
        let is_even = self.record.voters.len().is_multiple_of(2);
        self.record.is_voter(&self.id) && (has_spare || is_joint || is_even)
    }
}
