//! An attempt after admission: it is recorded at a quorum of the replicas and sent, and its outcome is reported.
use super::session::{AttemptPhase, ReplicaIncarnation};
use super::SessionOwner;
use crate::ids::{Ms, NodeId, RequestId};
use crate::messages::Message;
use crate::record::{
    AttemptId, EntryState, FencingToken, IdempotencyEntry, Outcome, SessionId, SessionRecord,
};
use crate::request::Output;
use crate::settings::{AffinitySettings, InjectedBug};

impl SessionOwner {
    /// Writes to the replicas that promised this owner's token; the others may have promised another owner's since.
    pub(super) fn write(&self, id: SessionId, entries: Vec<IdempotencyEntry>) -> Vec<Output> {
        let Some(session) = self.sessions.get(&id) else { return vec![] };
        let record = SessionRecord {
            endpoints: session.record.endpoints.clone(),
            endpoints_version: session.record.endpoints_version,
            entries,
        };
        let write = |&ReplicaIncarnation { replica, incarnation }: &ReplicaIncarnation| Output::Send {
            to: replica,
            msg: Message::Write {
                id,
                fencing_token: session.fencing_token,
                incarnation,
                record: record.clone(),
            },
        };
        session.promises.iter().map(write).collect()
    }

    /// Records that this endpoint has served a request of the session, so that it also gets the following ones.
    pub(crate) fn set_endpoint(&mut self, id: SessionId, service: &str, endpoint: &str) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| !session.superseded) else {
            return vec![];
        };
        match session.record.endpoints.iter_mut().find(|(name, _)| name == service) {
            Some((_, present)) if present == endpoint => return vec![],
            Some((_, present)) => *present = endpoint.into(),
            None => session.record.endpoints.push((service.into(), endpoint.into())),
        }
        self.write_endpoints(id)
    }

    /// Writes the session's endpoints to the replicas. Endpoints set during a claim are written only once the session
    /// is owned, and only if the replicas have recorded none.
    pub(super) fn write_endpoints(&mut self, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.owned) else {
            return vec![];
        };
        session.record.endpoints_version = session.next_attempt_id();
        self.write(id, vec![])
    }

    /// Handles a replica's acknowledgement of an attempt. Once a quorum has recorded the attempt, the request may be
    /// sent: any later owner will see it.
    pub(super) fn receive_write_ack(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        from: NodeId,
        id: SessionId,
        fencing_token: FencingToken,
        attempt: AttemptId,
    ) -> Vec<Output> {
        let Some(session) =
            self.sessions.get_mut(&id).filter(|session| session.fencing_token == fencing_token)
        else {
            return vec![];
        };
        let needed = if settings.has_bug(InjectedBug::NoQuorum) { 1 } else { session.quorum() };
        let Some(attempt) = session.attempts.iter_mut().find(|other| other.id == attempt) else {
            return vec![];
        };
        let duplicate =
            attempt.acknowledged_by.contains(&from) && !settings.has_bug(InjectedBug::DuplicatesCounted);
        if attempt.phase != AttemptPhase::Recording || duplicate {
            return vec![];
        }
        attempt.acknowledged_by.push(from);
        if attempt.acknowledged_by.len() < needed || now >= attempt.wait_until {
            return vec![];
        }
        attempt.phase = AttemptPhase::Running;
        self.counters.sent += 1;
        vec![Output::SendRequest { request_id: attempt.request }]
    }

    /// Handles the end of the attempt that [`Output::SendRequest`] allowed.
    pub(crate) fn complete(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: RequestId,
        outcome: Outcome,
    ) -> Vec<Output> {
        let Some(id) = self.requests.get(&request).copied() else { return vec![] };
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let Some(attempt) = session.attempts.iter_mut().find(|attempt| attempt.request == request) else {
            return vec![];
        };
        let state = match outcome {
            Outcome::Completed(response) if response.body.len() > settings.max_response_bytes => {
                EntryState::ResponseDropped
            }
            Outcome::Completed(response) => EntryState::Completed(response),
            Outcome::CompletedUnrecorded => EntryState::ResponseDropped,
            Outcome::NotExecuted => EntryState::NotExecuted,
            Outcome::Unknown => EntryState::Unknown,
        };
        attempt.phase = AttemptPhase::Reporting;
        attempt.wait_until = now + settings.peer_timeout_ms;
        attempt.acknowledged_by.clear();
        let entry = attempt.entry(state, now);
        self.report(id, entry)
    }

    /// Reports an outcome to all replicas, also to those that have promised a higher token: the outcome stays true
    /// whoever owns the session.
    pub(super) fn report(&mut self, id: SessionId, entry: IdempotencyEntry) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.record.put(&entry);
        let msg = Message::Completion { id, entry };
        session.replicas.iter().map(|&to| Output::Send { to, msg: msg.clone() }).collect()
    }

    pub(super) fn receive_completion_ack(
        &mut self,
        from: NodeId,
        id: SessionId,
        attempt: AttemptId,
    ) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let quorum = session.quorum();
        let Some(attempt) = session.attempts.iter_mut().find(|other| other.id == attempt) else {
            return vec![];
        };
        if attempt.phase != AttemptPhase::Reporting || attempt.acknowledged_by.contains(&from) {
            return vec![];
        }
        attempt.acknowledged_by.push(from);
        if attempt.acknowledged_by.len() < quorum {
            return vec![];
        }
        let attempt = attempt.id;
        self.finish_attempt(id, attempt)
    }

    /// Ends an attempt whose outcome is recorded at a quorum, or whose wait for that has timed out.
    pub(super) fn finish_attempt(&mut self, id: SessionId, attempt: AttemptId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let Some(position) = session.attempts.iter().position(|other| other.id == attempt) else {
            return vec![];
        };
        let request_id = session.attempts.remove(position).request;
        self.requests.remove(&request_id);
        if session.superseded && session.is_idle() {
            self.remove(id);
        }
        vec![Output::Respond { request_id }]
    }
}
