//! The voter of this node: requests to its acceptor, answered only after the disk has its new state (Paxos).
use super::tracker::*;
use super::*;

impl Core {
    /// What changes the acceptor is on the disk before it is answered.
    pub(super) fn handle_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        call: VoterRequest,
        out: &mut Vec<Output>,
    ) {
        let outcome = match &call {
            VoterRequest::Prepare(ballot) => self.acceptor.prepare(now, ballot).map(Some),
            VoterRequest::Accept(record, span) | VoterRequest::Renew(record, span) => {
                self.acceptor.accept(now, record, *span).map(|()| None)
            }
            VoterRequest::Release(epoch) => {
                self.acceptor.release(epoch);
                Ok(None)
            }
        };
        let life = self.incarnation();
        let say = match outcome {
            Ok(record) => VoterResponse { incarnation: life, record, rejection: None },
            Err(no) => VoterResponse { incarnation: life, record: None, rejection: Some(no) },
        };
        if say.rejection.is_none() {
            if let VoterRequest::Accept(record, _) | VoterRequest::Renew(record, _) = &call {
                let older = matches!(&self.role, Role::Leader(r) if r.term < record.term);
                if older && record.leader != self.id {
                    self.step_down(now, out);
                }
                self.observe_record(now, record, out);
            }
            // A write that failed or waits still: what is answered must be on the disk all the same.
            if self.durable_voter_state.as_ref() != Some(&self.acceptor.state) {
                let held = self.acceptor.state.clone();
                let own = vec![("witness".to_string(), json(&held))];
                return self.persist(
                    now,
                    DiskWrite::VoterState { to, voter_state: Box::new(held), response: Box::new(say) },
                    WriteBatch::metadata(own),
                    out,
                );
            }
        }
        self.respond_to_voter_request(now, to, say, out);
    }

    pub(super) fn respond_to_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        say: VoterResponse,
        out: &mut Vec<Output>,
    ) {
        match to {
            Ok(caller) => out.push(Output::Respond { request_id: caller, response: Response::Voter(say) }),
            Err(ask) => self.handle_call_result(now, ask, Some(Response::Voter(say)), out),
        }
    }

    pub(super) fn call_voter(
        &mut self,
        now: Ms,
        to: &Id,
        ask: PendingCall,
        call: VoterRequest,
        out: &mut Vec<Output>,
    ) {
        if *to == self.id {
            self.handle_voter_request(now, Err(ask), call, out);
        } else {
            self.send_request(ask, to, Request::Voter(call), out);
        }
    }
}
