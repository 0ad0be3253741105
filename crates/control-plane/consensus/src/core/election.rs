//! A campaign for the next term: prepare at a quorum, sync the candidate's disk and the backups, have the
//! record accepted.
use super::tracker::{Campaign, CampaignPhase, DiskWrite, MembershipChange, PendingCall, WriteBatch};
use super::{Core, Role};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::messages::{snapshot_checksum, REPLICA_WRITE_VERSION};
use crate::{
    Id, LeadershipRecord, LeaseGrants, Ms, Output, Rejection, ReplicaWrite, ReplicaWriteKind, Request, Term,
    Voter, VoterAnswer, VoterRequest,
};
use std::collections::BTreeSet;

/// A replica counts as ready if it was heard from within this many heartbeat intervals.
const READY_HEARTBEATS: Ms = 2;
/// The sync phase may take this many RPC timeouts: a probe that is rejected is followed by a snapshot.
const SYNC_RPC_TIMEOUTS: Ms = 2;

impl Core {
    /// Whether this node should campaign now.
    pub(super) fn should_campaign(&self, now: Ms) -> bool {
        let record = &self.record;
        let is_electable = self.disk_healthy
            && !self.needs_snapshot
            && self.has_quorum_contact(now)
            && self.known_leader(now).is_none();
        if !is_electable || !record.may_lead(&self.id, &self.last_durable_term) || now < self.next_campaign_at
        {
            return false;
        }
        let is_ready = |id: &Id| {
            let peer = self.peers.get(id);
            peer.is_some_and(|p| {
                now < p.last_heard + READY_HEARTBEATS * self.timeouts.heartbeat_interval
                    && p.status.disk_healthy
                    && !p.status.draining
                    && !self.has_lost_replica(id, record)
            })
        };
        let another_is_ready =
            std::iter::once(&record.leader).chain(&record.backups).any(|id| *id != self.id && is_ready(id));
        // A node that is shutting down leaves the campaign to another replica, if one is ready.
        if self.shutdown_began_at.is_some() && another_is_ready {
            return false;
        }
        let rank = std::iter::once(&record.leader).chain(&record.backups).position(|id| *id == self.id);
        let rank = rank.unwrap_or(0);
        let earlier_is_ready =
            std::iter::once(&record.leader).chain(&record.backups).take(rank).any(is_ready);
        // The first ready replica in the order of the record need not wait: if it was the leader, a lease
        // that still runs is its own. Each replica after it waits for one more lease, so that candidates do
        // not collide.
        rank == 0 || !earlier_is_ready || now > self.leader_seen_at + (1 + rank as Ms) * self.timeouts.lease
    }

    /// Starts a campaign for the next term (Raft 5.2). `membership_change` holds the voters to propose, if
    /// they change.
    pub(super) fn start_campaign(
        &mut self,
        now: Ms,
        membership_change: Option<MembershipChange>,
        out: &mut Vec<Output>,
    ) {
        let known_terms = [
            self.record.term.number,
            self.acceptor.state.promised.number,
            self.highest_term_number,
            self.last_durable_term.number,
        ];
        let term = Term::new(known_terms.into_iter().max().unwrap_or(0) + 1, &self.id);
        let leading_term = match &self.role {
            Role::Leader(record) => Some(record.term.clone()),
            Role::Follower => None,
        };
        let base_record = match &self.role {
            Role::Leader(record) => record.clone(),
            Role::Follower => self.record.clone(),
        };
        let ids = base_record.voter_ids();
        self.campaign = Some(Campaign {
            term: term.clone(),
            base_record,
            membership_change,
            leading_term,
            phase: CampaignPhase::Prepare,
            deadline: now + self.timeouts.rpc_timeout,
            contacted: ids.iter().cloned().collect(),
            prepared_by: BTreeSet::new(),
            rejected_by: BTreeSet::new(),
            own_disk_synced: false,
            previous_position: None,
            candidates: Vec::new(),
            syncing: BTreeSet::new(),
            synced: Vec::new(),
            leases: LeaseGrants::default(),
        });
        for id in ids {
            let pending = PendingCall::Prepare { to: id.clone(), term: term.clone() };
            self.call_voter(now, &id, pending, VoterRequest::Prepare(term.clone()), out);
        }
    }

    /// Handles a rejection or a missing response. A campaign that can no longer reach a quorum ends at once.
    pub(super) fn handle_rejection(
        &mut self,
        now: Ms,
        voter_id: Id,
        term: &Term,
        rejection: Option<Rejection>,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.term == *term) else { return };
        campaign.rejected_by.insert(voter_id.clone());
        let Some(campaign) = &self.campaign else { return };
        let record = match &campaign.phase {
            CampaignPhase::Accept(record) => record,
            _ => &campaign.base_record,
        };
        // Of the voters without a response, only those that are alive are worth waiting for.
        let best_answer = |voter: &Voter| {
            let may_still_grant = !campaign.rejected_by.contains(&voter.id)
                && (voter.id == self.id || self.is_peer_alive(now, &voter.id));
            if may_still_grant {
                VoterAnswer::Granted
            } else {
                VoterAnswer::Missing
            }
        };
        if !record.has_quorum(best_answer) {
            let reason = rejection.map_or("no response".into(), |rejection| rejection.reason);
            self.abandon_campaign(now, &format!("voter {voter_id}: {reason}"), out);
        }
    }

    pub(super) fn handle_prepare_granted(
        &mut self,
        now: Ms,
        voter: Voter,
        term: &Term,
        record: LeadershipRecord,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self
            .campaign
            .as_mut()
            .filter(|campaign| campaign.term == *term && campaign.phase == CampaignPhase::Prepare)
        else {
            return;
        };
        let is_ignored = is_injected(InjectedBug::UnknownDiskRecordIgnored)
            && !campaign.base_record.voters.contains(&voter);
        campaign.prepared_by.insert(voter);
        // The record of a disk that is no voter of the base record counts as well: the disk of this node may be
        // the one that was replaced, in a record that it never saw.
        if record.term > campaign.base_record.term && !is_ignored {
            campaign.base_record = record.clone();
            let new_voters: Vec<Id> =
                record.voter_ids().into_iter().filter(|id| campaign.contacted.insert(id.clone())).collect();
            self.observe_record(now, &record, out);
            for id in new_voters {
                let pending = PendingCall::Prepare { to: id.clone(), term: term.clone() };
                self.call_voter(now, &id, pending, VoterRequest::Prepare(term.clone()), out);
            }
        }
        let Some(campaign) = self
            .campaign
            .as_ref()
            .filter(|campaign| campaign.term == *term && campaign.phase == CampaignPhase::Prepare)
        else {
            return;
        };
        let prepared_by = || campaign.prepared_by.iter();
        if !campaign.base_record.has_quorum(|voter| VoterAnswer::find(voter, prepared_by())) {
            return;
        }
        let was_superseded = campaign
            .leading_term
            .as_ref()
            .is_some_and(|leading_term| *leading_term != campaign.base_record.term);
        if was_superseded
            || !campaign.base_record.may_lead(&self.id, &self.last_durable_term)
            || self.last_durable_term > *term
            || self.needs_snapshot
        {
            return self.abandon_campaign(now, "this node is no longer eligible to lead", out);
        }
        self.start_sync_phase(now, term, out);
    }

    /// The sync phase of a campaign: the term of the campaign is written to the candidate's disk and to the
    /// backups.
    fn start_sync_phase(&mut self, now: Ms, term: &Term, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        // From here on this node accepts no write of an earlier term, so the state that it sends to backups
        // is final.
        let base_record = campaign.base_record.clone();
        let position =
            (!self.may_hold_uncommitted).then(|| (self.last_durable_term.clone(), self.last_sequence));
        let candidates = self.backup_candidates(now, &base_record);
        (self.last_durable_term, self.last_sequence) = (term.clone(), 0);
        let deadline = now + SYNC_RPC_TIMEOUTS * self.timeouts.rpc_timeout;
        if let Some(campaign) = self.campaign.as_mut() {
            (campaign.phase, campaign.deadline, campaign.previous_position, campaign.candidates) =
                (CampaignPhase::SyncBackups, deadline, position, candidates);
        }
        let state = if self.may_hold_uncommitted { self.state_entries() } else { Vec::new() };
        let metadata = self.term_metadata();
        self.persist(
            now,
            DiskWrite::CampaignTerm { term: term.clone() },
            WriteBatch { state, replace: self.may_hold_uncommitted, metadata },
            out,
        );
        for _ in 0..self.timeouts.max_failures {
            self.sync_next_backup(now, out);
        }
        self.propose_record_if_synced(now, out);
    }

    pub(super) fn sync_next_backup(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Some(campaign) =
            self.campaign.as_mut().filter(|campaign| campaign.phase == CampaignPhase::SyncBackups)
        else {
            return;
        };
        if campaign.candidates.is_empty() {
            if campaign.syncing.len() + campaign.synced.len() < self.timeouts.max_failures {
                self.abandon_campaign(now, "not enough usable backups", out);
            }
            return;
        }
        let to = campaign.candidates.remove(0);
        let position = campaign.previous_position.clone();
        let holds_same = position
            .is_some_and(|(term, _)| self.peers.get(&to).is_some_and(|p| p.status.last_durable_term == term));
        self.sync_backup(&to, !holds_same, out);
    }

    pub(super) fn sync_backup(&mut self, to: &Id, snapshot: bool, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        campaign.syncing.insert(to.clone());
        let term = campaign.term.clone();
        let (kind, writes) = match campaign.previous_position.clone().filter(|_| !snapshot) {
            Some((term, sequence)) => (ReplicaWriteKind::Probe { term, sequence }, Vec::new()),
            None => {
                let writes = self.state_entries();
                (ReplicaWriteKind::Snapshot { checksum: snapshot_checksum(&writes) }, writes)
            }
        };
        let snapshot = matches!(kind, ReplicaWriteKind::Snapshot { .. });
        let write =
            ReplicaWrite { version: REPLICA_WRITE_VERSION, term: term.clone(), sequence: 0, kind, writes };
        self.send_request(
            PendingCall::SyncBackup { to: to.clone(), term, snapshot },
            to,
            Request::ReplicaWrite(write),
            out,
        );
    }

    /// Proposes the record of the campaign once the candidate's disk and enough backups are at its term.
    pub(super) fn propose_record_if_synced(&mut self, now: Ms, out: &mut Vec<Output>) {
        let lease = self.timeouts.lease;
        let Some(campaign) =
            self.campaign.as_mut().filter(|campaign| campaign.phase == CampaignPhase::SyncBackups)
        else {
            return;
        };
        if !campaign.own_disk_synced || campaign.synced.len() < self.timeouts.max_failures {
            return;
        }
        let change = campaign.membership_change.clone();
        let change = change.unwrap_or(MembershipChange {
            voters: campaign.base_record.voters.clone(),
            outgoing_voters: campaign.base_record.outgoing_voters.clone(),
        });
        let record = LeadershipRecord {
            term: campaign.term.clone(),
            leader: self.id.clone(),
            backups: campaign.synced.clone(),
            voters: change.voters,
            outgoing_voters: change.outgoing_voters,
        };
        campaign.rejected_by.clear();
        (campaign.phase, campaign.deadline) =
            (CampaignPhase::Accept(record.clone()), now + self.timeouts.rpc_timeout);
        for id in record.voter_ids() {
            let pending = PendingCall::Accept { to: id.clone(), term: record.term.clone(), sent_at: now };
            self.call_voter(now, &id, pending, VoterRequest::Accept(record.clone(), lease), out);
        }
    }

    /// Makes this node the leader once a quorum has accepted its record, which is then chosen.
    pub(super) fn become_leader_if_chosen(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        let CampaignPhase::Accept(record) = &campaign.phase else { return };
        if !campaign.leases.is_held(record, now) || self.last_durable_term != record.term {
            return;
        }
        let (record, leases, newly_elected) =
            (record.clone(), campaign.leases.clone(), campaign.leading_term.is_none());
        self.campaign = None;
        self.renewal_sent_at.clear();
        (self.leases, self.next_campaign_at) = (leases, now);
        let joint_note = if record.outgoing_voters.is_empty() { "" } else { ", in a joint configuration" };
        let backups = record.backups.join(", ");
        out.push(Output::Log(format!(
            "Leads in term {} with backups {backups}{joint_note}.",
            record.term.number
        )));
        self.observe_record(now, &record, out);
        self.role = Role::Leader(record);
        out.push(Output::BecameLeader { newly_elected });
        self.append_next(now, out);
    }

    pub(super) fn abandon_campaign(&mut self, now: Ms, reason: &str, out: &mut Vec<Output>) {
        self.campaign = None;
        out.push(Output::Log(format!("Campaign for the next term failed: {reason}.")));
        self.step_down(now, out);
        self.next_campaign_at = now + self.jitter(self.timeouts.heartbeat_interval / 2);
    }

    /// A pseudo-random duration of less than `below` ms (xorshift64).
    pub(super) fn jitter(&mut self, below: Ms) -> Ms {
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        self.jitter_state % below.max(1)
    }
}
