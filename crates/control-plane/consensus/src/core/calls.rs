//! Calls to other nodes and what their responses lead to.
use super::tracker::*;
use super::*;

impl Core {
    pub(super) fn send_request(&mut self, ask: PendingCall, to: &Id, call: Request, out: &mut Vec<Output>) {
        let token = self.next_operation_id();
        self.pending_calls.insert(token, ask);
        out.push(Output::Send { operation_id: token, to: to.clone(), call, timeout: self.spans.rpc_timeout });
    }

    /// What came of a call.
    pub fn handle_response(
        &mut self,
        now: Ms,
        token: OperationId,
        say: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        if let Some(ask) = self.pending_calls.remove(&token) {
            self.handle_call_result(now, ask, say, out);
        }
    }

    pub(super) fn handle_call_result(
        &mut self,
        now: Ms,
        ask: PendingCall,
        say: Option<Response>,
        out: &mut Vec<Output>,
    ) {
        let witness = match &say {
            Some(Response::Voter(say)) => Some(say.clone()),
            _ => None,
        };
        let copied = match &say {
            Some(Response::ReplicaWrite(say)) => Some(say.clone()),
            _ => None,
        };
        if let Some(no) = witness.as_ref().and_then(|w| w.rejection.as_ref()) {
            self.highest_term_number = self.highest_term_number.max(no.promised.number);
        }
        let yes = |w: &VoterResponse| w.rejection.is_none();
        match ask {
            PendingCall::Prepare { to, ballot } => {
                let say = witness.unwrap_or_default();
                match say.record.filter(|_| say.rejection.is_none()) {
                    Some(record) => self.handle_prepare_granted(
                        now,
                        Voter { id: to, incarnation: say.incarnation },
                        &ballot,
                        record,
                        out,
                    ),
                    None => self.handle_rejection(now, to, &ballot, say.rejection, out),
                }
            }
            PendingCall::Accept { to, epoch, asked } => {
                let span = self.spans.lease;
                let Some(say) = witness.clone().filter(yes) else {
                    return self.handle_rejection(now, to, &epoch, witness.and_then(|w| w.rejection), out);
                };
                let Some(bid) = self.campaign.as_mut() else { return };
                let CampaignPhase::Accept(record) = &bid.phase else { return };
                if record.term == epoch {
                    bid.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, span);
                    self.become_leader_if_chosen(now, out);
                }
            }
            PendingCall::Renew { to, epoch, asked } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                if let Some(say) = witness.filter(yes).filter(|_| mine) {
                    let asked = if is_injected(InjectedBug::LeaseFromResponse) { now } else { asked };
                    self.leases.add(Voter { id: to, incarnation: say.incarnation }, asked, self.spans.lease);
                }
            }
            PendingCall::SyncBackup { to, epoch, snapshot } => {
                let Some(bid) = self
                    .campaign
                    .as_mut()
                    .filter(|b| b.term == epoch && b.phase == CampaignPhase::SyncBackups)
                else {
                    return;
                };
                bid.syncing.remove(&to);
                match copied {
                    Some(say) if say.accepted => {
                        bid.synced.push(to.clone());
                        // What it says now is newer than its last heartbeat.
                        if let Some(peer) = self.peers.get_mut(&to) {
                            peer.status.incarnation = say.incarnation;
                        }
                        self.propose_record_if_synced(now, out);
                    }
                    Some(_) if !snapshot => self.sync_backup(now, &to, true, out),
                    _ => {
                        self.excluded_until.insert(to, now + 4 * self.spans.lease);
                        self.sync_next_backup(now, out);
                    }
                }
            }
            PendingCall::Append { to, epoch, seq, again } => {
                let mine = matches!(&self.role, Role::Leader(r) if r.term == epoch);
                let Some(flight) = self.in_flight.as_mut().filter(|f| mine && f.sequence == seq) else {
                    return;
                };
                match copied {
                    Some(say) if say.accepted => {
                        flight.unacknowledged.remove(&to);
                        self.commit_if_replicated(now, out);
                    }
                    // No answer: it may have been lost on its way; the number makes it harmless twice.
                    None if !again => {
                        let (puts, kind) = (flight.writes.clone(), ReplicaWriteKind::Append);
                        let copy = ReplicaWrite {
                            version: REPLICA_WRITE_VERSION,
                            term: epoch.clone(),
                            sequence: seq,
                            kind,
                            writes: puts,
                        };
                        self.send_request(
                            PendingCall::Append { to: to.clone(), epoch, seq, again: true },
                            &to,
                            Request::ReplicaWrite(copy),
                            out,
                        );
                    }
                    _ => {
                        self.excluded_until.insert(to.clone(), now + 4 * self.spans.lease);
                        self.fail_append(now, &format!("at {to}"), out);
                    }
                }
            }
            PendingCall::Release => {}
        }
    }

    pub(super) fn next_operation_id(&mut self) -> OperationId {
        self.last_operation_id += 1;
        self.last_operation_id
    }
}
