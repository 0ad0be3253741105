//! Waits that end by the clock.
use super::session::{Attempt, AttemptPhase, OwnedSession, PendingRequest};
use super::SessionOwner;
use crate::ids::Ms;
use crate::record::{AttemptId, SessionId};
use crate::request::{Decision, Output};
use crate::settings::AffinitySettings;

impl SessionOwner {
    pub(crate) fn tick(&mut self, settings: &AffinitySettings, now: Ms) -> Vec<Output> {
        self.taken_over.retain(|_, at| now < *at + settings.reclaim_delay_ms);
        let busy: Vec<SessionId> = self.busy.iter().copied().collect();
        busy.into_iter().flat_map(|id| self.end_waits(now, id)).collect()
    }

    fn end_waits(&mut self, now: Ms, id: SessionId) -> Vec<Output> {
        let mut out = self.reject_unsent(now, id, now);
        let Some(session) = self.sessions.get_mut(&id) else { return out };
        let reported: Vec<AttemptId> = session
            .attempts
            .iter()
            .filter(|attempt| is_reported(attempt, now))
            .map(|attempt| attempt.id)
            .collect();
        let (refused, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut session.pending).into_iter().partition(|request| request.wait_until <= now);
        session.pending = pending;
        let claim_unneeded = !session.owned && session.pending.is_empty() && !refused.is_empty();
        for PendingRequest { request, .. } in refused {
            out.push(self.answer(request.request_id, Decision::Rejected));
        }
        for attempt in reported {
            out.extend(self.finish_attempt(id, attempt));
        }
        if self.sessions.get(&id).is_none_or(OwnedSession::is_idle) {
            self.busy.remove(&id);
        }
        if claim_unneeded {
            self.drop_claim(id);
        }
        out
    }

    /// A claim that no request waits for any more is made anew when the session is next used.
    fn drop_claim(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.superseded = true;
        if session.is_idle() {
            self.remove(id);
        }
    }
}

/// Whether the time for reporting the outcome to the replicas is over.
fn is_reported(attempt: &Attempt, now: Ms) -> bool {
    attempt.phase == AttemptPhase::Reporting && attempt.wait_until <= now
}
