//! A site: a seat of some sessions, the owner of others.
use crate::owner::{Counters, Decision, IdempotentRequest, SessionOwner, SessionView};
use crate::replica::SessionReplica;
use crate::{Fault, Message, Ms, NodeId, Outcome, RequestId, SessionId};
use std::collections::VecDeque;

/// Times and sizes, from the operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinitySettings {
    /// Sessions held as a seat, and as many as an owner.
    pub sessions: usize,
    /// Confirmations of one session.
    pub keys: usize,
    /// For how long an answer is kept.
    pub keep: Ms,
    /// For how long other sites are waited for, before a confirmation is sent and after its answer came.
    pub wait: Ms,
    /// How often a claim that met a higher fence is made again under a still higher one, while requests wait.
    pub tries: u32,
    /// For how long after a session was let go only a confirmation claims it back: a late lookup does not.
    pub rest: Ms,
    /// How far clocks of two sites may be apart.
    pub skew: Ms,
    /// Longer bodies of answers are not kept; that they ran is.
    pub answer: usize,
    #[cfg(test)]
    pub(crate) fault: Option<Fault>,
}

impl Default for AffinitySettings {
    fn default() -> AffinitySettings {
        AffinitySettings {
            sessions: 20_000,
            keys: 64,
            keep: 600_000,
            wait: 500,
            tries: 3,
            rest: 1_000,
            skew: 2_000,
            answer: 16 * 1024,
            #[cfg(test)]
            fault: None,
        }
    }
}

impl AffinitySettings {
    /// What a site that starts at `now` can't be sure never to have held: sessions born before. Such a one may carry
    /// a later time, as the clock of its birthplace may be ahead and this one behind.
    pub fn floor(&self, now: Ms) -> Ms {
        now + 2 * self.skew
    }

    #[cfg(test)]
    pub(crate) fn fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    #[cfg(not(test))]
    pub(crate) fn fault(&self, _: Fault) -> bool {
        false
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    Send {
        to: NodeId,
        msg: Message,
    },
    /// Send it to a host now, once, and tell how that ended.
    Run {
        ticket: RequestId,
    },
    /// The outcome is kept, or has been waited for long enough: pass it on.
    Done {
        ticket: RequestId,
    },
    Answer {
        ticket: RequestId,
        reply: Decision,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AffinityNode {
    terms: AffinitySettings,
    seat: SessionReplica,
    desk: SessionOwner,
}

impl AffinityNode {
    /// `life` is a number that no earlier start of this site had; sessions born until `floor` may have been held
    /// by an earlier start.
    pub fn new(me: NodeId, terms: &AffinitySettings, life: u64, floor: Ms) -> AffinityNode {
        AffinityNode {
            terms: terms.clone(),
            seat: SessionReplica::new(life, floor),
            desk: SessionOwner::new(me, life),
        }
    }

    /// A confirmation or deposit has arrived.
    pub fn ask(&mut self, now: Ms, ask: IdempotentRequest) -> Vec<Output> {
        let out = self.desk.ask(&self.terms, now, ask);
        self.deliver(now, out)
    }

    /// Any other request of the session has arrived: it waits for nothing, and the session is claimed meanwhile.
    pub fn visit(&mut self, now: Ms, id: SessionId, born: Ms, seats: &[NodeId]) -> Vec<Output> {
        let out = self.desk.visit(&self.terms, now, id, born, seats);
        self.deliver(now, out)
    }

    /// How the sending ended that `Out::Run` allowed.
    pub fn ran(&mut self, now: Ms, ticket: RequestId, outcome: Outcome) -> Vec<Output> {
        let out = self.desk.ran(&self.terms, now, ticket, outcome);
        self.deliver(now, out)
    }

    /// The host that serves the session from now on.
    pub fn served(&mut self, now: Ms, id: SessionId, service: &str, host: &str) -> Vec<Output> {
        let out = self.desk.served(id, service, host);
        self.deliver(now, out)
    }

    pub fn hear(&mut self, now: Ms, from: NodeId, msg: Message) -> Vec<Output> {
        let out = self.take(now, from, msg);
        self.deliver(now, out)
    }

    /// Now and then, and often enough for waits to end in time.
    pub fn tick(&mut self, now: Ms) -> Vec<Output> {
        let out = self.desk.tick(&self.terms, now);
        self.deliver(now, out)
    }

    pub fn host(&self, id: SessionId, service: &str) -> Option<&str> {
        self.desk.host(id, service)
    }

    pub fn owns(&self, id: SessionId) -> bool {
        self.desk.owns(id)
    }

    pub fn counts(&self) -> Counters {
        Counters { dropped: self.seat.dropped, ..self.desk.counts.clone() }
    }

    /// Sessions held here as owner or seat.
    pub fn list(&self) -> Vec<SessionId> {
        let mut all: Vec<SessionId> = self.desk.ids().chain(self.seat.held.keys().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    pub fn show(&self, now: Ms, id: SessionId) -> Option<SessionView> {
        self.desk.show(now, id).or_else(|| {
            let held = self.seat.held.get(&id)?;
            Some(SessionView::of(id, false, held.promised, &held.record, now))
        })
    }

    /// Whether a message on its way here from `from` can never change anything that matters any more.
    #[cfg(test)]
    pub(crate) fn dead(&self, from: &AffinityNode, msg: &Message) -> bool {
        let held = |id: &SessionId| self.seat.held.get(id);
        match msg {
            Message::Claim { id, fence, .. } => {
                from.desk.past(id, fence) && held(id).is_some_and(|held| held.promised >= *fence)
            }
            Message::Write { id, fence, record, .. } => {
                let known = |held: &crate::replica::Held| record.entries.iter().all(|e| held.record.knows(e));
                from.desk.past(id, fence) && held(id).is_some_and(|h| h.promised > *fence || known(h))
            }
            Message::Told { id, entry } => held(id).is_some_and(|held| held.record.knows(entry)),
            _ => self.desk.dead(msg),
        }
    }

    #[cfg(test)]
    pub(crate) fn plain(&mut self) {
        self.seat.plain();
        self.desk.plain();
    }

    fn take(&mut self, now: Ms, from: NodeId, msg: Message) -> Vec<Output> {
        use Message::*;
        match msg {
            Claim { .. } | Install { .. } | Write { .. } | Told { .. } => {
                let said = self.seat.hear(&self.terms, now, from, msg);
                said.into_iter().map(|(to, msg)| Output::Send { to, msg }).collect()
            }
            _ => self.desk.hear(&self.terms, now, from, msg),
        }
    }

    /// What goes to this site itself is taken at once.
    fn deliver(&mut self, now: Ms, first: Vec<Output>) -> Vec<Output> {
        let (mut queue, mut out): (VecDeque<Output>, _) = (first.into(), vec![]);
        while let Some(next) = queue.pop_front() {
            match next {
                Output::Send { to, msg } if to == self.desk.me => queue.extend(self.take(now, to, msg)),
                other => out.push(other),
            }
        }
        out
    }
}
