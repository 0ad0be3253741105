//! Waits that end by timeout.
use super::session::{Attempt, AttemptPhase, OwnedSession, PendingRequest};
use super::SessionOwner;
use crate::ids::Ms;
use crate::record::{AttemptId, SessionId};
use crate::request::{Decision, Output};
use crate::settings::AffinitySettings;

impl SessionOwner {
    /// Ends all waits that have timed out at `now`.
    pub(crate) fn tick(&mut self, settings: &AffinitySettings, now: Ms) -> Vec<Output> {
        self.taken_over.retain(|_, at| now < *at + settings.reclaim_delay_ms);
        let busy: Vec<SessionId> = self.busy.iter().copied().collect();
        busy.into_iter().flat_map(|id| self.end_waits(now, id)).collect()
    }

    fn end_waits(&mut self, now: Ms, id: SessionId) -> Vec<Output> {
        let mut out = self.reject_unsent(now, id, now);
        let Some(session) = self.sessions.get_mut(&id) else { return out };
        let timed_out: Vec<AttemptId> = session
            .attempts
            .iter()
            .filter(|attempt| has_reporting_timed_out(attempt, now))
            .map(|attempt| attempt.id)
            .collect();
        let (refused, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut session.pending).into_iter().partition(|request| request.wait_until <= now);
        session.pending = pending;
        let claim_is_unneeded = !session.owned && session.pending.is_empty() && !refused.is_empty();
        for PendingRequest { request, .. } in refused {
            out.push(self.answer(request.request_id, Decision::Rejected));
        }
        for attempt in timed_out {
            out.extend(self.finish_attempt(id, attempt));
        }
        if self.sessions.get(&id).is_none_or(OwnedSession::is_idle) {
            self.busy.remove(&id);
        }
        if claim_is_unneeded {
            self.drop_claim(id);
        }
        out
    }

    /// Drops a claim that no request waits for any longer. The next use of the session begins a new claim.
    fn drop_claim(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.superseded = true;
        if session.is_idle() {
            self.remove(id);
        }
    }
}

/// Whether the wait for the replicas to acknowledge the outcome has timed out.
fn has_reporting_timed_out(attempt: &Attempt, now: Ms) -> bool {
    attempt.phase == AttemptPhase::Reporting && attempt.wait_until <= now
}
