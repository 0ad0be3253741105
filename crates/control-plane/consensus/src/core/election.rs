//! A campaign for the next term: prepare at a quorum, own disk, backups synced, record accepted.
use super::tracker::*;
use super::*;

impl Core {
    /// Whether this node should campaign now.
    pub(super) fn should_campaign(&self, now: Ms) -> bool {
        let record = &self.record;
        let able = self.disk_healthy
            && !self.needs_snapshot
            && self.has_quorum_contact(now)
            && self.known_leader(now).is_none();
        if !able || !record.may_lead(&self.id, &self.last_durable_term) || now < self.next_campaign_at {
            return false;
        }
        let there = |id: &Id| {
            let peer = self.peers.get(id);
            peer.is_some_and(|p| {
                now < p.last_heard + 2 * self.timeouts.heartbeat_interval
                    && p.status.disk_healthy
                    && !p.status.draining
            })
        };
        let other =
            std::iter::once(&record.leader).chain(&record.backups).any(|id| *id != self.id && there(id));
        // Who leaves hands over where there is anybody to take it.
        if self.shutdown_began_at.is_some() && other {
            return false;
        }
        let place = std::iter::once(&record.leader).chain(&record.backups).position(|id| *id == self.id);
        let place = place.unwrap_or(0);
        let earlier = std::iter::once(&record.leader).chain(&record.backups).take(place).any(there);
        // Who comes first in the record does so where it is there: its leases are its own, it need not wait.
        place == 0 || !earlier || now > self.leader_seen_at + (1 + place as Ms) * self.timeouts.lease
    }

    /// Campaigns for the next term (Raft 5.2); `group`: the voters to change by it.
    pub(super) fn start_campaign(&mut self, now: Ms, group: Option<MembershipChange>, out: &mut Vec<Output>) {
        let high = [
            self.record.term.number,
            self.acceptor.state.promised.number,
            self.highest_term_number,
            self.last_durable_term.number,
        ];
        let term = Term::new(high.into_iter().max().unwrap_or(0) + 1, &self.id);
        let from = match &self.role {
            Role::Leader(record) => Some(record.term.clone()),
            Role::Follower => None,
        };
        let base = match &self.role {
            Role::Leader(record) => record.clone(),
            Role::Follower => self.record.clone(),
        };
        let ids = base.voter_ids();
        self.campaign = Some(Campaign {
            term: term.clone(),
            base_record: base,
            membership_change: group,
            leading_term: from,
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
            let ask = PendingCall::Prepare { to: id.clone(), term: term.clone() };
            self.call_voter(now, &id, ask, VoterRequest::Prepare(term.clone()), out);
        }
    }

    /// A campaign that can no longer reach a quorum ends at once.
    pub(super) fn handle_rejection(
        &mut self,
        now: Ms,
        who: Id,
        term: &Term,
        no: Option<Rejection>,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.term == *term) else { return };
        campaign.rejected_by.insert(who.clone());
        let Some(campaign) = &self.campaign else { return };
        let record = match &campaign.phase {
            CampaignPhase::Accept(record) => record,
            _ => &campaign.base_record,
        };
        // Of the voters without a response, only those that are alive are worth waiting for.
        let may = |w: &Voter| {
            !campaign.rejected_by.contains(&w.id) && (w.id == self.id || self.is_peer_alive(now, &w.id))
        };
        if !record.has_quorum(may) {
            let why = no.map_or("no answer".into(), |no| no.reason);
            self.abandon_campaign(now, &format!("{who}: {why}"), out);
        }
    }

    pub(super) fn handle_prepare_granted(
        &mut self,
        now: Ms,
        who: Voter,
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
        campaign.prepared_by.insert(who);
        if record.term > campaign.base_record.term {
            campaign.base_record = record.clone();
            let more: Vec<Id> =
                record.voter_ids().into_iter().filter(|id| campaign.contacted.insert(id.clone())).collect();
            self.observe_record(now, &record, out);
            for id in more {
                let ask = PendingCall::Prepare { to: id.clone(), term: term.clone() };
                self.call_voter(now, &id, ask, VoterRequest::Prepare(term.clone()), out);
            }
        }
        let Some(campaign) = self
            .campaign
            .as_ref()
            .filter(|campaign| campaign.term == *term && campaign.phase == CampaignPhase::Prepare)
        else {
            return;
        };
        if !campaign.base_record.has_quorum(|w| campaign.prepared_by.contains(w)) {
            return;
        }
        let other = campaign.leading_term.as_ref().is_some_and(|from| *from != campaign.base_record.term);
        if other
            || !campaign.base_record.may_lead(&self.id, &self.last_durable_term)
            || self.last_durable_term > *term
            || self.needs_snapshot
        {
            return self.abandon_campaign(now, "another stands in the record", out);
        }
        // From here on nothing of an earlier term is accepted: the state that goes to the backups is final.
        let base = campaign.base_record.clone();
        let was = (!self.may_hold_uncommitted).then(|| (self.last_durable_term.clone(), self.last_sequence));
        let able = self.backup_candidates(now, &base);
        (self.last_durable_term, self.last_sequence) = (term.clone(), 0);
        let until = now + 2 * self.timeouts.rpc_timeout;
        if let Some(campaign) = self.campaign.as_mut() {
            (campaign.phase, campaign.deadline, campaign.previous_position, campaign.candidates) =
                (CampaignPhase::SyncBackups, until, was, able);
        }
        let state = if self.may_hold_uncommitted { self.state_entries() } else { Vec::new() };
        let own = self.term_metadata();
        self.persist(
            now,
            DiskWrite::CampaignTerm { term: term.clone() },
            WriteBatch { state, replace: self.may_hold_uncommitted, metadata: own },
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
                self.abandon_campaign(now, "nobody to be the backup", out);
            }
            return;
        }
        let to = campaign.candidates.remove(0);
        let was = campaign.previous_position.clone();
        let alike = was.is_some_and(|(epoch, _)| {
            self.peers.get(&to).is_some_and(|p| p.status.last_durable_term == epoch)
        });
        self.sync_backup(&to, !alike, out);
    }

    pub(super) fn sync_backup(&mut self, to: &Id, snapshot: bool, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        campaign.syncing.insert(to.clone());
        let epoch = campaign.term.clone();
        let (kind, puts) = match campaign.previous_position.clone().filter(|_| !snapshot) {
            Some((epoch, seq)) => (ReplicaWriteKind::Probe { term: epoch, sequence: seq }, Vec::new()),
            None => {
                let puts = self.state_entries();
                (ReplicaWriteKind::Snapshot { checksum: snapshot_checksum(&puts) }, puts)
            }
        };
        let snapshot = matches!(kind, ReplicaWriteKind::Snapshot { .. });
        let copy = ReplicaWrite {
            version: REPLICA_WRITE_VERSION,
            term: epoch.clone(),
            sequence: 0,
            kind,
            writes: puts,
        };
        self.send_request(
            PendingCall::SyncBackup { to: to.clone(), term: epoch, snapshot },
            to,
            Request::ReplicaWrite(copy),
            out,
        );
    }

    /// Once the own disk and enough backups are at the term of the campaign, its record is proposed.
    pub(super) fn propose_record_if_synced(&mut self, now: Ms, out: &mut Vec<Output>) {
        let span = self.timeouts.lease;
        let Some(campaign) =
            self.campaign.as_mut().filter(|campaign| campaign.phase == CampaignPhase::SyncBackups)
        else {
            return;
        };
        if !campaign.own_disk_synced || campaign.synced.len() < self.timeouts.max_failures {
            return;
        }
        let group = campaign.membership_change.clone();
        let group = group.unwrap_or(MembershipChange {
            voters: campaign.base_record.voters.clone(),
            outgoing_voters: campaign.base_record.outgoing_voters.clone(),
        });
        let record = LeadershipRecord {
            term: campaign.term.clone(),
            leader: self.id.clone(),
            backups: campaign.synced.clone(),
            voters: group.voters,
            outgoing_voters: group.outgoing_voters,
        };
        campaign.rejected_by.clear();
        (campaign.phase, campaign.deadline) =
            (CampaignPhase::Accept(record.clone()), now + self.timeouts.rpc_timeout);
        for id in record.voter_ids() {
            let ask = PendingCall::Accept { to: id.clone(), term: record.term.clone(), sent_at: now };
            self.call_voter(now, &id, ask, VoterRequest::Accept(record.clone(), span), out);
        }
    }

    /// Once a quorum has accepted the record it is chosen, and this node leads by it.
    pub(super) fn become_leader_if_chosen(&mut self, now: Ms, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        let CampaignPhase::Accept(record) = &campaign.phase else { return };
        if !campaign.leases.hold(record, now) || self.last_durable_term != record.term {
            return;
        }
        let (record, leases, fresh) =
            (record.clone(), campaign.leases.clone(), campaign.leading_term.is_none());
        self.campaign = None;
        self.renewal_sent_at.clear();
        (self.leases, self.next_campaign_at) = (leases, now);
        let joint = if record.outgoing_voters.is_empty() { "" } else { ", the group changes" };
        let names = record.backups.join(", ");
        out.push(Output::Log(format!("Acts in epoch {} with backup {names}{joint}.", record.term.number)));
        self.observe_record(now, &record, out);
        self.role = Role::Leader(record);
        out.push(Output::BecameLeader { newly_elected: fresh });
        self.append_next(now, out);
    }

    pub(super) fn abandon_campaign(&mut self, now: Ms, why: &str, out: &mut Vec<Output>) {
        self.campaign = None;
        out.push(Output::Log(format!("Could not take the next epoch: {why}.")));
        self.step_down(now, out);
        self.next_campaign_at = now + self.jitter(self.timeouts.heartbeat_interval / 2);
    }

    pub(super) fn jitter(&mut self, below: Ms) -> Ms {
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        self.jitter_state % below.max(1)
    }
}
