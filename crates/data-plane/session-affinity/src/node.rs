//! A node, which is a replica of some sessions and the owner of others.
use crate::ids::{Ms, NodeId, RequestId};
use crate::messages::Message;
use crate::owner::SessionOwner;
use crate::record::{Outcome, SessionId};
use crate::replica::SessionReplica;
use crate::request::{IdempotentRequest, Output};
use crate::settings::AffinitySettings;
use crate::view::{Counters, SessionView};
use std::collections::VecDeque;

/// The state machine of one node. Each input returns the effects, which the caller has to carry out in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinityNode {
    settings: AffinitySettings,
    replica: SessionReplica,
    owner: SessionOwner,
}

impl AffinityNode {
    /// `incarnation` is a number that no earlier start of this node has used. Sessions created up to `lost_up_to`
    /// (milliseconds, see [`AffinitySettings::lost_up_to`]) may have been held by an earlier start.
    pub fn new(node: NodeId, settings: &AffinitySettings, incarnation: u64, lost_up_to: Ms) -> AffinityNode {
        AffinityNode {
            settings: settings.clone(),
            replica: SessionReplica::new(incarnation, lost_up_to),
            owner: SessionOwner::new(node, incarnation),
        }
    }

    /// Handles a new idempotent request.
    pub fn admit(&mut self, now: Ms, request: IdempotentRequest) -> Vec<Output> {
        let out = self.owner.admit(&self.settings, now, request);
        self.deliver_local(now, out)
    }

    /// Handles any other request of the session: it does not wait, and the session is claimed in the background.
    pub fn touch(&mut self, now: Ms, id: SessionId, created_at: Ms, replicas: &[NodeId]) -> Vec<Output> {
        let out = self.owner.touch(&self.settings, now, id, created_at, replicas);
        self.deliver_local(now, out)
    }

    /// Handles the end of the attempt that [`Output::SendRequest`] allowed.
    pub fn complete(&mut self, now: Ms, request: RequestId, outcome: Outcome) -> Vec<Output> {
        let out = self.owner.complete(&self.settings, now, request, outcome);
        self.deliver_local(now, out)
    }

    /// Sets the endpoint that serves the session from now on.
    pub fn set_endpoint(&mut self, now: Ms, id: SessionId, service: &str, endpoint: &str) -> Vec<Output> {
        let out = self.owner.set_endpoint(id, service, endpoint);
        self.deliver_local(now, out)
    }

    /// Handles a message from another node.
    pub fn receive_message(&mut self, now: Ms, from: NodeId, message: Message) -> Vec<Output> {
        let out = self.receive(now, from, message);
        self.deliver_local(now, out)
    }

    /// Ends waits that have timed out. The caller calls it periodically; a wait may last one period longer.
    pub fn tick(&mut self, now: Ms) -> Vec<Output> {
        let out = self.owner.tick(&self.settings, now);
        self.deliver_local(now, out)
    }

    /// The endpoint of a session for a service, if this node knows the session as its owner.
    pub fn endpoint(&self, id: SessionId, service: &str) -> Option<&str> {
        self.owner.endpoint(id, service)
    }

    /// Whether this node owns the session, as far as it knows.
    pub fn owns(&self, id: SessionId) -> bool {
        self.owner.owns(id)
    }

    /// Counters since the node's start.
    pub fn counters(&self) -> Counters {
        Counters { sessions_evicted: self.replica.sessions_evicted, ..self.owner.counters.clone() }
    }

    /// The ids of the sessions that this node holds as owner or replica, sorted.
    pub fn sessions(&self) -> Vec<SessionId> {
        let replicated = self.replica.sessions.keys().copied();
        let mut all: Vec<SessionId> = self.owner.ids().chain(replicated).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The operators' view of a session: the owner's state if this node has it as owner, else the replica's.
    pub fn view(&self, now: Ms, id: SessionId) -> Option<SessionView> {
        self.owner.view(now, id).or_else(|| {
            let session = self.replica.sessions.get(&id)?;
            Some(SessionView::new(id, false, session.promised, &session.record, now))
        })
    }

    /// Whether receiving a message in transit from `from` can no longer have a relevant effect.
    #[cfg(any(test, feature = "model-checking"))]
    pub(crate) fn is_obsolete(&self, from: &AffinityNode, message: &Message) -> bool {
        let replicated = |id: &SessionId| self.replica.sessions.get(id);
        match message {
            Message::Prepare { id, fencing_token, .. } => {
                from.owner.has_abandoned(id, fencing_token)
                    && replicated(id).is_some_and(|session| session.promised >= *fencing_token)
            }
            Message::Write { id, fencing_token, record, .. } => {
                from.owner.has_abandoned(id, fencing_token)
                    && replicated(id).is_some_and(|session| {
                        session.promised > *fencing_token
                            || record.entries.iter().all(|entry| session.record.includes(entry))
                    })
            }
            Message::Completion { id, entry } => {
                replicated(id).is_some_and(|session| session.record.includes(entry))
            }
            _ => self.owner.is_obsolete(message),
        }
    }

    /// Makes states equal that differ only in use numbers and counters.
    #[cfg(any(test, feature = "model-checking"))]
    pub(crate) fn normalize(&mut self) {
        self.replica.normalize();
        self.owner.normalize();
    }

    fn receive(&mut self, now: Ms, from: NodeId, message: Message) -> Vec<Output> {
        match message {
            Message::Prepare { .. }
            | Message::Restore { .. }
            | Message::Write { .. }
            | Message::Completion { .. } => {
                let answers = self.replica.receive(&self.settings, now, from, message);
                answers.into_iter().map(|(to, msg)| Output::Send { to, msg }).collect()
            }
            _ => self.owner.receive(&self.settings, now, from, message),
        }
    }

    /// Handles messages to this node itself immediately; the other effects keep their order.
    fn deliver_local(&mut self, now: Ms, effects: Vec<Output>) -> Vec<Output> {
        let mut queue: VecDeque<Output> = effects.into();
        let mut out = vec![];
        while let Some(next) = queue.pop_front() {
            match next {
                Output::Send { to, msg } if to == self.owner.node => {
                    queue.extend(self.receive(now, to, msg));
                }
                other => out.push(other),
            }
        }
        out
    }
}
