//! Calls to other nodes, and the handling of their results. Each call has exactly one result; it is `None` if
//! there is no response within the timeout.
use super::tracker::{Campaign, CampaignPhase, PendingCall};
use super::{Core, Role};
use crate::injected_bugs::{is_injected, InjectedBug};
use crate::{
    Id, Ms, OperationId, Output, ReplicaWriteResponse, Request, Response, Term, Voter, VoterResponse,
};

/// For this many lease durations, a replica that failed a write is avoided as a backup.
const EXCLUSION_LEASES: Ms = 4;

impl Core {
    /// Sends a request to another node; `pending` records how its result is handled.
    pub(super) fn send_request(
        &mut self,
        pending: PendingCall,
        to: &Id,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        let operation_id = self.next_operation_id();
        self.pending_calls.insert(operation_id, pending);
        let timeout = self.timeouts.rpc_timeout;
        out.push(Output::Send { operation_id, to: to.clone(), request, timeout });
    }

    /// Handles the result of a call: its response, or `None` after a timeout or a failed connection.
    pub fn handle_response(
        &mut self,
        now: Ms,
        operation_id: OperationId,
        response: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        if let Some(pending) = self.pending_calls.remove(&operation_id) {
            self.handle_call_result(now, pending, response, out);
        }
    }

    pub(super) fn handle_call_result(
        &mut self,
        now: Ms,
        pending: PendingCall,
        response: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        let (voter_response, replica_response) = match response {
            Some(Response::Voter(response)) => (Some(response), None),
            Some(Response::ReplicaWrite(response)) => (None, Some(response)),
            None => (None, None),
        };
        if let Some(rejection) = voter_response.as_ref().and_then(|response| response.rejection.as_ref()) {
            self.highest_term_number = self.highest_term_number.max(rejection.promised.number);
        }
        match pending {
            PendingCall::Prepare { to, term } => {
                self.handle_prepare_result(now, to, &term, voter_response.unwrap_or_default(), out);
            }
            PendingCall::Accept { to, term, sent_at } => {
                self.handle_accept_result(now, to, &term, sent_at, voter_response, out);
            }
            PendingCall::Renew { to, term, sent_at } => {
                self.handle_renew_result(now, to, &term, sent_at, voter_response);
            }
            PendingCall::SyncBackup { to, term, snapshot } => {
                self.handle_sync_result(now, to, &term, snapshot, replica_response, out);
            }
            PendingCall::Append { to, term, sequence, is_retry } => {
                self.handle_append_result(now, to, term, sequence, is_retry, replica_response, out);
            }
            PendingCall::Release => {}
        }
    }

    fn handle_prepare_result(
        &mut self,
        now: Ms,
        to: Id,
        term: &Term,
        response: VoterResponse,
        out: &mut Vec<Output>,
    ) {
        match response.record.filter(|_| response.rejection.is_none()) {
            Some(record) => {
                let voter = Voter { id: to, incarnation: response.incarnation };
                self.handle_prepare_granted(now, voter, term, record, out);
            }
            None => self.handle_rejection(now, to, term, response.rejection, out),
        }
    }

    fn handle_accept_result(
        &mut self,
        now: Ms,
        to: Id,
        term: &Term,
        sent_at: Ms,
        response: Option<VoterResponse>,
        out: &mut Vec<Output>,
    ) {
        let response = match response {
            Some(response) if response.rejection.is_none() => response,
            other => {
                let rejection = other.and_then(|response| response.rejection);
                return self.handle_rejection(now, to, term, rejection, out);
            }
        };
        let lease = self.timeouts.lease;
        let Some(campaign) = self.campaign.as_mut() else { return };
        let CampaignPhase::Accept(record) = &campaign.phase else { return };
        if record.term == *term {
            let voter = Voter { id: to, incarnation: response.incarnation };
            campaign.leases.add(voter, sent_at, lease);
            self.become_leader_if_chosen(now, out);
        }
    }

    /// The lease is counted from when the request was sent: the voter granted it at that time or later.
    fn handle_renew_result(
        &mut self,
        now: Ms,
        to: Id,
        term: &Term,
        sent_at: Ms,
        response: Option<VoterResponse>,
    ) {
        let Some(response) = response.filter(|response| response.rejection.is_none()) else { return };
        if self.leads_in(term) {
            let start = if is_injected(InjectedBug::LeaseFromResponse) { now } else { sent_at };
            let voter = Voter { id: to, incarnation: response.incarnation };
            self.leases.add(voter, start, self.timeouts.lease);
        }
    }

    fn handle_sync_result(
        &mut self,
        now: Ms,
        to: Id,
        term: &Term,
        snapshot: bool,
        response: Option<ReplicaWriteResponse>,
        out: &mut Vec<Output>,
    ) {
        let in_sync_phase =
            |campaign: &&mut Campaign| campaign.term == *term && campaign.phase == CampaignPhase::SyncBackups;
        let Some(campaign) = self.campaign.as_mut().filter(in_sync_phase) else { return };
        campaign.syncing.remove(&to);
        match response {
            Some(response) if response.accepted => {
                campaign.synced.push(to.clone());
                // The response is newer than the peer's last heartbeat.
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.status.incarnation = response.incarnation;
                }
                self.propose_record_if_synced(now, out);
            }
            Some(_) if !snapshot => self.sync_backup(&to, true, out),
            _ => {
                self.exclude_temporarily(now, to);
                self.sync_next_backup(now, out);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one pending call and its response")]
    fn handle_append_result(
        &mut self,
        now: Ms,
        to: Id,
        term: Term,
        sequence: u64,
        is_retry: bool,
        response: Option<ReplicaWriteResponse>,
        out: &mut Vec<Output>,
    ) {
        let leads = self.leads_in(&term);
        let Some(append) = self.in_flight.as_mut().filter(|append| leads && append.sequence == sequence)
        else {
            return;
        };
        match response {
            Some(response) if response.accepted => {
                append.unacknowledged.remove(&to);
                self.commit_if_replicated(now, out);
            }
            // The request or its response may be lost. One retry is safe: the sequence number makes it
            // idempotent.
            None if !is_retry => {
                let writes = append.writes.clone();
                self.send_append(&to, term, sequence, writes, true, out);
            }
            _ => {
                self.exclude_temporarily(now, to.clone());
                self.fail_append(now, &format!("the write at backup {to} failed"), out);
            }
        }
    }

    pub(super) fn leads_in(&self, term: &Term) -> bool {
        matches!(&self.role, Role::Leader(record) if record.term == *term)
    }

    fn exclude_temporarily(&mut self, now: Ms, replica: Id) {
        self.excluded_until.insert(replica, now + EXCLUSION_LEASES * self.timeouts.lease);
    }

    pub(super) fn next_operation_id(&mut self) -> OperationId {
        self.last_operation_id += 1;
        self.last_operation_id
    }
}
