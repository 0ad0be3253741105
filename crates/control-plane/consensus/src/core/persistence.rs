//! Disk writes under way, their results, and the health of the disk.
use super::tracker::*;
use super::*;

impl Core {
    pub(super) fn persist(&mut self, now: Ms, job: DiskWrite, batch: WriteBatch, out: &mut Vec<Output>) {
        let token = self.next_operation_id();
        self.pending_writes.push_back(PendingWrite { token, since: now, job });
        let WriteBatch { state, replace, metadata } = batch;
        out.push(Output::Persist { token, state, replace, metadata });
    }

    /// What came of a write.
    pub fn handle_write_result(&mut self, now: Ms, token: OperationId, ok: bool, out: &mut Vec<Output>) {
        let Some(at) = self.pending_writes.iter().position(|p| p.token == token) else { return };
        let Some(PendingWrite { job, .. }) = self.pending_writes.remove(at) else { return };
        if ok && !self.last_write_succeeded {
            out.push(Output::Log("The disk takes writes again.".into()));
        }
        if !ok && self.last_write_succeeded {
            out.push(Output::Log("The disk does not take a write.".into()));
        }
        self.last_write_succeeded = ok;
        match job {
            DiskWrite::VoterState { to, held, say } => {
                if ok {
                    self.durable_voter_state = Some(*held);
                } else if matches!(to, Err(PendingCall::Release)) {
                    // The first write of all, with the floor: it is made again.
                    self.needs_snapshot = true;
                }
                let no = Rejection { reason: "the disk does not take it".into(), ..Rejection::default() };
                let say = if ok { *say } else { VoterResponse { rejection: Some(no), record: None, ..*say } };
                if !matches!(to, Err(PendingCall::Release)) {
                    self.respond_to_voter_request(now, to, say, out);
                }
            }
            DiskWrite::CampaignTerm { ballot } => {
                let Some(bid) = self.campaign.as_mut().filter(|b| b.term == ballot) else { return };
                if !ok || self.needs_snapshot {
                    return self.abandon_campaign(now, "the disk does not take it", out);
                }
                bid.own_disk_synced = true;
                self.may_hold_uncommitted = false;
                self.propose_record_if_synced(now, out);
            }
            DiskWrite::ReplicaWrite { caller, epoch, seq, snapshot } => {
                let current = self.last_durable_term == epoch;
                // Also of an epoch before: what came after it, without a snapshot, builds upon it.
                if !ok {
                    self.needs_snapshot = true;
                } else if ok && snapshot && current && self.last_sequence == seq {
                    self.needs_snapshot = false;
                }
                let say = ReplicaWriteResponse {
                    accepted: ok && !self.needs_snapshot && current,
                    reason: String::new(),
                    incarnation: self.life(),
                };
                out.push(Output::Respond { request_id: caller, response: Response::ReplicaWrite(say) });
            }
            DiskWrite::Append { epoch, seq } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                match self.in_flight.as_mut().filter(|f| mine && f.sequence == seq) {
                    Some(flight) if ok => {
                        flight.persisted_locally = true;
                        self.commit_if_replicated(now, out);
                    }
                    Some(_) => self.fail_append(now, "here", out),
                    None => {}
                }
            }
            DiskWrite::RewriteState { epoch, seq } => {
                if ok && self.last_durable_term == epoch && self.last_sequence == seq {
                    self.needs_snapshot = false;
                }
            }
            DiskWrite::Metadata => {}
        }
    }

    /// The epoch in which the disk takes part, and the number of its last change there.
    pub(super) fn term_metadata(&self) -> Vec<KeyValue> {
        vec![("floor".into(), json(&self.last_durable_term)), (SEQ.into(), json(&self.last_sequence))]
    }
}
