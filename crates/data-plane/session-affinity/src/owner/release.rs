//! Releasing a session that another node has claimed, or that can't be claimed.
use super::session::{Attempt, AttemptPhase, OwnedSession, PendingRequest};
use super::SessionOwner;
use crate::ids::Ms;
use crate::record::{EntryState, FencingToken, SessionId};
use crate::request::{Decision, Output};

impl SessionOwner {
    /// Another node has the session, unless this one has claimed it again under a higher token.
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

    /// Another node has the session: what was not sent is refused, and what was sent ends here and is reported.
    pub(super) fn relinquish(&mut self, now: Ms, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        let was_current = !std::mem::replace(&mut session.superseded, true);
        if was_current && session.owned {
            self.counters.sessions_superseded += 1;
            self.taken_over.insert(id, now);
        }
        self.abandon(now, id, Decision::Rejected)
    }

    /// Refuses what was not sent, and removes the session when its last attempt has ended.
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

    /// Ends attempts whose wait for the replicas ends by `wait_until`: they were never sent, and never will be.
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
