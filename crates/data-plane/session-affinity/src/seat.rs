//! A site as one of the seats that keep sessions.
use crate::site::Terms;
use crate::{Entry, Fault, Fence, Id, Ms, Msg, Place, Record};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub born: Ms,
    pub promised: Fence,
    /// Changes whenever this seat may have forgotten the session in between.
    life: u64,
    used: u64,
    pub record: Record,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Seat {
    pub held: BTreeMap<Id, Held>,
    /// By last use.
    order: BTreeSet<(u64, Id)>,
    uses: u64,
    /// What is not held and was born until then may have been held before.
    floor: Ms,
    life: u64,
    pub dropped: u64,
}

impl Seat {
    /// `life` is one that no earlier start of this site had.
    pub fn new(life: u64, floor: Ms) -> Seat {
        Seat { held: BTreeMap::new(), order: BTreeSet::new(), uses: 0, floor, life, dropped: 0 }
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

    fn touch(&mut self, id: Id) {
        self.uses += 1;
        if let Some(held) = self.held.get_mut(&id) {
            self.order.remove(&(held.used, id));
            held.used = self.uses;
            self.order.insert((self.uses, id));
        }
    }

    /// Makes room by dropping what was not used for the longest; never an open confirmation.
    fn room(&mut self, terms: &Terms, now: Ms) -> bool {
        if self.held.len() < terms.sessions {
            return true;
        }
        let idle = |(_, id): &&(u64, Id)| !self.held[id].record.busy(now);
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

    fn hold(&mut self, id: Id, born: Ms, promised: Fence, record: Record) {
        self.held.insert(id, Held { born, promised, life: self.life, used: 0, record });
        self.touch(id);
    }

    /// What this seat answers, and to whom.
    pub fn hear(&mut self, terms: &Terms, now: Ms, from: Place, msg: Msg) -> Vec<(Place, Msg)> {
        match msg {
            Msg::Claim { id, born, fence, round } => {
                vec![(from, self.claim(terms, now, id, born, fence, round))]
            }
            Msg::Install { id, born, fence, life, record } => {
                if let Some(held) = self.held.get(&id) {
                    let promised = held.promised;
                    return match promised > fence {
                        true => vec![(from, Msg::Outranked { id, fence, promised })],
                        false => vec![],
                    };
                }
                if life != self.life {
                    return vec![(from, Msg::Blank { id, fence, life: self.life })];
                }
                // Making room changes the life for others that wait, not for this one.
                if !self.room(terms, now) {
                    return vec![];
                }
                self.hold(id, born, fence, record);
                vec![(from, self.promise(id, fence, 0, None))]
            }
            Msg::Write { id, fence, life, record } => {
                self.touch(id);
                match self.held.get_mut(&id).filter(|held| held.life == life) {
                    None => vec![(from, Msg::Blank { id, fence, life: self.life })],
                    Some(held) if held.promised > fence && !terms.fault(Fault::StaleWrites) => {
                        vec![(from, Msg::Outranked { id, fence, promised: held.promised })]
                    }
                    Some(held) => {
                        let attempt = record.entries.first().map_or(record.stamp, |entry| entry.attempt);
                        held.record.merge(&record);
                        held.record.age(now, terms.keep);
                        vec![(from, Msg::Kept { id, fence, attempt })]
                    }
                }
            }
            Msg::Told { id, entry } => self.told(from, id, entry),
            _ => vec![],
        }
    }

    fn promise(&self, id: Id, fence: Fence, round: u32, former: Option<Place>) -> Msg {
        let held = &self.held[&id];
        Msg::Promised { id, fence, round, life: held.life, former, record: held.record.clone() }
    }

    fn claim(&mut self, terms: &Terms, now: Ms, id: Id, born: Ms, fence: Fence, round: u32) -> Msg {
        if let Some(held) = self.held.get_mut(&id) {
            let before = held.promised;
            if before > fence {
                return Msg::Outranked { id, fence, promised: before };
            }
            held.promised = fence;
            held.record.age(now, terms.keep);
            self.touch(id);
            return self.promise(id, fence, round, (before.by != fence.by).then_some(before.by));
        }
        if born <= self.floor && !terms.fault(Fault::Forgetful) {
            return Msg::Blank { id, fence, life: self.life };
        }
        if !self.room(terms, now) {
            return Msg::Full { id, fence };
        }
        self.hold(id, born, fence, Record::default());
        self.promise(id, fence, round, None)
    }

    fn told(&mut self, from: Place, id: Id, entry: Entry) -> Vec<(Place, Msg)> {
        let Some(held) = self.held.get_mut(&id) else { return vec![] };
        held.record.put(&entry);
        let mut out = vec![(from, Msg::Noted { id, attempt: entry.attempt })];
        if held.promised.by != from {
            out.push((held.promised.by, Msg::News { id, entry }));
        }
        out
    }
}
