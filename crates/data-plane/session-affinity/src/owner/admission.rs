//! Admission of idempotent requests: a new request begins an attempt, a repeated one is answered from the record.
use super::session::{Attempt, AttemptPhase, PendingRequest};
use super::SessionOwner;
use crate::ids::{Ms, RequestId};
use crate::record::EntryState;
use crate::request::{Decision, IdempotentRequest, Output};
use crate::settings::{AffinitySettings, InjectedBug};

/// How a request of a session that this node owns is handled.
enum Admission {
    Begin,
    Answer(Decision),
    /// The request is in flight at the previous owner. The replicas are asked again, as one may have recorded the
    /// outcome by now; the next repeat of the request then gets it.
    AnswerInFlightAndPrepare,
}

impl SessionOwner {
    /// Handles a new idempotent request. It waits for the claim if the session is not owned yet.
    pub(crate) fn admit(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        let id = request.session;
        let mut out = self.ensure_claimed(settings, now, id, request.created_at, &request.replicas);
        self.busy.insert(id);
        let Some(session) = self.sessions.get_mut(&id) else { return out };
        if session.owned {
            out.extend(self.decide(settings, now, request));
            return out;
        }
        self.counters.requests_pending += 1;
        let claim_began_earlier = session.pending.is_empty() && out.is_empty();
        let wait_until = (now + settings.peer_timeout_ms).min(request.deadline);
        session.pending.push(PendingRequest { request, wait_until });
        if claim_began_earlier {
            // A request without an idempotency key began the claim, and the claim's messages may have been lost.
            return self.prepare(id);
        }
        out
    }

    /// Decides on a request of a session that this node owns.
    pub(super) fn decide(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        match self.admission(settings, now, &request) {
            None => vec![],
            Some(Admission::Begin) => self.begin_attempt(settings, now, request),
            Some(Admission::Answer(decision)) => vec![self.answer(request.request_id, decision)],
            Some(Admission::AnswerInFlightAndPrepare) => {
                let mut out = self.prepare(request.session);
                out.push(self.answer(request.request_id, Decision::InFlight));
                out
            }
        }
    }

    /// Returns `None` if the session is not held here.
    fn admission(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: &IdempotentRequest,
    ) -> Option<Admission> {
        let session = self.sessions.get_mut(&request.session)?;
        session.record.drop_expired_responses(now, settings.response_retention_ms);
        let in_flight_here = session.attempts.iter().any(|attempt| attempt.key == request.key);
        let entry = session.record.entry(&request.key);
        if entry.is_some_and(|entry| entry.fingerprint != request.fingerprint) {
            return Some(Admission::Answer(Decision::FingerprintMismatch));
        }
        Some(match entry.map(|entry| &entry.state) {
            Some(EntryState::Completed(response)) => Admission::Answer(Decision::Replay(response.clone())),
            Some(EntryState::ResponseDropped) => Admission::Answer(Decision::ResponseExpired),
            _ if in_flight_here => Admission::Answer(Decision::InFlight),
            Some(EntryState::Unknown | EntryState::InFlight { .. })
                if settings.has_bug(InjectedBug::RetryOfUnknown) =>
            {
                Admission::Begin
            }
            Some(EntryState::Unknown) => Admission::Answer(Decision::Unknown),
            Some(EntryState::InFlight { deadline }) if now >= *deadline => {
                Admission::Answer(Decision::Unknown)
            }
            Some(EntryState::InFlight { .. }) => Admission::AnswerInFlightAndPrepare,
            None if session.record.entries.len() >= settings.max_requests_per_session => {
                Admission::Answer(Decision::TooManyRequests)
            }
            Some(EntryState::NotExecuted) | None => Admission::Begin,
        })
    }

    /// Records the attempt at the replicas. The request is sent to an endpoint once a quorum has acknowledged it.
    fn begin_attempt(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&request.session) else { return vec![] };
        let attempt = Attempt {
            request: request.request_id,
            key: request.key,
            fingerprint: request.fingerprint,
            id: session.next_attempt_id(),
            wait_until: (now + settings.peer_timeout_ms).min(request.deadline),
            deadline: request.deadline,
            acknowledged_by: vec![],
            phase: AttemptPhase::Recording,
        };
        let entry = attempt.entry(EntryState::InFlight { deadline: attempt.deadline }, now);
        session.record.put(&entry);
        session.attempts.push(attempt);
        self.requests.insert(request.request_id, request.session);
        self.write(request.session, vec![entry])
    }

    /// Answers a request without sending it, and counts the answer.
    pub(super) fn answer(&mut self, request_id: RequestId, reply: Decision) -> Output {
        let counter = match reply {
            Decision::Replay(_) | Decision::ResponseExpired => &mut self.counters.repeats_answered,
            Decision::InFlight => &mut self.counters.in_flight,
            Decision::Unknown => &mut self.counters.unknown,
            Decision::FingerprintMismatch => &mut self.counters.fingerprint_mismatches,
            Decision::Rejected | Decision::TooManyRequests => &mut self.counters.refused,
            Decision::SessionLost => &mut self.counters.session_lost,
        };
        *counter += 1;
        Output::Decided { request_id, reply }
    }
}
