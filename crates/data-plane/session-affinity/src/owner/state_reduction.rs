//! Equivalences by which the model search visits fewer states. Only the model uses them.
use super::session::AttemptPhase;
use super::SessionOwner;
use crate::messages::Message;
use crate::record::{FencingToken, SessionId};
use crate::view::Counters;

impl SessionOwner {
    /// Whether receiving the message can never change anything any more.
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

    /// Whether answers to messages under this token no longer matter here.
    pub(crate) fn has_abandoned(&self, id: &SessionId, fencing_token: &FencingToken) -> bool {
        self.sessions.get(id).is_none_or(|session| !session.is_current(*fencing_token))
    }

    /// Gives states that differ only in numbers of uses and counters the same value.
    pub(crate) fn normalize(&mut self) {
        let sessions = &mut self.sessions;
        self.lru.renumber(|id, last_use| sessions.get_mut(&id).expect("in the order").last_use = last_use);
        self.counters = Counters::default();
    }
}
