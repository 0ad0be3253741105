//! Admitting an idempotent request: a new one begins an attempt, a repeat is answered from the record.
use super::session::{Attempt, AttemptPhase, PendingRequest};
use super::SessionOwner;
use crate::ids::{Ms, RequestId};
use crate::record::EntryState;
use crate::request::{Decision, IdempotentRequest, Output};
use crate::settings::{AffinitySettings, InjectedBug};

/// What happens to a request of a session that this node owns.
enum Admission {
    Begin,
    Answer(Decision),
    /// It is in flight at the previous owner. What the replicas have learnt since helps the next repeat.
    AnswerInFlightAndPrepare,
}

impl SessionOwner {
    /// An idempotent request has arrived. It waits for the claim if the session is not owned yet.
    pub(crate) fn admit(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        let id = request.id;
        let mut out = self.ensure_claimed(settings, now, id, request.born, &request.seats);
        self.busy.insert(id);
        let Some(session) = self.sessions.get_mut(&id) else { return out };
        if session.owned {
            out.extend(self.decide(settings, now, request));
            return out;
        }
        self.counters.waits += 1;
        let claim_began_earlier = session.pending.is_empty() && out.is_empty();
        let wait_until = (now + settings.wait).min(request.until);
        session.pending.push(PendingRequest { request, wait_until });
        if claim_began_earlier {
            // The messages of a claim that a lookup began may have been lost.
            return self.prepare(id);
        }
        out
    }

    /// Decides on a request of a session that is owned.
    pub(super) fn decide(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        match self.admission(settings, now, &request) {
            None => vec![],
            Some(Admission::Begin) => self.begin_attempt(settings, now, request),
            Some(Admission::Answer(decision)) => vec![self.answer(request.ticket, decision)],
            Some(Admission::AnswerInFlightAndPrepare) => {
                let mut out = self.prepare(request.id);
                out.push(self.answer(request.ticket, Decision::UnderWay));
                out
            }
        }
    }

    /// Nothing for a session that is not here.
    fn admission(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: &IdempotentRequest,
    ) -> Option<Admission> {
        let session = self.sessions.get_mut(&request.id)?;
        session.record.drop_expired_responses(now, settings.keep);
        let in_flight_here = session.attempts.iter().any(|attempt| attempt.key == request.key);
        let entry = session.record.entry(&request.key);
        if entry.is_some_and(|entry| entry.fingerprint != request.print) {
            return Some(Admission::Answer(Decision::Other));
        }
        Some(match entry.map(|entry| &entry.state) {
            Some(EntryState::Completed(response)) => Admission::Answer(Decision::Kept(response.clone())),
            Some(EntryState::ResponseDropped) => Admission::Answer(Decision::Past),
            _ if in_flight_here => Admission::Answer(Decision::UnderWay),
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
            None if session.record.entries.len() >= settings.keys => Admission::Answer(Decision::Spent),
            Some(EntryState::NotRun) | None => Admission::Begin,
        })
    }

    /// Records the attempt at the replicas; the request goes to an endpoint when a quorum has it.
    fn begin_attempt(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        request: IdempotentRequest,
    ) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&request.id) else { return vec![] };
        let attempt = Attempt {
            request: request.ticket,
            key: request.key,
            fingerprint: request.print,
            id: session.next_attempt_id(),
            wait_until: (now + settings.wait).min(request.until),
            deadline: request.until,
            acknowledged_by: vec![],
            phase: AttemptPhase::Recording,
        };
        let entry = attempt.entry(EntryState::InFlight { deadline: attempt.deadline }, now);
        session.record.put(&entry);
        session.attempts.push(attempt);
        self.requests.insert(request.ticket, request.id);
        self.write(request.id, vec![entry])
    }

    /// Answers a request that is not sent, and counts it.
    pub(super) fn answer(&mut self, ticket: RequestId, reply: Decision) -> Output {
        let counter = match reply {
            Decision::Kept(_) | Decision::Past => &mut self.counters.repeats_answered,
            Decision::UnderWay => &mut self.counters.in_flight,
            Decision::Unknown => &mut self.counters.unknown,
            Decision::Other => &mut self.counters.fingerprint_mismatches,
            Decision::NotNow | Decision::Spent => &mut self.counters.refused,
            Decision::Forgotten => &mut self.counters.session_lost,
        };
        *counter += 1;
        Output::Answer { ticket, reply }
    }
}
