//! The leader lease (Raft 6.4.1): renewal, loss, and release at a leadership transfer.
use super::tracker::{PendingCall, Reconfiguration};
use super::{Core, Role};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{Ms, Output, VoterRequest};

impl Core {
    /// Whether this node is the leader and a quorum of its voters still grants the lease (Raft 6.4.1).
    pub fn holds_leader_lease(&self, now: Ms) -> bool {
        let holds = |record| self.leases.is_held(record, now) || is_injected(InjectedBug::NoLease);
        matches!(&self.role, Role::Leader(record) if holds(record))
    }

    pub(super) fn tick_leader(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Role::Leader(record) = self.role.clone() else { return };
        if !self.disk_healthy || self.campaign.is_none() && !self.holds_leader_lease(now) {
            out.push(Output::Log("Steps down: the lease has expired or the disk is unhealthy.".into()));
            return self.step_down(now, out);
        }
        self.leader_seen_at = now;
        if self.campaign.is_some() {
            return;
        }
        for id in record.voter_ids() {
            if now >= self.renewal_sent_at.get(&id).copied().unwrap_or(0) + self.timeouts.heartbeat_interval {
                self.renewal_sent_at.insert(id.clone(), now);
                let pending = PendingCall::Renew { to: id.clone(), term: record.term.clone(), sent_at: now };
                self.call_voter(
                    now,
                    &id,
                    pending,
                    VoterRequest::Renew(record.clone(), self.timeouts.lease),
                    out,
                );
            }
        }
        if self.in_flight.is_some() || !matches!(self.role, Role::Leader(_)) {
            return;
        }
        if self.start_wanted_change(now, out) {
            return;
        }
        if self.shutdown_began_at.is_some()
            && self.proposals.is_empty()
            && record.backups.iter().any(|id| self.is_usable_backup(now, id))
        {
            out.push(Output::Log("Steps down to hand over the leadership before shutdown.".into()));
            self.step_down(now, out);
            for id in record.voter_ids() {
                self.call_voter(
                    now,
                    &id,
                    PendingCall::Release,
                    VoterRequest::Release(record.term.clone()),
                    out,
                );
            }
            return;
        }
        self.append_next(now, out);
    }

    /// Starts the campaign for a change of backups or voters that the leader wants, if any; no append may be in
    /// flight. Returns whether it has started one.
    pub(super) fn start_wanted_change(&mut self, now: Ms, out: &mut Vec<Output>) -> bool {
        if self.campaign.is_some() || now < self.next_campaign_at {
            return false;
        }
        let Some(change) = self.wanted_change(now) else { return false };
        let membership_change = match change {
            Reconfiguration::Backups => None,
            Reconfiguration::Voters(change) => Some(change),
        };
        self.start_campaign(now, membership_change, out);
        true
    }

    pub(super) fn step_down(&mut self, now: Ms, out: &mut Vec<Output>) {
        if self.role == Role::Follower {
            return;
        }
        self.role = Role::Follower;
        self.leases.clear();
        self.renewal_sent_at.clear();
        if self.campaign.as_ref().is_some_and(|campaign| campaign.leading_term.is_some()) {
            self.campaign = None;
        }
        let mut failed: Vec<u64> = Vec::new();
        if let Some(append) = self.in_flight.take() {
            // The append may already be on this disk, and on those of backups.
            self.may_hold_uncommitted = true;
            failed.extend(append.changes.iter().map(|change| change.ticket));
        }
        failed.extend(self.proposals.drain(..).map(|change| change.ticket));
        self.next_campaign_at = self.next_campaign_at.max(now);
        out.push(Output::SteppedDown);
        if !failed.is_empty() {
            out.push(Output::Failed(failed));
        }
    }
}
