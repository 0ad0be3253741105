//! Claiming a session: a quorum of its replicas promises a fencing token (Paxos, phase 1), and replicas that lost
//! their state get it back.
use super::session::{OwnedSession, PendingRequest, Promise, ReplicaIncarnation};
use super::SessionOwner;
use crate::ids::{Ms, NodeId};
use crate::messages::{Message, RESTORED_ROUND};
use crate::record::{AttemptId, FencingToken, SessionId, SessionRecord};
use crate::request::{Decision, Output};
use crate::settings::{AffinitySettings, InjectedBug};

impl SessionOwner {
    /// A request other than an idempotent one has arrived: the session is claimed in the background, unless another
    /// node took it over a moment ago.
    pub(crate) fn touch(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        created_at: Ms,
        replicas: &[NodeId],
    ) -> Vec<Output> {
        let recently_lost = self.taken_over.get(&id).is_some_and(|at| now < at + settings.reclaim_delay_ms);
        if recently_lost && !self.sessions.contains_key(&id) {
            return vec![];
        }
        self.ensure_claimed(settings, now, id, created_at, replicas)
    }

    /// Begins a claim where none is under way and the session is not owned.
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
            // It comes back before its attempts have ended.
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

    /// What an owner knows of an idle session, the replicas know too.
    fn evict_idle(&mut self) {
        let idle = self.lru.iter().find(|id| !self.busy.contains(id));
        if let Some(id) = idle {
            self.remove(id);
        }
    }

    /// Claims under a new fencing token with this number or a higher one.
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

    /// Asks all replicas (again). What they promise in the new round they promise after every message that has
    /// arrived so far.
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

    /// A quorum has promised: requests that waited for it are admitted.
    fn begin_ownership(&mut self, settings: &AffinitySettings, now: Ms, id: SessionId) -> Vec<Output> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.owned = true;
        session.claim_retries = 0;
        let pending = std::mem::take(&mut session.pending);
        let learnt_while_claiming =
            !session.record.endpoints.is_empty() && session.record.endpoints_version == AttemptId::default();
        let mut out = vec![];
        if learnt_while_claiming {
            out.extend(self.write_endpoints(id));
        }
        for PendingRequest { request, .. } in pending {
            out.extend(self.decide(settings, now, request));
        }
        out
    }

    /// Restores the state of the one replica that lost it, once all others have promised this token after it said so.
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
        // Once for each loss; a single replica has nobody to get its state back from.
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
