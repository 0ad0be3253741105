//! Claiming a session: a quorum of its replicas promises a fencing token (Paxos, phase 1), and a replica that lost
//! its state has it restored.
use super::session::{OwnedSession, PendingRequest, Promise, ReplicaIncarnation};
use super::SessionOwner;
use crate::ids::{Ms, NodeId};
use crate::messages::{Message, RESTORED_ROUND};
use crate::record::{AttemptId, FencingToken, SessionId, SessionRecord};
use crate::request::{Decision, Output};
use crate::settings::{AffinitySettings, InjectedBug};

impl SessionOwner {
    /// Handles a request other than an idempotent one: the session is claimed in the background, unless another node
    /// took it over less than `reclaim_delay_ms` ago.
    pub(crate) fn touch(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        created_at: Ms,
        replicas: &[NodeId],
    ) -> Vec<Output> {
        let recently_taken_over =
            self.taken_over.get(&id).is_some_and(|at| now < at + settings.reclaim_delay_ms);
        if recently_taken_over && !self.sessions.contains_key(&id) {
            return vec![];
        }
        self.ensure_claimed(settings, now, id, created_at, replicas)
    }

    /// Begins a claim unless the session is owned or a claim is in progress.
    pub(super) fn ensure_claimed(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        created_at: Ms,
        replicas: &[NodeId],
    ) -> Vec<Output> {
        if let Some(session) = self.sessions.get_mut(&id) {
            self.lru.touch(id, &mut session.last_use);
            if !session.superseded {
                return vec![];
            }
            // The session is claimed again before its attempts under the earlier token have ended.
            return self.claim(id, now);
        }
        if self.sessions.len() >= settings.max_sessions {
            self.evict_idle();
        }
        let mut session = OwnedSession::new(created_at, replicas);
        self.lru.touch(id, &mut session.last_use);
        self.sessions.insert(id, session);
        self.claim(id, now)
    }

    /// Evicts the least recently used idle session. Nothing is lost: the replicas hold its record.
    fn evict_idle(&mut self) {
        let idle = self.lru.iter().find(|id| !self.busy.contains(id));
        if let Some(id) = idle {
            self.remove(id);
        }
    }

    /// Begins a claim under a new fencing token whose number is `at_least` or higher.
    fn claim(&mut self, id: SessionId, at_least: u64) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        self.counters.claims += 1;
        self.last_token_number = at_least.max(self.last_token_number + 1);
        session.fencing_token =
            FencingToken { number: self.last_token_number, node: self.node, incarnation: self.incarnation };
        session.owned = false;
        session.superseded = false;
        session.attempt_number = 0;
        session.promises.clear();
        session.lost.clear();
        session.rejected_by.clear();
        self.prepare(id)
    }

    /// Asks all replicas to promise the token, in a new round. A promise of this round was made after every message
    /// that has arrived here so far was sent.
    pub(super) fn prepare(&mut self, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.round += 1;
        session.promised_this_round.clear();
        let msg = Message::Prepare {
            id,
            created_at: session.created_at,
            fencing_token: session.fencing_token,
            round: session.round,
        };
        session.replicas.iter().map(|&to| Output::Send { to, msg: msg.clone() }).collect()
    }

    pub(super) fn receive_promise(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        promise: &Promise,
        record: &SessionRecord,
    ) -> Vec<Output> {
        let (id, fencing_token) = (promise.id, promise.fencing_token);
        let Some(session) = self.current_session(id, fencing_token) else { return vec![] };
        session.record.merge(record);
        if !settings.has_bug(InjectedBug::DuplicatesCounted) {
            session.forget_promise(promise.from);
        }
        session.promises.push(ReplicaIncarnation { replica: promise.from, incarnation: promise.incarnation });
        session.rejected_by.retain(|replica| *replica != promise.from);
        if promise.round == session.round && !session.promised_this_round.contains(&promise.from) {
            session.promised_this_round.push(promise.from);
        }
        if promise.round == RESTORED_ROUND {
            session.forget_loss(promise.from);
        }
        let won = !session.owned && session.promises.len() >= session.quorum();
        if promise.round == RESTORED_ROUND {
            self.counters.replicas_restored += 1;
        }
        let mut out = vec![];
        if let Some(previous_owner) = promise.previous_owner {
            out.push(Output::Send { to: previous_owner, msg: Message::Superseded { id, fencing_token } });
        }
        if won {
            if promise.previous_owner.is_some() {
                self.counters.takeovers += 1;
            }
            out.extend(self.begin_ownership(settings, now, id));
        }
        out.extend(self.restore_replica(id));
        out
    }

    /// Begins ownership after a quorum has promised: pending requests are decided on.
    fn begin_ownership(&mut self, settings: &AffinitySettings, now: Ms, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.owned = true;
        session.claim_retries = 0;
        let pending = std::mem::take(&mut session.pending);
        let has_unwritten_endpoints =
            !session.record.endpoints.is_empty() && session.record.endpoints_version == AttemptId::default();
        let mut out = vec![];
        if has_unwritten_endpoints {
            out.extend(self.write_endpoints(id));
        }
        for PendingRequest { request, .. } in pending {
            out.extend(self.decide(settings, now, request));
        }
        out
    }

    /// Restores the record of a replica that lost it, once all other replicas have promised this token after the loss
    /// was reported. With more than one such replica, none is restored.
    fn restore_replica(&mut self, id: SessionId) -> Vec<Output> {
        let owned = |session: &&OwnedSession| session.owned && !session.superseded;
        let Some(session) = self.sessions.get(&id).filter(owned) else { return vec![] };
        let [ReplicaIncarnation { replica, incarnation }] = session.lost[..] else { return vec![] };
        let mut others = session.replicas.iter().filter(|other| **other != replica);
        if !others.all(|other| session.promised_this_round.contains(other)) {
            return vec![];
        }
        let record = session.record.clone();
        let msg = Message::Restore {
            id,
            created_at: session.created_at,
            fencing_token: session.fencing_token,
            incarnation,
            record,
        };
        vec![Output::Send { to: replica, msg }]
    }

    pub(super) fn receive_state_lost(
        &mut self,
        now: Ms,
        from: NodeId,
        id: SessionId,
        fencing_token: FencingToken,
        incarnation: u64,
    ) -> Vec<Output> {
        let Some(session) = self.current_session(id, fencing_token) else { return vec![] };
        let loss = ReplicaIncarnation { replica: from, incarnation };
        let known = session.lost.contains(&loss);
        session.forget_promise(from);
        session.forget_loss(from);
        session.lost.push(loss);
        if session.replicas.len() - session.lost.len() < session.quorum() {
            return self.abandon(now, id, Decision::SessionLost);
        }
        if session.owned && session.promises.len() < session.quorum() {
            return self.relinquish(now, id);
        }
        // Ask all replicas once for each loss. If several replicas lost their state, none can be restored.
        if known || session.lost.len() > 1 {
            return vec![];
        }
        self.prepare(id)
    }

    pub(super) fn receive_rejection(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        from: NodeId,
        id: SessionId,
        fencing_token: FencingToken,
        promised: FencingToken,
    ) -> Vec<Output> {
        let Some(session) = self.current_session(id, fencing_token) else { return vec![] };
        session.forget_promise(from);
        if !session.rejected_by.contains(&from) {
            session.rejected_by.push(from);
        }
        if session.owned {
            if session.promises.len() < session.quorum() {
                return self.relinquish(now, id);
            }
            return vec![];
        }
        if promised > fencing_token && session.claim_retries < settings.max_claim_retries {
            session.claim_retries += 1;
            return self.claim(id, now.max(promised.number + 1));
        }
        if session.replicas.len() - session.rejected_by.len() < session.quorum() {
            return self.abandon(now, id, Decision::Rejected);
        }
        vec![]
    }
}
