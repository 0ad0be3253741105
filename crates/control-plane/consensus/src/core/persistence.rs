//! Pending disk writes, their results, and the health of the disk. Writes are synced in the order of their
//! outputs.
use super::tracker::{DiskWrite, PendingCall, PendingWrite, WriteBatch};
use super::{json, metadata_keys, Core, LAST_SEQUENCE_KEY};
use crate::{
    KeyValue, Ms, OperationId, Output, Rejection, ReplicaWriteResponse, RequestId, Response, Term,
    VoterResponse, VoterState,
};

impl Core {
    /// Emits the write of a batch; `write` says how its result is handled.
    pub(super) fn persist(&mut self, now: Ms, write: DiskWrite, batch: WriteBatch, out: &mut Vec<Output>) {
        let operation_id = self.next_operation_id();
        self.pending_writes.push_back(PendingWrite { operation_id, started_at: now, write });
        let WriteBatch { state, replace, metadata } = batch;
        out.push(Output::Persist { operation_id, state, replace, metadata });
    }

    /// Handles the result of a disk write; `ok` means that it is synced.
    pub fn handle_write_result(
        &mut self,
        now: Ms,
        operation_id: OperationId,
        ok: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(index) = self.pending_writes.iter().position(|pending| pending.operation_id == operation_id)
        else {
            return;
        };
        let Some(PendingWrite { write, .. }) = self.pending_writes.remove(index) else { return };
        if ok && !self.last_write_succeeded {
            out.push(Output::Log("The disk accepts writes again.".into()));
        }
        if !ok && self.last_write_succeeded {
            out.push(Output::Log("A disk write failed.".into()));
        }
        self.last_write_succeeded = ok;
        match write {
            DiskWrite::VoterState { to, voter_state, response } => {
                self.handle_voter_state_written(now, ok, to, *voter_state, *response, out);
            }
            DiskWrite::CampaignTerm { term } => self.handle_campaign_term_written(now, ok, &term, out),
            DiskWrite::ReplicaWrite { request_id, term, sequence, snapshot } => {
                self.handle_replica_write_written(ok, request_id, &term, sequence, snapshot, out);
            }
            DiskWrite::Append { term, sequence } => self.handle_append_written(now, ok, &term, sequence, out),
            DiskWrite::RewriteState { term, sequence } => {
                if ok && self.last_durable_term == term && self.last_sequence == sequence {
                    self.needs_snapshot = false;
                }
            }
            DiskWrite::Metadata => {}
        }
    }

    fn handle_voter_state_written(
        &mut self,
        now: Ms,
        ok: bool,
        to: Result<RequestId, PendingCall>,
        voter_state: VoterState,
        response: VoterResponse,
        out: &mut Vec<Output>,
    ) {
        // The first write of an empty disk belongs to no request, so there is no response to send.
        let is_first_write = matches!(to, Err(PendingCall::Release));
        if ok {
            self.durable_voter_state = Some(voter_state);
        } else if is_first_write {
            // That write also contained the term of this disk, so everything must be written again.
            self.needs_snapshot = true;
        }
        if is_first_write {
            return;
        }
        let rejection = Rejection { reason: "the disk does not take it".into(), ..Rejection::default() };
        let response = if ok {
            response
        } else {
            VoterResponse { rejection: Some(rejection), record: None, ..response }
        };
        self.respond_to_voter_request(now, to, response, out);
    }

    fn handle_campaign_term_written(&mut self, now: Ms, ok: bool, term: &Term, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.term == *term) else {
            return;
        };
        if !ok || self.needs_snapshot {
            return self.abandon_campaign(now, "a write to the local disk failed", out);
        }
        campaign.own_disk_synced = true;
        self.may_hold_uncommitted = false;
        self.propose_record_if_synced(now, out);
    }

    /// A backup responds to its leader once the write is on the disk.
    fn handle_replica_write_written(
        &mut self,
        ok: bool,
        request_id: RequestId,
        term: &Term,
        sequence: u64,
        snapshot: bool,
        out: &mut Vec<Output>,
    ) {
        let is_current = self.last_durable_term == *term;
        // A failed write of an earlier term counts as well: later writes, except for snapshots, build on it.
        if !ok {
            self.needs_snapshot = true;
        } else if snapshot && is_current && self.last_sequence == sequence {
            self.needs_snapshot = false;
        }
        let response = ReplicaWriteResponse {
            accepted: ok && !self.needs_snapshot && is_current,
            reason: String::new(),
            incarnation: self.incarnation(),
        };
        out.push(Output::Respond { request_id, response: Response::ReplicaWrite(response) });
    }

    fn handle_append_written(
        &mut self,
        now: Ms,
        ok: bool,
        term: &Term,
        sequence: u64,
        out: &mut Vec<Output>,
    ) {
        let leads = self.leads_in(term);
        let Some(append) = self.in_flight.as_mut().filter(|append| leads && append.sequence == sequence)
        else {
            return;
        };
        if !ok {
            return self.fail_append(now, "a write to the local disk failed", out);
        }
        append.persisted_locally = true;
        self.commit_if_replicated(now, out);
    }

    /// The term in which this disk takes part, and the sequence number of its last change there.
    pub(super) fn term_metadata(&self) -> Vec<KeyValue> {
        vec![
            (metadata_keys::LAST_DURABLE_TERM.into(), json(&self.last_durable_term)),
            (LAST_SEQUENCE_KEY.into(), json(&self.last_sequence)),
        ]
    }
}
