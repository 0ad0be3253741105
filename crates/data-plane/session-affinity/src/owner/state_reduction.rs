//! Equivalences of states, which let the model search visit fewer of them. Only the model uses them.
use super::session::AttemptPhase;
use super::SessionOwner;
use crate::messages::Message;
use crate::record::{FencingToken, SessionId};
use crate::view::Counters;

impl SessionOwner {
    /// Whether receiving the message can no longer have an effect.
    pub(crate) fn is_obsolete(&self, message: &Message) -> bool {
        match message {
            Message::Promise { id, fencing_token, .. }
            | Message::StateLost { id, fencing_token, .. }
            | Message::Rejected { id, fencing_token, .. }
            | Message::NoCapacity { id, fencing_token } => self.has_abandoned(id, fencing_token),
            Message::WriteAck { id, fencing_token, attempt } => {
                let unsent = |other: &super::session::Attempt| {
                    other.id == *attempt && other.phase == AttemptPhase::Recording
                };
                self.has_abandoned(id, fencing_token) || !self.sessions[id].attempts.iter().any(unsent)
            }
            Message::Superseded { id, fencing_token } => {
                self.sessions.get(id).is_none_or(|session| session.fencing_token >= *fencing_token)
            }
            Message::CompletionNotice { id, entry } => {
                self.sessions.get(id).is_none_or(|session| session.record.includes(entry))
            }
            _ => false,
        }
    }

    /// Whether answers to messages under this token are no longer relevant here.
    pub(crate) fn has_abandoned(&self, id: &SessionId, fencing_token: &FencingToken) -> bool {
        self.sessions.get(id).is_none_or(|session| !session.is_current(*fencing_token))
    }

    /// Makes states equal that differ only in use numbers and counters.
    pub(crate) fn normalize(&mut self) {
        let sessions = &mut self.sessions;
        self.lru
            .renumber(|id, last_use| sessions.get_mut(&id).expect("in the LRU order").last_use = last_use);
        self.counters = Counters::default();
    }
}
