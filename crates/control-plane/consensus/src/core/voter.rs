//! The voter of this node: requests to its acceptor, answered only once its new state is on the disk (Paxos).
use super::tracker::{DiskWrite, PendingCall, WriteBatch};
use super::{json, metadata_keys, Core, Role};
use crate::{Id, Ms, Output, Request, RequestId, Response, VoterRequest, VoterResponse};

impl Core {
    /// Handles a request to the acceptor; a change of its state is written to the disk before the response is
    /// sent.
    pub(super) fn handle_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        request: VoterRequest,
        out: &mut Vec<Output>,
    ) {
        let outcome = match &request {
            VoterRequest::Prepare(term) => self.acceptor.prepare(now, term).map(Some),
            VoterRequest::Accept(record, lease) | VoterRequest::Renew(record, lease) => {
                self.acceptor.accept(now, record, *lease).map(|()| None)
            }
            VoterRequest::Release(term) => {
                self.acceptor.release(term);
                Ok(None)
            }
        };
        let incarnation = self.incarnation();
        let response = match outcome {
            Ok(record) => VoterResponse { incarnation, record, rejection: None },
            Err(rejection) => VoterResponse { incarnation, record: None, rejection: Some(rejection) },
        };
        if response.rejection.is_none() {
            if let VoterRequest::Accept(record, _) | VoterRequest::Renew(record, _) = &request {
                let is_superseded = matches!(&self.role, Role::Leader(r) if r.term < record.term);
                if is_superseded && record.leader != self.id {
                    self.step_down(now, out);
                }
                self.observe_record(now, record, out);
            }
            // The state is also written if this request did not change it: an earlier write may have failed
            // or may still be pending, and a response must not reveal a state that is not on the disk.
            if self.durable_voter_state.as_ref() != Some(&self.acceptor.state) {
                let voter_state = self.acceptor.state.clone();
                let metadata = vec![(metadata_keys::VOTER_STATE.to_string(), json(&voter_state))];
                return self.persist(
                    now,
                    DiskWrite::VoterState {
                        to,
                        voter_state: Box::new(voter_state),
                        response: Box::new(response),
                    },
                    WriteBatch::metadata(metadata),
                    out,
                );
            }
        }
        self.respond_to_voter_request(now, to, response, out);
    }

    pub(super) fn respond_to_voter_request(
        &mut self,
        now: Ms,
        to: Result<RequestId, PendingCall>,
        response: VoterResponse,
        out: &mut Vec<Output>,
    ) {
        match to {
            Ok(request_id) => out.push(Output::Respond { request_id, response: Response::Voter(response) }),
            Err(pending) => self.handle_call_result(now, pending, Some(Response::Voter(response)), out),
        }
    }

    pub(super) fn call_voter(
        &mut self,
        now: Ms,
        to: &Id,
        pending: PendingCall,
        request: VoterRequest,
        out: &mut Vec<Output>,
    ) {
        if *to == self.id {
            self.handle_voter_request(now, Err(pending), request, out);
        } else {
            self.send_request(pending, to, Request::Voter(request), out);
        }
    }
}
