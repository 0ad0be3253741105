//! A site: a seat of some sessions, the owner of others.
use crate::desk::{Ask, Counts, Desk, Reply, Shown};
use crate::seat::Seat;
use crate::{Fault, Id, Ms, Msg, Outcome, Place, Ticket};
use std::collections::VecDeque;

/// Times and sizes, from the operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Terms {
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

impl Default for Terms {
    fn default() -> Terms {
        Terms {
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

impl Terms {
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
pub enum Out {
    Send {
        to: Place,
        msg: Msg,
    },
    /// Send it to a host now, once, and tell how that ended.
    Run {
        ticket: Ticket,
    },
    /// The outcome is kept, or has been waited for long enough: pass it on.
    Done {
        ticket: Ticket,
    },
    Answer {
        ticket: Ticket,
        reply: Reply,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Site {
    terms: Terms,
    seat: Seat,
    desk: Desk,
}

impl Site {
    /// `life` is a number that no earlier start of this site had; sessions born until `floor` may have been held
    /// by an earlier start.
    pub fn new(me: Place, terms: &Terms, life: u64, floor: Ms) -> Site {
        Site { terms: terms.clone(), seat: Seat::new(life, floor), desk: Desk::new(me, life) }
    }

    /// A confirmation or deposit has arrived.
    pub fn ask(&mut self, now: Ms, ask: Ask) -> Vec<Out> {
        let out = self.desk.ask(&self.terms, now, ask);
        self.deliver(now, out)
    }

    /// Any other request of the session has arrived: it waits for nothing, and the session is claimed meanwhile.
    pub fn visit(&mut self, now: Ms, id: Id, born: Ms, seats: &[Place]) -> Vec<Out> {
        let out = self.desk.visit(&self.terms, now, id, born, seats);
        self.deliver(now, out)
    }

    /// How the sending ended that `Out::Run` allowed.
    pub fn ran(&mut self, now: Ms, ticket: Ticket, outcome: Outcome) -> Vec<Out> {
        let out = self.desk.ran(&self.terms, now, ticket, outcome);
        self.deliver(now, out)
    }

    /// The host that serves the session from now on.
    pub fn served(&mut self, now: Ms, id: Id, service: &str, host: &str) -> Vec<Out> {
        let out = self.desk.served(id, service, host);
        self.deliver(now, out)
    }

    pub fn hear(&mut self, now: Ms, from: Place, msg: Msg) -> Vec<Out> {
        let out = self.take(now, from, msg);
        self.deliver(now, out)
    }

    /// Now and then, and often enough for waits to end in time.
    pub fn tick(&mut self, now: Ms) -> Vec<Out> {
        let out = self.desk.tick(&self.terms, now);
        self.deliver(now, out)
    }

    pub fn host(&self, id: Id, service: &str) -> Option<&str> {
        self.desk.host(id, service)
    }

    pub fn owns(&self, id: Id) -> bool {
        self.desk.owns(id)
    }

    pub fn counts(&self) -> Counts {
        Counts { dropped: self.seat.dropped, ..self.desk.counts.clone() }
    }

    /// Sessions held here as owner or seat.
    pub fn list(&self) -> Vec<Id> {
        let mut all: Vec<Id> = self.desk.ids().chain(self.seat.held.keys().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    pub fn show(&self, now: Ms, id: Id) -> Option<Shown> {
        self.desk.show(now, id).or_else(|| {
            let held = self.seat.held.get(&id)?;
            Some(Shown::of(id, false, held.promised, &held.record, now))
        })
    }

    /// Whether a message on its way here from `from` can never change anything that matters any more.
    #[cfg(test)]
    pub(crate) fn dead(&self, from: &Site, msg: &Msg) -> bool {
        let held = |id: &Id| self.seat.held.get(id);
        match msg {
            Msg::Claim { id, fence, .. } => {
                from.desk.past(id, fence) && held(id).is_some_and(|held| held.promised >= *fence)
            }
            Msg::Write { id, fence, record, .. } => {
                let known = |held: &crate::seat::Held| record.entries.iter().all(|e| held.record.knows(e));
                from.desk.past(id, fence) && held(id).is_some_and(|h| h.promised > *fence || known(h))
            }
            Msg::Told { id, entry } => held(id).is_some_and(|held| held.record.knows(entry)),
            _ => self.desk.dead(msg),
        }
    }

    #[cfg(test)]
    pub(crate) fn plain(&mut self) {
        self.seat.plain();
        self.desk.plain();
    }

    fn take(&mut self, now: Ms, from: Place, msg: Msg) -> Vec<Out> {
        use Msg::*;
        match msg {
            Claim { .. } | Install { .. } | Write { .. } | Told { .. } => {
                let said = self.seat.hear(&self.terms, now, from, msg);
                said.into_iter().map(|(to, msg)| Out::Send { to, msg }).collect()
            }
            _ => self.desk.hear(&self.terms, now, from, msg),
        }
    }

    /// What goes to this site itself is taken at once.
    fn deliver(&mut self, now: Ms, first: Vec<Out>) -> Vec<Out> {
        let (mut queue, mut out): (VecDeque<Out>, _) = (first.into(), vec![]);
        while let Some(next) = queue.pop_front() {
            match next {
                Out::Send { to, msg } if to == self.desk.me => queue.extend(self.take(now, to, msg)),
                other => out.push(other),
            }
        }
        out
    }
}
