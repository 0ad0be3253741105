//! A node as the owner of sessions.
//!
//! Ownership of a session passes through these phases, one file each: [`claim`] (promises of the replicas),
//! [`admission`] of idempotent requests, [`attempt`] (record, send, report the outcome), [`release`] to another owner.
//! [`expiry`] ends waits that have timed out.
mod admission;
mod attempt;
mod claim;
mod expiry;
mod release;
mod session;
#[cfg(any(test, feature = "model-checking"))]
mod state_reduction;

use crate::ids::{Ms, NodeId, RequestId};
use crate::lru::LruOrder;
use crate::messages::Message;
use crate::record::{FencingToken, SessionId};
use crate::request::Output;
use crate::settings::AffinitySettings;
use crate::view::{Counters, SessionView};
use session::{OwnedSession, Promise};
use std::collections::{BTreeMap, BTreeSet};

/// The sessions that a node owns or claims, and those taken over by another node that still have attempts here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionOwner {
    pub(crate) node: NodeId,
    sessions: BTreeMap<SessionId, OwnedSession>,
    /// The session of each request that has an attempt in progress.
    requests: BTreeMap<RequestId, SessionId>,
    lru: LruOrder,
    /// Sessions with pending requests or attempts. `tick` visits only these, and they are not evicted.
    busy: BTreeSet<SessionId>,
    /// When another node took over each of these sessions.
    taken_over: BTreeMap<SessionId, Ms>,
    incarnation: u64,
    /// The highest token number that this incarnation has used, so that it uses no fencing token twice.
    last_token_number: u64,
    pub(crate) counters: Counters,
}

impl SessionOwner {
    pub(crate) fn new(node: NodeId, incarnation: u64) -> SessionOwner {
        SessionOwner {
            node,
            sessions: BTreeMap::new(),
            requests: BTreeMap::new(),
            lru: LruOrder::default(),
            busy: BTreeSet::new(),
            taken_over: BTreeMap::new(),
            incarnation,
            last_token_number: 0,
            counters: Counters::default(),
        }
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.sessions.keys().copied()
    }

    pub(crate) fn owns(&self, id: SessionId) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.owned && !session.superseded)
    }

    /// The endpoint of the session for a service, as far as this node knows.
    pub(crate) fn endpoint(&self, id: SessionId, service: &str) -> Option<&str> {
        let record = &self.sessions.get(&id)?.record;
        record.endpoints.iter().find(|(name, _)| name == service).map(|(_, endpoint)| endpoint.as_str())
    }

    pub(crate) fn view(&self, now: Ms, id: SessionId) -> Option<SessionView> {
        let session = self.sessions.get(&id).filter(|session| session.owned)?;
        Some(SessionView::new(id, !session.superseded, session.fencing_token, &session.record, now))
    }

    /// Handles a message from a replica, or from the new owner of a session.
    pub(crate) fn receive(
        &mut self,
        settings: &AffinitySettings,
        now: Ms,
        from: NodeId,
        message: Message,
    ) -> Vec<Output> {
        match message {
            Message::Promise { id, fencing_token, round, incarnation, previous_owner, record } => {
                let promise = Promise { from, id, fencing_token, round, incarnation, previous_owner };
                self.receive_promise(settings, now, &promise, &record)
            }
            Message::StateLost { id, fencing_token, incarnation } => {
                self.receive_state_lost(now, from, id, fencing_token, incarnation)
            }
            Message::Rejected { id, fencing_token, promised } => {
                self.receive_rejection(settings, now, from, id, fencing_token, promised)
            }
            Message::NoCapacity { id, fencing_token } => {
                self.receive_rejection(settings, now, from, id, fencing_token, fencing_token)
            }
            Message::WriteAck { id, fencing_token, attempt } => {
                self.receive_write_ack(settings, now, from, id, fencing_token, attempt)
            }
            Message::CompletionAck { id, attempt } => self.receive_completion_ack(from, id, attempt),
            Message::CompletionNotice { id, entry } => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.record.put(&entry);
                }
                vec![]
            }
            Message::Superseded { id, fencing_token } => self.receive_superseded(now, id, fencing_token),
            Message::Prepare { .. }
            | Message::Restore { .. }
            | Message::Write { .. }
            | Message::Completion { .. } => {
                vec![]
            }
        }
    }

    /// The session, if a message about this token is still relevant to it.
    fn current_session(&mut self, id: SessionId, fencing_token: FencingToken) -> Option<&mut OwnedSession> {
        self.sessions.get_mut(&id).filter(|session| session.is_current(fencing_token))
    }

    fn remove(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.lru.remove(id, session.last_use);
        }
        self.busy.remove(&id);
    }
}
