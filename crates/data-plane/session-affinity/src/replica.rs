//! A node as a replica of sessions: it promises fencing tokens and keeps records in memory (the Paxos acceptor).
use crate::ids::{Ms, NodeId};
use crate::lru::LruOrder;
use crate::messages::{Message, RESTORED_ROUND};
use crate::record::{FencingToken, IdempotencyEntry, SessionId, SessionRecord};
use crate::settings::{AffinitySettings, InjectedBug};
use std::collections::BTreeMap;

/// A message and its recipient.
pub(crate) type AddressedMessage = (NodeId, Message);

/// A session as this replica holds it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ReplicatedSession {
    created_at: Ms,
    /// The highest token that was promised.
    pub(crate) promised: FencingToken,
    /// The replica's incarnation when the record was created.
    incarnation: u64,
    /// The session's key in the replica's `LruOrder`.
    last_use: u64,
    pub(crate) record: SessionRecord,
}

/// The sessions that this node holds as a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionReplica {
    pub(crate) sessions: BTreeMap<SessionId, ReplicatedSession>,
    lru: LruOrder,
    /// A session that is not held here and was created up to this time may have been held before and lost.
    lost_up_to: Ms,
    /// Incremented whenever a session is evicted, so that writes under a promise made before an eviction of their
    /// session are rejected.
    incarnation: u64,
    pub(crate) sessions_evicted: u64,
}

impl SessionReplica {
    /// `incarnation` is a number that no earlier start of this node has used.
    pub(crate) fn new(incarnation: u64, lost_up_to: Ms) -> SessionReplica {
        SessionReplica {
            sessions: BTreeMap::new(),
            lru: LruOrder::default(),
            lost_up_to,
            incarnation,
            sessions_evicted: 0,
        }
    }

    /// Makes states equal that differ only in use numbers and counters, for the model search.
    #[cfg(any(test, feature = "model-checking"))]
    pub(crate) fn normalize(&mut self) {
        let sessions = &mut self.sessions;
        self.lru
            .renumber(|id, last_use| sessions.get_mut(&id).expect("in the LRU order").last_use = last_use);
        self.sessions_evicted = 0;
    }

    /// Handles a message from a claimant or owner; returns the answers.
    pub(crate) fn receive(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        from: NodeId,
        message: Message,
    ) -> Vec<AddressedMessage> {
        let answer = match message {
            Message::Prepare { id, created_at, fencing_token, round } => {
                Some(self.prepare(settings, now, id, created_at, fencing_token, round))
            }
            Message::Restore { id, created_at, fencing_token, incarnation, record } => {
                let session = ReplicatedSession {
                    created_at,
                    promised: fencing_token,
                    incarnation,
                    last_use: 0,
                    record,
                };
                self.restore(settings, now, id, session)
            }
            Message::Write { id, fencing_token, incarnation, record } => {
                Some(self.write(settings, now, id, fencing_token, incarnation, &record))
            }
            Message::Completion { id, entry } => return self.complete(from, id, entry),
            _ => None,
        };
        answer.into_iter().map(|answer| (from, answer)).collect()
    }

    fn prepare(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        created_at: Ms,
        fencing_token: FencingToken,
        round: u32,
    ) -> Message {
        if let Some(session) = self.sessions.get_mut(&id) {
            let before = session.promised;
            if before > fencing_token {
                return Message::Rejected { id, fencing_token, promised: before };
            }
            session.promised = fencing_token;
            session.record.drop_expired_responses(now, settings.response_retention_ms);
            self.lru.touch(id, &mut session.last_use);
            let previous_owner = (before.node != fencing_token.node).then_some(before.node);
            return self.promise(id, fencing_token, round, previous_owner);
        }
        if created_at <= self.lost_up_to && !settings.has_bug(InjectedBug::LossIgnored) {
            return Message::StateLost { id, fencing_token, incarnation: self.incarnation };
        }
        if !self.make_capacity(settings, now) {
            return Message::NoCapacity { id, fencing_token };
        }
        let (incarnation, record) = (self.incarnation, SessionRecord::default());
        self.insert(
            id,
            ReplicatedSession { created_at, promised: fencing_token, incarnation, last_use: 0, record },
        );
        self.promise(id, fencing_token, round, None)
    }

    fn promise(
        &self,
        id: SessionId,
        fencing_token: FencingToken,
        round: u32,
        previous_owner: Option<NodeId>,
    ) -> Message {
        let session = &self.sessions[&id];
        let (incarnation, record) = (session.incarnation, session.record.clone());
        Message::Promise { id, fencing_token, round, incarnation, previous_owner, record }
    }

    /// Adopts the record of the other replicas, unless more was lost since this replica reported the loss.
    fn restore(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        session: ReplicatedSession,
    ) -> Option<Message> {
        let fencing_token = session.promised;
        if let Some(present) = self.sessions.get(&id) {
            let promised = present.promised;
            return (promised > fencing_token).then_some(Message::Rejected { id, fencing_token, promised });
        }
        if session.incarnation != self.incarnation {
            return Some(Message::StateLost { id, fencing_token, incarnation: self.incarnation });
        }
        // Evicting a session here increments the incarnation. Other pending restores become invalid by that; this one
        // was checked before.
        if !self.make_capacity(settings, now) {
            return None;
        }
        self.insert(id, ReplicatedSession { incarnation: self.incarnation, ..session });
        Some(self.promise(id, fencing_token, RESTORED_ROUND, None))
    }

    fn write(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        id: SessionId,
        fencing_token: FencingToken,
        incarnation: u64,
        record: &SessionRecord,
    ) -> Message {
        if let Some(session) = self.sessions.get_mut(&id) {
            self.lru.touch(id, &mut session.last_use);
        }
        let session = self.sessions.get_mut(&id).filter(|session| session.incarnation == incarnation);
        let Some(session) = session else {
            return Message::StateLost { id, fencing_token, incarnation: self.incarnation };
        };
        if session.promised > fencing_token && !settings.has_bug(InjectedBug::StaleWrites) {
            return Message::Rejected { id, fencing_token, promised: session.promised };
        }
        let attempt = record.entries.first().map_or(record.endpoints_version, |entry| entry.attempt);
        session.record.merge(record);
        session.record.drop_expired_responses(now, settings.response_retention_ms);
        Message::WriteAck { id, fencing_token, attempt }
    }

    /// Records an outcome whichever token is promised, and forwards it to the owner of that token if that is another
    /// node.
    fn complete(&mut self, from: NodeId, id: SessionId, entry: IdempotencyEntry) -> Vec<AddressedMessage> {
        let Some(session) = self.sessions.get_mut(&id) else { return vec![] };
        session.record.put(&entry);
        let mut out = vec![(from, Message::CompletionAck { id, attempt: entry.attempt })];
        if session.promised.node != from {
            out.push((session.promised.node, Message::CompletionNotice { id, entry }));
        }
        out
    }

    fn insert(&mut self, id: SessionId, mut session: ReplicatedSession) {
        self.lru.touch(id, &mut session.last_use);
        self.sessions.insert(id, session);
    }

    /// Evicts the least recently used session without a request in flight if the replica is full. False if each
    /// session has one.
    fn make_capacity(&mut self, settings: &AffinitySettings, now: Ms) -> bool {
        if self.sessions.len() < settings.max_sessions {
            return true;
        }
        let idle = self.lru.iter().find(|id| !self.sessions[id].record.has_in_flight(now));
        let Some(id) = idle else { return false };
        if let Some(evicted) = self.sessions.remove(&id) {
            self.lru.remove(id, evicted.last_use);
            if !settings.has_bug(InjectedBug::LossIgnored) {
                // A node that claims the session later is told that its state may have been lost here.
                self.lost_up_to = self.lost_up_to.max(evicted.created_at);
            }
        }
        self.incarnation += 1;
        self.sessions_evicted += 1;
        true
    }
}
