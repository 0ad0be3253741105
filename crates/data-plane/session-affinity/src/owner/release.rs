//! Release of a session that another node has claimed, or that can't be claimed.
use super::session::{Attempt, AttemptPhase, OwnedSession, PendingRequest};
use super::SessionOwner;
use crate::ids::Ms;
use crate::record::{EntryState, FencingToken, SessionId};
use crate::request::{Decision, Output};

impl SessionOwner {
    /// Handles a notice that another node has claimed the session. It is ignored if this node has claimed the session
    /// again under the same or a higher token.
    pub(super) fn receive_superseded(
        &mut self,
        now: Ms,
        id: SessionId,
        fencing_token: FencingToken,
    ) -> Vec<Output> {
        let higher = self.sessions.get(&id).is_some_and(|session| fencing_token > session.fencing_token);
        if !higher {
            return vec![];
        }
        self.relinquish(now, id)
    }

    /// Gives up ownership to another node. Requests that were not sent are rejected; attempts in flight end at this
    /// node, which reports their outcomes.
    pub(super) fn relinquish(&mut self, now: Ms, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let was_current = !std::mem::replace(&mut session.superseded, true);
        if was_current && session.owned {
            self.counters.sessions_superseded += 1;
            self.taken_over.insert(id, now);
        }
        self.abandon(now, id, Decision::Rejected)
    }

    /// Answers pending requests with `reason`, rejects unsent attempts, and removes the session if no attempt is left.
    pub(super) fn abandon(&mut self, now: Ms, id: SessionId, reason: Decision) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.superseded = true;
        let pending = std::mem::take(&mut session.pending);
        let mut out: Vec<Output> = pending
            .iter()
            .map(|PendingRequest { request, .. }| self.answer(request.request_id, reason.clone()))
            .collect();
        out.extend(self.reject_unsent(now, id, Ms::MAX));
        if self.sessions.get(&id).is_some_and(OwnedSession::is_idle) {
            self.remove(id);
        }
        out
    }

    /// Rejects attempts that are still being recorded and whose wait ends by `wait_until`. They were never sent, and
    /// never will be.
    pub(super) fn reject_unsent(&mut self, now: Ms, id: SessionId, wait_until: Ms) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let unsent =
            |attempt: &Attempt| attempt.phase == AttemptPhase::Recording && attempt.wait_until <= wait_until;
        let (unsent, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut session.attempts).into_iter().partition(unsent);
        session.attempts = remaining;
        let mut out = vec![];
        for attempt in unsent {
            out.extend(self.report(id, attempt.entry(EntryState::NotExecuted, now)));
            self.requests.remove(&attempt.request);
            out.push(self.answer(attempt.request, Decision::Rejected));
        }
        out
    }
}
