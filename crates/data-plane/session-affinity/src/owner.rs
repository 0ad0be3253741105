//! A site as the owner of sessions: claims, sendings, answers.
use crate::node::{AffinitySettings, Output};
use crate::{
    AttemptId, EntryState, Fault, FencingToken, IdempotencyEntry, Message, Ms, NodeId, Outcome,
    RecordedResponse, RequestId, SessionId, SessionRecord,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A confirmation or deposit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotentRequest {
    pub ticket: RequestId,
    pub id: SessionId,
    pub born: Ms,
    pub seats: Vec<NodeId>,
    pub key: String,
    pub print: u64,
    /// When its time is up, and with it the time to tell how it ended.
    pub until: Ms,
}

/// What a confirmation gets that is not sent to a host now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The answer of the first.
    Kept(RecordedResponse),
    /// It ran; its answer is no longer kept.
    Past,
    /// It is under way, here or at the site before.
    UnderWay,
    /// It may have run, and nobody knows.
    Unknown,
    /// Another request went under this key.
    Other,
    /// It has not run; come back soon.
    NotNow,
    /// The session is no longer known to enough sites: this has not run, and will not under this session.
    Forgotten,
    /// The session has had as many confirmations as it may: this has not run.
    Spent,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    pub claims: u64,
    /// Claims that took a session over from another site.
    pub crossings: u64,
    /// Sessions let go to another site.
    pub let_go: u64,
    /// Requests that had to wait for a claim.
    pub waits: u64,
    pub sent: u64,
    pub repeats_answered: u64,
    pub under_way: u64,
    pub other_body: u64,
    pub unknown: u64,
    /// Refused with the promise that it has not run.
    pub refused: u64,
    pub forgotten: u64,
    /// Seats filled again after a loss.
    pub healed: u64,
    /// Sessions dropped for room.
    pub dropped: u64,
}

/// A session as people see it: no token, no key, no body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionView {
    pub id: String,
    pub owner: bool,
    pub fence: FencingToken,
    pub hosts: Vec<(String, String)>,
    /// A print of each key, how it stands, and for how long.
    pub confirmations: Vec<(String, String, Ms)>,
}

impl SessionView {
    pub(crate) fn of(
        id: SessionId,
        owner: bool,
        fence: FencingToken,
        record: &SessionRecord,
        now: Ms,
    ) -> SessionView {
        let one = |entry: &IdempotencyEntry| {
            let stands = match &entry.state {
                EntryState::Open { until } if now < *until => "under way".into(),
                EntryState::Open { .. } | EntryState::Unknown => "unknown".into(),
                EntryState::NotRun => "not run".into(),
                EntryState::Past => "ran, answer dropped".into(),
                EntryState::Ran(answer) => format!("ran, {}", answer.status),
            };
            (
                format!("{:016x}", crate::token::fingerprint(&[entry.key.as_bytes()])),
                stands,
                now.saturating_sub(entry.at),
            )
        };
        let confirmations = record.entries.iter().map(one).collect();
        SessionView { id: id.to_string(), owner, fence, hosts: record.hosts.clone(), confirmations }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sending {
    ticket: RequestId,
    key: String,
    print: u64,
    attempt: AttemptId,
    /// When the wait ends that is under way.
    wait: Ms,
    until: Ms,
    /// Seats that have the last word on it.
    at: Vec<NodeId>,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Being entered at the seats; no host has it.
    Entering,
    Running,
    /// Its end is being told to the seats.
    Telling,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Mine {
    born: Ms,
    seats: Vec<NodeId>,
    fence: FencingToken,
    /// Seats that promised this fence, and in which life.
    promised: Vec<(NodeId, u64)>,
    /// Seats that told that they are blank, when (in rounds), and in which life.
    blank: Vec<(NodeId, u64)>,
    round: u32,
    /// Seats that promised in this round.
    fresh: Vec<NodeId>,
    refused: Vec<NodeId>,
    owned: bool,
    /// Claimed by another since: only what is under way keeps it here.
    gone: bool,
    seq: u32,
    tries: u32,
    record: SessionRecord,
    waiting: Vec<(IdempotentRequest, Ms)>,
    sendings: Vec<Sending>,
    used: u64,
}

impl Mine {
    fn majority(&self) -> usize {
        coppersail_consensus::majority(self.seats.len())
    }

    fn idle(&self) -> bool {
        self.waiting.is_empty() && self.sendings.is_empty()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SessionOwner {
    pub me: NodeId,
    mine: BTreeMap<SessionId, Mine>,
    tickets: BTreeMap<RequestId, SessionId>,
    /// By last use.
    order: BTreeSet<(u64, SessionId)>,
    uses: u64,
    /// Those for which something is waited for.
    busy: BTreeSet<SessionId>,
    /// Sessions that were let go, and when.
    left: BTreeMap<SessionId, Ms>,
    start: u64,
    /// The highest number that this start has claimed under: no fence is used twice.
    last: u64,
    pub counts: Counters,
}

impl SessionOwner {
    pub fn new(me: NodeId, start: u64) -> SessionOwner {
        SessionOwner {
            me,
            mine: BTreeMap::new(),
            tickets: BTreeMap::new(),
            order: BTreeSet::new(),
            uses: 0,
            busy: BTreeSet::new(),
            left: BTreeMap::new(),
            start,
            last: 0,
            counts: Counters::default(),
        }
    }

    pub fn ids(&self) -> impl Iterator<Item = SessionId> + '_ {
        self.mine.keys().copied()
    }

    pub fn owns(&self, id: SessionId) -> bool {
        self.mine.get(&id).is_some_and(|mine| mine.owned && !mine.gone)
    }

    pub fn host(&self, id: SessionId, service: &str) -> Option<&str> {
        let record = &self.mine.get(&id)?.record;
        record.hosts.iter().find(|(name, _)| name == service).map(|(_, host)| host.as_str())
    }

    pub fn show(&self, now: Ms, id: SessionId) -> Option<SessionView> {
        let mine = self.mine.get(&id).filter(|mine| mine.owned)?;
        Some(SessionView::of(id, !mine.gone, mine.fence, &mine.record, now))
    }

    /// Whether this can never change anything any more.
    #[cfg(test)]
    pub fn dead(&self, msg: &Message) -> bool {
        let at = |id: &SessionId, fence: &FencingToken| {
            self.mine.get(id).is_some_and(|m| m.fence == *fence && !m.gone)
        };
        match msg {
            Message::Promised { id, fence, .. }
            | Message::Blank { id, fence, .. }
            | Message::Outranked { id, fence, .. }
            | Message::Full { id, fence } => !at(id, fence),
            Message::Kept { id, fence, attempt } => {
                let waits = |s: &Sending| s.attempt == *attempt && s.phase == Phase::Entering;
                !at(id, fence) || !self.mine[id].sendings.iter().any(waits)
            }
            Message::LetGo { id, fence } => self.mine.get(id).is_none_or(|mine| mine.fence >= *fence),
            Message::News { id, entry } => self.mine.get(id).is_none_or(|mine| mine.record.knows(entry)),
            _ => false,
        }
    }

    /// Whether what a seat would say to this no longer matters here.
    #[cfg(test)]
    pub fn past(&self, id: &SessionId, fence: &FencingToken) -> bool {
        self.mine.get(id).is_none_or(|mine| mine.fence != *fence || mine.gone)
    }

    #[cfg(test)]
    pub fn plain(&mut self) {
        let order = std::mem::take(&mut self.order);
        for (rank, (_, id)) in order.into_iter().enumerate() {
            self.order.insert((rank as u64, id));
            self.mine.get_mut(&id).expect("ordered").used = rank as u64;
        }
        (self.uses, self.counts) = (self.order.len() as u64, Counters::default());
    }

    fn remove(&mut self, id: SessionId) {
        if let Some(mine) = self.mine.remove(&id) {
            self.order.remove(&(mine.used, id));
        }
        self.busy.remove(&id);
    }

    /// Begins a claim where none is under way and the session is not owned.
    fn begin(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        id: SessionId,
        born: Ms,
        seats: &[NodeId],
    ) -> Vec<Output> {
        self.uses += 1;
        if let Some(mine) = self.mine.get_mut(&id) {
            self.order.remove(&(mine.used, id));
            mine.used = self.uses;
            self.order.insert((mine.used, id));
            if !mine.gone {
                return vec![];
            }
            // It comes back before what was under way has ended.
            return self.claim(id, now);
        }
        if self.mine.len() >= terms.sessions {
            // What an owner has of an idle session, the seats have too.
            let idle = |(_, id): &&(u64, SessionId)| !self.busy.contains(id);
            if let Some(&(_, id)) = self.order.iter().find(idle) {
                self.remove(id);
            }
        }
        let mine = Mine {
            born,
            seats: seats.to_vec(),
            fence: FencingToken::default(),
            promised: vec![],
            blank: vec![],
            round: 0,
            fresh: vec![],
            refused: vec![],
            owned: false,
            gone: false,
            seq: 0,
            tries: 0,
            record: SessionRecord::default(),
            waiting: vec![],
            sendings: vec![],
            used: self.uses,
        };
        self.mine.insert(id, mine);
        self.order.insert((self.uses, id));
        self.claim(id, now)
    }

    /// Under a fence with that number or a higher one.
    fn claim(&mut self, id: SessionId, n: u64) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        self.counts.claims += 1;
        self.last = n.max(self.last + 1);
        let fence = FencingToken { number: self.last, node: self.me, start: self.start };
        (mine.fence, mine.owned, mine.gone) = (fence, false, false);
        mine.seq = 0;
        mine.promised.clear();
        mine.blank.clear();
        mine.refused.clear();
        self.call(id)
    }

    /// Asks all seats (again): what they promise from here on, they have promised after all that was heard.
    fn call(&mut self, id: SessionId) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        mine.round += 1;
        mine.fresh.clear();
        let msg = Message::Claim { id, born: mine.born, fence: mine.fence, round: mine.round };
        mine.seats.iter().map(|&to| Output::Send { to, msg: msg.clone() }).collect()
    }

    pub fn visit(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        id: SessionId,
        born: Ms,
        seats: &[NodeId],
    ) -> Vec<Output> {
        let back = self.left.get(&id).is_some_and(|at| now < at + terms.rest);
        if back && !self.mine.contains_key(&id) {
            return vec![];
        }
        self.begin(terms, now, id, born, seats)
    }

    pub fn ask(&mut self, terms: &AffinitySettings, now: Ms, ask: IdempotentRequest) -> Vec<Output> {
        let (id, wait) = (ask.id, (now + terms.wait).min(ask.until));
        let mut out = self.begin(terms, now, id, ask.born, &ask.seats);
        self.busy.insert(id);
        let Some(mine) = self.mine.get_mut(&id) else { return out };
        if !mine.owned {
            self.counts.waits += 1;
            let alone = mine.waiting.is_empty() && out.is_empty();
            mine.waiting.push((ask, wait));
            // A claim that a lookup began may have been lost.
            return if alone { self.call(id) } else { out };
        }
        out.extend(self.decide(terms, now, ask));
        out
    }

    fn answer(&mut self, ticket: RequestId, reply: Decision) -> Output {
        let count = match reply {
            Decision::Kept(_) | Decision::Past => &mut self.counts.repeats_answered,
            Decision::UnderWay => &mut self.counts.under_way,
            Decision::Unknown => &mut self.counts.unknown,
            Decision::Other => &mut self.counts.other_body,
            Decision::NotNow | Decision::Spent => &mut self.counts.refused,
            Decision::Forgotten => &mut self.counts.forgotten,
        };
        *count += 1;
        Output::Answer { ticket, reply }
    }

    /// A confirmation of a session that is owned.
    fn decide(&mut self, terms: &AffinitySettings, now: Ms, ask: IdempotentRequest) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&ask.id) else { return vec![] };
        mine.record.age(now, terms.keep);
        let held = mine.record.entry(&ask.key);
        let running = mine.sendings.iter().any(|sending| sending.key == ask.key);
        let reply = match held.map(|entry| (entry, &entry.state)) {
            Some((entry, _)) if entry.fingerprint != ask.print => Some(Decision::Other),
            Some((_, EntryState::Ran(answer))) => Some(Decision::Kept(answer.clone())),
            Some((_, EntryState::Past)) => Some(Decision::Past),
            _ if running => Some(Decision::UnderWay),
            Some((_, EntryState::Unknown | EntryState::Open { .. })) if terms.fault(Fault::SentAgain) => None,
            Some((_, EntryState::Unknown)) => Some(Decision::Unknown),
            Some((_, EntryState::Open { until })) if now >= *until => Some(Decision::Unknown),
            Some((_, EntryState::Open { .. })) => {
                // The site before has it under way; what the seats have heard since helps the next repeat.
                let mut out = self.call(ask.id);
                out.push(self.answer(ask.ticket, Decision::UnderWay));
                return out;
            }
            None if mine.record.entries.len() >= terms.keys => Some(Decision::Spent),
            Some((_, EntryState::NotRun)) | None => None,
        };
        if let Some(reply) = reply {
            return vec![self.answer(ask.ticket, reply)];
        }
        mine.seq += 1;
        let attempt = (mine.fence, mine.seq);
        let entry = IdempotencyEntry {
            key: ask.key.clone(),
            fingerprint: ask.print,
            attempt,
            state: EntryState::Open { until: ask.until },
            at: now,
        };
        mine.record.put(&entry);
        mine.sendings.push(Sending {
            ticket: ask.ticket,
            key: ask.key,
            print: ask.print,
            attempt,
            wait: (now + terms.wait).min(ask.until),
            until: ask.until,
            at: vec![],
            phase: Phase::Entering,
        });
        self.tickets.insert(ask.ticket, ask.id);
        self.write(ask.id, vec![entry])
    }

    /// To the seats that promised: others may have promised another since.
    fn write(&self, id: SessionId, entries: Vec<IdempotencyEntry>) -> Vec<Output> {
        let Some(mine) = self.mine.get(&id) else { return vec![] };
        let record = SessionRecord { hosts: mine.record.hosts.clone(), stamp: mine.record.stamp, entries };
        let one = |&(to, life): &(NodeId, u64)| Output::Send {
            to,
            msg: Message::Write { id, fence: mine.fence, life, record: record.clone() },
        };
        mine.promised.iter().map(one).collect()
    }

    pub fn served(&mut self, id: SessionId, service: &str, host: &str) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| !mine.gone) else { return vec![] };
        match mine.record.hosts.iter_mut().find(|(name, _)| name == service) {
            Some((_, had)) if had == host => return vec![],
            Some((_, had)) => *had = host.into(),
            None => mine.record.hosts.push((service.into(), host.into())),
        }
        self.stamp(id)
    }

    /// Tells the seats of the session's hosts. What is learnt during a claim waits for its end, and yields to what
    /// the seats know.
    fn stamp(&mut self, id: SessionId) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| mine.owned) else { return vec![] };
        mine.seq += 1;
        mine.record.stamp = (mine.fence, mine.seq);
        self.write(id, vec![])
    }

    pub fn ran(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        ticket: RequestId,
        outcome: Outcome,
    ) -> Vec<Output> {
        let Some(id) = self.tickets.get(&ticket).copied() else { return vec![] };
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        let Some(sending) = mine.sendings.iter_mut().find(|sending| sending.ticket == ticket) else {
            return vec![];
        };
        let step = match outcome {
            Outcome::Ran(answer) if answer.body.len() > terms.answer => EntryState::Past,
            Outcome::Ran(answer) => EntryState::Ran(answer),
            Outcome::RanLong => EntryState::Past,
            Outcome::NotRun => EntryState::NotRun,
            Outcome::Unknown => EntryState::Unknown,
        };
        (sending.phase, sending.wait) = (Phase::Telling, now + terms.wait);
        sending.at.clear();
        let (key, print, attempt) = (sending.key.clone(), sending.print, sending.attempt);
        let entry = IdempotencyEntry { key, fingerprint: print, attempt, state: step, at: now };
        self.tell(id, entry)
    }

    /// A fact, for all seats and whatever they have promised.
    fn tell(&mut self, id: SessionId, entry: IdempotencyEntry) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        mine.record.put(&entry);
        let msg = Message::Told { id, entry };
        mine.seats.iter().map(|&to| Output::Send { to, msg: msg.clone() }).collect()
    }

    pub fn hear(&mut self, terms: &AffinitySettings, now: Ms, from: NodeId, msg: Message) -> Vec<Output> {
        match msg {
            Message::Promised { id, fence, round, life, former, record } => {
                self.promised(terms, now, from, (id, fence), (round, life), former, &record)
            }
            Message::Blank { id, fence, life } => self.blank(now, from, id, fence, life),
            Message::Outranked { id, fence, promised } => {
                self.outranked(terms, now, from, id, fence, promised)
            }
            Message::Full { id, fence } => self.outranked(terms, now, from, id, fence, fence),
            Message::Kept { id, fence, attempt } => self.kept(terms, now, from, id, fence, attempt),
            Message::Noted { id, attempt } => self.noted(from, id, attempt),
            Message::News { id, entry } => {
                if let Some(mine) = self.mine.get_mut(&id) {
                    mine.record.put(&entry);
                }
                vec![]
            }
            Message::LetGo { id, fence } => {
                let after = self.mine.get(&id).is_some_and(|mine| fence > mine.fence);
                if !after {
                    return vec![];
                }
                self.lose(now, id)
            }
            _ => vec![],
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn promised(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        from: NodeId,
        (id, fence): (SessionId, FencingToken),
        (round, life): (u32, u64),
        former: Option<NodeId>,
        record: &SessionRecord,
    ) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| mine.fence == fence && !mine.gone) else {
            return vec![];
        };
        mine.record.merge(record);
        if !terms.fault(Fault::CountedTwice) {
            mine.promised.retain(|(place, _)| *place != from);
        }
        mine.promised.push((from, life));
        mine.refused.retain(|place| *place != from);
        let healed = round == 0;
        if healed {
            mine.blank.retain(|(place, _)| *place != from);
        }
        if round == mine.round && !mine.fresh.contains(&from) {
            mine.fresh.push(from);
        }
        let mut out = vec![];
        if let Some(former) = former {
            out.push(Output::Send { to: former, msg: Message::LetGo { id, fence } });
        }
        if healed {
            self.counts.healed += 1;
        }
        if !mine.owned && mine.promised.len() >= mine.majority() {
            (mine.owned, mine.tries) = (true, 0);
            if former.is_some() {
                self.counts.crossings += 1;
            }
            let waiting = std::mem::take(&mut mine.waiting);
            if !mine.record.hosts.is_empty() && mine.record.stamp == AttemptId::default() {
                out.extend(self.stamp(id));
            }
            for (ask, _) in waiting {
                out.extend(self.decide(terms, now, ask));
            }
        }
        out.extend(self.heal(id));
        out
    }

    /// Fills a blank seat once all others have promised this fence after it told that it is blank.
    fn heal(&mut self, id: SessionId) -> Vec<Output> {
        let Some(mine) = self.mine.get(&id).filter(|mine| mine.owned && !mine.gone) else { return vec![] };
        let [(blank, life)] = mine.blank[..] else { return vec![] };
        if !mine.seats.iter().filter(|seat| **seat != blank).all(|seat| mine.fresh.contains(seat)) {
            return vec![];
        }
        let record = mine.record.clone();
        let msg = Message::Install { id, born: mine.born, fence: mine.fence, life, record };
        vec![Output::Send { to: blank, msg }]
    }

    fn blank(&mut self, now: Ms, from: NodeId, id: SessionId, fence: FencingToken, life: u64) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| mine.fence == fence && !mine.gone) else {
            return vec![];
        };
        let known = mine.blank.contains(&(from, life));
        mine.promised.retain(|(place, _)| *place != from);
        mine.blank.retain(|(place, _)| *place != from);
        mine.blank.push((from, life));
        if mine.seats.len() - mine.blank.len() < mine.majority() {
            return self.give_up(now, id, Decision::Forgotten);
        }
        if mine.owned && mine.promised.len() < mine.majority() {
            return self.lose(now, id);
        }
        // Once for each time that it is blank anew; with a single seat there is nobody to fill it from.
        if known || mine.blank.len() > 1 {
            return vec![];
        }
        self.call(id)
    }

    fn outranked(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        from: NodeId,
        id: SessionId,
        fence: FencingToken,
        promised: FencingToken,
    ) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| mine.fence == fence && !mine.gone) else {
            return vec![];
        };
        mine.promised.retain(|(place, _)| *place != from);
        if !mine.refused.contains(&from) {
            mine.refused.push(from);
        }
        if mine.owned {
            if mine.promised.len() < mine.majority() {
                return self.lose(now, id);
            }
            return vec![];
        }
        if promised > fence && mine.tries < terms.tries {
            mine.tries += 1;
            return self.claim(id, now.max(promised.number + 1));
        }
        if mine.seats.len() - mine.refused.len() < mine.majority() {
            return self.give_up(now, id, Decision::NotNow);
        }
        vec![]
    }

    fn kept(
        &mut self,
        terms: &AffinitySettings,
        now: Ms,
        from: NodeId,
        id: SessionId,
        fence: FencingToken,
        attempt: AttemptId,
    ) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id).filter(|mine| mine.fence == fence) else { return vec![] };
        let need = if terms.fault(Fault::OneCopy) { 1 } else { mine.majority() };
        let Some(sending) = mine.sendings.iter_mut().find(|sending| sending.attempt == attempt) else {
            return vec![];
        };
        let twice = sending.at.contains(&from) && !terms.fault(Fault::CountedTwice);
        if sending.phase != Phase::Entering || twice {
            return vec![];
        }
        sending.at.push(from);
        if sending.at.len() < need || now >= sending.wait {
            return vec![];
        }
        sending.phase = Phase::Running;
        let ticket = sending.ticket;
        self.counts.sent += 1;
        vec![Output::Run { ticket }]
    }

    fn noted(&mut self, from: NodeId, id: SessionId, attempt: AttemptId) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        let need = mine.majority();
        let Some(at) = mine.sendings.iter().position(|sending| sending.attempt == attempt) else {
            return vec![];
        };
        let sending = &mut mine.sendings[at];
        if sending.phase != Phase::Telling || sending.at.contains(&from) {
            return vec![];
        }
        sending.at.push(from);
        match sending.at.len() >= need {
            true => self.done(id, at),
            false => vec![],
        }
    }

    fn done(&mut self, id: SessionId, at: usize) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        let ticket = mine.sendings.remove(at).ticket;
        self.tickets.remove(&ticket);
        if mine.gone && mine.idle() {
            self.remove(id);
        }
        vec![Output::Done { ticket }]
    }

    /// Another site has it: what waits is refused, what is under way ends here and is told.
    fn lose(&mut self, now: Ms, id: SessionId) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        if !std::mem::replace(&mut mine.gone, true) && mine.owned {
            self.counts.let_go += 1;
            self.left.insert(id, now);
        }
        self.give_up(now, id, Decision::NotNow)
    }

    /// Ends what was not sent.
    fn give_up(&mut self, now: Ms, id: SessionId, reply: Decision) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        mine.gone = true;
        let waiting = std::mem::take(&mut mine.waiting);
        let mut out: Vec<Output> =
            waiting.iter().map(|(ask, _)| self.answer(ask.ticket, reply.clone())).collect();
        out.extend(self.unsent(now, id, Ms::MAX));
        if self.mine.get(&id).is_some_and(Mine::idle) {
            self.remove(id);
        }
        out
    }

    /// Ends sendings that waited for the seats until `now`: never sent, and never to be.
    fn unsent(&mut self, now: Ms, id: SessionId, over: Ms) -> Vec<Output> {
        let Some(mine) = self.mine.get_mut(&id) else { return vec![] };
        let ended = |sending: &Sending| sending.phase == Phase::Entering && sending.wait <= over;
        let (ended, left) = std::mem::take(&mut mine.sendings).into_iter().partition::<Vec<_>, _>(ended);
        mine.sendings = left;
        let mut out = vec![];
        for Sending { ticket, key, print, attempt, .. } in ended {
            out.extend(self.tell(
                id,
                IdempotencyEntry { key, fingerprint: print, attempt, state: EntryState::NotRun, at: now },
            ));
            self.tickets.remove(&ticket);
            out.push(self.answer(ticket, Decision::NotNow));
        }
        out
    }

    pub fn tick(&mut self, terms: &AffinitySettings, now: Ms) -> Vec<Output> {
        let mut out = vec![];
        self.left.retain(|_, at| now < *at + terms.rest);
        for id in self.busy.iter().copied().collect::<Vec<SessionId>>() {
            out.extend(self.unsent(now, id, now));
            let Some(mine) = self.mine.get_mut(&id) else { continue };
            let over = |sending: &Sending| sending.phase == Phase::Telling && sending.wait <= now;
            let told: Vec<AttemptId> = mine.sendings.iter().filter(|s| over(s)).map(|s| s.attempt).collect();
            let (ended, left) = std::mem::take(&mut mine.waiting)
                .into_iter()
                .partition::<Vec<_>, _>(|(_, wait)| *wait <= now);
            mine.waiting = left;
            let unowned = !mine.owned && mine.waiting.is_empty() && !ended.is_empty();
            for (ask, _) in ended {
                out.push(self.answer(ask.ticket, Decision::NotNow));
            }
            for attempt in told {
                let at =
                    self.mine.get(&id).and_then(|m| m.sendings.iter().position(|s| s.attempt == attempt));
                if let Some(at) = at {
                    out.extend(self.done(id, at));
                }
            }
            if self.mine.get(&id).is_none_or(Mine::idle) {
                self.busy.remove(&id);
            }
            // A claim that nobody waits for any more is made anew when the session is asked for.
            if unowned {
                if let Some(mine) = self.mine.get_mut(&id) {
                    mine.gone = true;
                    if mine.idle() {
                        self.remove(id);
                    }
                }
            }
        }
        out
    }
}
