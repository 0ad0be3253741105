//! A site as one of the seats that keep sessions.
use crate::node::AffinitySettings;
use crate::{Fault, FencingToken, IdempotencyEntry, Message, Ms, NodeId, SessionId, SessionRecord};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub born: Ms,
    pub promised: FencingToken,
    /// Changes whenever this seat may have forgotten the session in between.
    life: u64,
    used: u64,
    pub record: SessionRecord,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionReplica {
    pub held: BTreeMap<SessionId, Held>,
    /// By last use.
    order: BTreeSet<(u64, SessionId)>,
    uses: u64,
    /// What is not held and was born until then may have been held before.
    floor: Ms,
    life: u64,
    pub dropped: u64,
}

impl SessionReplica {
    /// `life` is one that no earlier start of this site had.
    pub fn new(life: u64, floor: Ms) -> SessionReplica {
        SessionReplica { held: BTreeMap::new(), order: BTreeSet::new(), uses: 0, floor, life, dropped: 0 }
    }

    /// The same with the smallest numbers, so that the model meets it once.
    #[cfg(test)]
    pub fn plain(&mut self) {
        let order = std::mem::take(&mut self.order);
        for (rank, (_, id)) in order.into_iter().enumerate() {
            self.order.insert((rank as u64, id));
            self.held.get_mut(&id).expect("ordered").used = rank as u64;
        }
        (self.uses, self.dropped) = (self.order.len() as u64, 0);
    }

    fn touch(&mut self, id: SessionId) {
        self.uses += 1;
        if let Some(held) = self.held.get_mut(&id) {
            self.order.remove(&(held.used, id));
            held.used = self.uses;
            self.order.insert((self.uses, id));
        }
    }

    /// Makes room by dropping what was not used for the longest; never an open confirmation.
    fn room(&mut self, terms: &AffinitySettings, now: Ms) -> bool {
        if self.held.len() < terms.sessions {
            return true;
        }
        let idle = |(_, id): &&(u64, SessionId)| !self.held[id].record.busy(now);
        let Some(&(used, id)) = self.order.iter().find(idle) else { return false };
        self.order.remove(&(used, id));
        if let (Some(held), false) = (self.held.remove(&id), terms.fault(Fault::Forgetful)) {
            // Whoever asks for it later hears that it may have been here.
            self.floor = self.floor.max(held.born);
        }
        self.life += 1;
        self.dropped += 1;
        true
    }

    fn hold(&mut self, id: SessionId, born: Ms, promised: FencingToken, record: SessionRecord) {
        self.held.insert(id, Held { born, promised, life: self.life, used: 0, record });
        self.touch(id);
    }

    /// What this seat answers, and to whom.
    pub fn hear(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        from: NodeId,
        msg: Message,
    ) -> Vec<(NodeId, Message)> {
        match msg {
            Message::Claim { id, born, fence, round } => {
                vec![(from, self.claim(terms, now, id, born, fence, round))]
            }
            Message::Install { id, born, fence, life, record } => {
                if let Some(held) = self.held.get(&id) {
                    let promised = held.promised;
                    return match promised > fence {
                        true => vec![(from, Message::Outranked { id, fence, promised })],
                        false => vec![],
                    };
                }
                if life != self.life {
                    return vec![(from, Message::Blank { id, fence, life: self.life })];
                }
                // Making room changes the life for others that wait, not for this one.
                if !self.room(terms, now) {
                    return vec![];
                }
                self.hold(id, born, fence, record);
                vec![(from, self.promise(id, fence, 0, None))]
            }
            Message::Write { id, fence, life, record } => {
                self.touch(id);
                match self.held.get_mut(&id).filter(|held| held.life == life) {
                    None => vec![(from, Message::Blank { id, fence, life: self.life })],
                    Some(held) if held.promised > fence && !terms.fault(Fault::StaleWrites) => {
                        vec![(from, Message::Outranked { id, fence, promised: held.promised })]
                    }
                    Some(held) => {
                        let attempt = record.entries.first().map_or(record.stamp, |entry| entry.attempt);
                        held.record.merge(&record);
                        held.record.age(now, terms.keep);
                        vec![(from, Message::Kept { id, fence, attempt })]
                    }
                }
            }
            Message::Told { id, entry } => self.told(from, id, entry),
            _ => vec![],
        }
    }

    fn promise(&self, id: SessionId, fence: FencingToken, round: u32, former: Option<NodeId>) -> Message {
        let held = &self.held[&id];
        Message::Promised { id, fence, round, life: held.life, former, record: held.record.clone() }
    }

    fn claim(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        id: SessionId,
        born: Ms,
        fence: FencingToken,
        round: u32,
    ) -> Message {
        if let Some(held) = self.held.get_mut(&id) {
            let before = held.promised;
            if before > fence {
                return Message::Outranked { id, fence, promised: before };
            }
            held.promised = fence;
            held.record.age(now, terms.keep);
            self.touch(id);
            return self.promise(id, fence, round, (before.node != fence.node).then_some(before.node));
        }
        if born <= self.floor && !terms.fault(Fault::Forgetful) {
            return Message::Blank { id, fence, life: self.life };
        }
        if !self.room(terms, now) {
            return Message::Full { id, fence };
        }
        self.hold(id, born, fence, SessionRecord::default());
        self.promise(id, fence, round, None)
    }

    fn told(&mut self, from: NodeId, id: SessionId, entry: IdempotencyEntry) -> Vec<(NodeId, Message)> {
        let Some(held) = self.held.get_mut(&id) else { return vec![] };
        held.record.put(&entry);
        let mut out = vec![(from, Message::Noted { id, attempt: entry.attempt })];
        if held.promised.node != from {
            out.push((held.promised.node, Message::News { id, entry }));
        }
        out
    }
}
