//! Graceful shutdown: what a node hands over before it exits (leadership transfer, Raft 3.10).
use super::*;

impl Core {
    /// Begins a graceful shutdown: what rests on this node is handed over first.
    pub fn begin_shutdown(&mut self, now: Ms) {
        self.shutdown_began_at.get_or_insert(now);
    }

    /// Whether [`Core::begin_shutdown`] was called.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_began_at.is_some()
    }

    /// Whether the process may end: nothing rests on it, all others end as well, or its time is over. Who hears nobody
    /// waits for them: what it takes along then would be a loss.
    pub fn may_exit(&self, now: Ms) -> bool {
        let Some(since) = self.shutdown_began_at else { return false };
        if now > since + self.timeouts.shutdown_grace {
            return true;
        }
        let led = self.known_leader(now).is_some();
        let mut others = self.members.iter().filter(|id| **id != self.id && self.is_usable_backup(now, id));
        let spare = others.any(|id| !self.record.is_voter(id));
        let stays = self.record.is_replica(&self.id) || self.record.is_voter(&self.id) && spare;
        // All stop at once: nobody stays to whom anything could be handed.
        let gone =
            |id: &Id| self.is_peer_alive(now, id) && self.peers.get(id).is_some_and(|p| p.status.draining);
        let all = self.members.iter().filter(|id| **id != self.id).all(gone);
        self.role == Role::Follower && (!stays && led || all && self.campaign.is_none())
    }
}
