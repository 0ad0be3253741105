//! The one ordered queue of calls to the relay. A call goes out when the one before it is settled: answered, or
//! repeated until it is, as every order sets a state and twice is the same as once but for the lines it costs.

use super::{Effect, LinkId, Out};
use coppersail::interface::Call::{TurnedAway, Written};
use coppersail::interface::{HostId, Input, MarkId, RouteId, SliceId};
use coppersail_protocol::relay::{self, Answer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::Level;

/// The relay answers within 50 ms or never; twice that, as the director's own machine may be slow.
const ANSWER_MOST: f64 = 0.1;
/// The relay closes idle connections after some seconds; one this long idle is not trusted with a call.
const IDLE_MOST: f64 = 1.0;
/// Between tries to reach a relay that can't be reached, or that turns calls away.
const PAUSE: f64 = 0.1;
/// Before a call's second repeat, and more before each further one: a silent relay may still hold every
/// connection that we gave up, and it holds few.
const REPEAT_PAUSE: f64 = 0.05;
const REPEAT_PAUSE_MOST: f64 = 0.4;
/// Before the decisions are asked again whether a call may go: they decide ten times a second.
const ASK_PAUSE: f64 = 0.05;
/// What stands is told within about a second of a dial; a relay that takes calls but tells no news is written to all
/// the same after this.
const BLIND_MOST: f64 = 1.5;
/// Calls that wait; beyond it they become one, of which each state is named once.
const WAITING_MOST: usize = 16;

/// What an order sets: of two with the same aim the later one stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Aim {
    Line(SliceId, HostId),
    Clear(SliceId),
    Withdraw(HostId),
    Admit(Option<SliceId>, Vec<RouteId>),
    Mark(MarkId),
}

impl Aim {
    /// Of marks the last one stands for all.
    fn settles(&self) -> Aim {
        if let Aim::Mark(_) = self {
            Aim::Mark(MarkId(0))
        } else {
            self.clone()
        }
    }
}

/// An order as it stands in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub aim: Aim,
    /// Of a line.
    pub weight: f64,
    pub text: String,
}

impl Told {
    /// The slice whose table it changes.
    fn slice(&self) -> Option<SliceId> {
        match self.aim {
            Aim::Line(slice, _) | Aim::Clear(slice) => Some(slice),
            _ => None,
        }
    }
}

#[derive(Debug, PartialEq)]
enum Link {
    Down,
    Dialled(LinkId),
    /// Since when it is idle.
    Up(LinkId, f64),
}

pub struct Calls {
    waiting: VecDeque<Vec<Told>>,
    /// Where the relay is.
    address: SocketAddr,
    link: Link,
    /// The relay has moved: `link` serves on until `next`, to where the relay is now, is up and no call is out.
    next: Option<Link>,
    /// When `next` is dialled again.
    dial_at: f64,
    /// The first call is out, and its answer due by then.
    due: Option<f64>,
    /// Nothing goes out before.
    hold: f64,
    /// Nor before this, while what stands is not known.
    blind_until: Option<f64>,
    /// So often the first call has been repeated.
    repeats: u32,
    /// The relay was read to refuse the first order, or the whole call, once: that answer may have been spoilt.
    refused: bool,
    /// The first call waits for the channel.
    held: bool,
    /// Proxies may have joined of which nothing has been told yet.
    pub unheard: bool,
    /// When the first call went out.
    pub sent_at: f64,
}

impl Calls {
    pub fn new(address: SocketAddr) -> Self {
        Calls {
            waiting: VecDeque::new(),
            address,
            link: Link::Down,
            next: None,
            dial_at: 0.0,
            due: None,
            hold: 0.0,
            blind_until: None,
            repeats: 0,
            refused: false,
            held: false,
            unheard: false,
            sent_at: 0.0,
        }
    }

    /// Orders given together go out as one call, or as several if it would be too long. A slice's lines that stand
    /// together stay together: a proxy must never hold half of what a table becomes.
    pub fn give(&mut self, orders: Vec<Told>) {
        let mut bytes = 0;
        let mut call: Vec<Told> = Vec::new();
        let cost = |orders: &[Told]| orders.iter().map(|told| told.text.len() + 1).sum::<usize>();
        for group in orders.chunk_by(|a, b| a.slice().is_some() && a.slice() == b.slice()) {
            if bytes + cost(group) > relay::MOST && !call.is_empty() {
                self.waiting.push_back(std::mem::take(&mut call));
                bytes = 0;
            }
            // No table is so long that it fills a call alone; should one be, it is cut, as it could never go out.
            for order in group {
                if bytes + order.text.len() + 1 > relay::MOST {
                    self.waiting.push_back(std::mem::take(&mut call));
                    bytes = 0;
                }
                bytes += order.text.len() + 1;
                call.push(order.clone());
            }
        }
        if !call.is_empty() {
            self.waiting.push_back(call);
        }
    }

    /// While the relay is away, later orders take the place of earlier ones with the same aim.
    fn merge(&mut self, out: &mut Out) {
        // One that is not settled stays as it is: nothing later goes out with it.
        let first = if self.unsettled() { self.waiting.pop_front() } else { None };
        let (mut seen, mut kept) = (BTreeSet::new(), Vec::new());
        for order in self.waiting.drain(..).rev().flat_map(|call| call.into_iter().rev()) {
            if seen.insert(order.aim.settles()) {
                kept.push(order);
            }
        }
        kept.reverse();
        self.waiting.extend(first);
        self.give(by_slice(kept));
        out.counters.calls_merged += 1;
    }

    /// A slice was given anew or taken: what waits was decided on a table that is no more. A line of it, written
    /// now, would stand in the new table without anybody knowing.
    pub fn forget(&mut self, slice: SliceId) {
        let out = self.due.is_some() as usize;
        for call in self.waiting.iter_mut().skip(out) {
            call.retain(|told| match &told.aim {
                Aim::Line(of, _) | Aim::Clear(of) | Aim::Admit(Some(of), _) => *of != slice,
                _ => true,
            });
        }
        if out == 0 && self.waiting.front().is_some_and(Vec::is_empty) {
            (self.repeats, self.refused) = (0, false);
        }
        self.waiting.retain(|call| !call.is_empty());
    }

    /// What stands at the relay is not known, or is known again. What waits may have been decided on tables that
    /// are no more, so it waits for the news; after a while it goes out all the same, and again so long after
    /// each call that was lost.
    pub fn blind(&mut self, now: f64, blind: bool) {
        self.blind_until = blind.then_some(now + BLIND_MOST);
    }

    /// The slices of which the call that is out sets lines.
    pub fn under_way(&self) -> BTreeSet<SliceId> {
        let out = self.waiting.front().filter(|_| self.unsettled());
        out.into_iter().flatten().filter_map(Told::slice).collect()
    }

    /// Nothing is out and nothing waits.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether an order that waits names the host.
    pub fn names(&self, host: HostId) -> bool {
        let named = |told: &Told| matches!(told.aim, Aim::Line(_, of) | Aim::Withdraw(of) if of == host);
        self.waiting.iter().flatten().any(named)
    }

    /// Sends the next call if one may go: `writable` says how many of its orders may be written now, where it may have
    /// been before, and while proxies are unheard of.
    pub fn pump(&mut self, now: f64, writable: impl Fn(usize, bool, bool) -> usize, out: &mut Out) {
        if self.due.is_some_and(|due| now >= due) {
            self.repeat(now, "no answer in time", out);
        }
        if self.waiting.len() > WAITING_MOST {
            self.merge(out);
        }
        self.follow(now, out);
        let Some(call) = self.waiting.front() else { return };
        if self.due.is_some() || now < self.ready_at() {
            return;
        }
        // A repeat finds its first copy in the channel, perhaps, and more proxies than when it was decided: it is for
        // the decisions to say what still keeps to the backlog, as they reckon what waits.
        let many = writable(call.len(), self.unsettled(), self.unheard);
        if many == 0 {
            out.counters.calls_held += !std::mem::replace(&mut self.held, true) as u64;
            self.hold = now + ASK_PAUSE;
            return;
        }
        self.held = false;
        match self.link {
            Link::Dialled(_) => {}
            Link::Up(link, since) if now - since < IDLE_MOST || self.next.is_some() => {
                out.counters.calls_cut += self.cut(many) as u64;
                let call = &self.waiting[0];
                let mark =
                    call.iter()
                        .find_map(|told| if let Aim::Mark(mark) = told.aim { Some(mark) } else { None });
                let written = Written { mark, orders: call.len(), unheard: self.unheard };
                out.inputs.push(Input::Call(written));
                (self.due, self.sent_at) = (Some(now + ANSWER_MOST), now);
                out.counters.calls_sent += 1;
                out.effects.push(Effect::Send(link, relay::call(call.iter().map(|told| told.text.as_str()))));
            }
            Link::Up(..) | Link::Down => {
                self.hang_up(out);
                self.link = self.dial(out);
            }
        }
    }

    /// Cuts the first call so that it has so many orders, before a slice's lines that stand together if that leaves any.
    /// Each part has the mark, as receipts show what has passed.
    fn cut(&mut self, many: usize) -> bool {
        let call = &mut self.waiting[0];
        if many >= call.len() {
            return false;
        }
        let mark = call.iter().find(|told| matches!(told.aim, Aim::Mark(_))).cloned();
        let many = many.saturating_sub(mark.is_some() as usize).max(1);
        let together = |at: &usize| call[*at].slice().is_some() && call[*at].slice() == call[*at - 1].slice();
        let at = (1..=many).rev().find(|at| !together(at)).unwrap_or(many);
        let rest = call.split_off(at);
        call.extend(mark);
        self.waiting.insert(1, rest);
        true
    }

    fn ready_at(&self) -> f64 {
        self.hold.max(self.blind_until.unwrap_or(0.0))
    }

    fn dial(&self, out: &mut Out) -> Link {
        let link = out.link();
        out.effects.push(Effect::Dial(link, self.address));
        Link::Dialled(link)
    }

    fn hang_up(&mut self, out: &mut Out) {
        close(std::mem::replace(&mut self.link, Link::Down), out);
    }

    /// The relay is elsewhere from now on. A call that is out is settled where it went, as long as that serves.
    pub fn move_to(&mut self, address: SocketAddr, out: &mut Out) {
        if std::mem::replace(&mut self.address, address) == address {
            return;
        }
        self.next.take().into_iter().for_each(|next| close(next, out));
        match self.link {
            Link::Up(..) => self.next = Some(self.dial(out)),
            Link::Dialled(_) => self.hang_up(out),
            Link::Down => {}
        }
    }

    /// Leaves the connection to where the relay was, once another is up and no call is out.
    fn follow(&mut self, now: f64, out: &mut Out) {
        let Some(next) = &self.next else { return };
        let leave = self.link == Link::Down || self.due.is_none() && matches!(next, Link::Up(..));
        if leave {
            self.hang_up(out);
            self.link = self.next.take().unwrap_or(Link::Down);
        } else if *next == Link::Down && now >= self.dial_at {
            self.next = Some(self.dial(out));
        }
    }

    pub fn owns(&self, id: LinkId) -> bool {
        is(&self.link, id) || self.next.as_ref().is_some_and(|next| is(next, id))
    }

    pub fn up(&mut self, now: f64, id: LinkId) {
        match &mut self.next {
            Some(next) if is(next, id) => *next = Link::Up(id, now),
            _ => self.link = Link::Up(id, now),
        }
    }

    pub fn down(&mut self, now: f64, id: LinkId, why: &str, out: &mut Out) {
        if !is(&self.link, id) {
            self.next.replace(Link::Down).into_iter().for_each(|next| close(next, out));
            self.dial_at = now + PAUSE;
            return;
        }
        if self.due.is_some() {
            return self.repeat(now, why, out);
        }
        // An idle connection may end; a dial that failed is tried again in a while.
        if matches!(self.link, Link::Dialled(_)) {
            self.hold = now + PAUSE;
        }
        self.hang_up(out);
    }

    /// The first call has gone out, and nobody knows yet whether it was carried out.
    fn unsettled(&self) -> bool {
        self.due.is_some() || self.repeats > 0 || self.refused
    }

    /// The first call was carried out, or was not: nobody can tell. It goes out again before anything else, on
    /// a new connection, as a late answer on the old one would be taken for the next call's.
    fn repeat(&mut self, now: f64, why: &str, out: &mut Out) {
        out.counters.calls_repeated += 1;
        // One line for a call, however long the relay stays away.
        if self.repeats == 0 {
            out.warn(format!("relay: call repeated, {why}"));
        }
        let pause = REPEAT_PAUSE * f64::from(self.repeats) * f64::from(self.repeats);
        self.repeats += 1;
        (self.due, self.hold) = (None, now + pause.min(REPEAT_PAUSE_MOST));
        self.blind_until = self.blind_until.map(|_| now + BLIND_MOST);
        self.hang_up(out);
    }

    /// The first call's state is known.
    fn settled(&mut self, now: f64, link: LinkId, out: &mut Out) {
        if self.repeats > 1 {
            out.warn(format!("relay: call settled after {} repeats", self.repeats));
        }
        (self.due, self.repeats, self.link) = (None, 0, Link::Up(link, now));
    }

    /// What an answer says of the call that is out; the orders that are in force by it.
    pub fn answer(&mut self, now: f64, link: LinkId, line: &[u8], out: &mut Out) -> Vec<Told> {
        if !matches!(self.link, Link::Up(up, _) if up == link) {
            // Nothing was asked for on the connection to where the relay is now.
            self.down(now, link, "an answer out of turn", out);
            return Vec::new();
        }
        let Some(call) = self.waiting.front_mut().filter(|_| self.due.is_some()) else {
            // An answer that nothing was asked for: the next one could not be told from it.
            out.warn("relay: an answer out of turn".to_string());
            self.hang_up(out);
            return Vec::new();
        };
        match Answer::parse(line) {
            Answer::Taken(many) if many <= call.len() => {
                out.counters.calls_answered += 1;
                out.counters.orders_taken += many as u64;
                let mut taken = std::mem::take(call);
                let mut rest = taken.split_off(many);
                // The relay stops at an order that it cannot use; what follows it is sound. A spoilt answer may say the
                // same of one that it took, so it is asked once more, with the rest, before it is dropped.
                if many == 0 && self.refused && !rest.is_empty() {
                    out.counters.orders_refused += 1;
                    let refused = rest.remove(0).text;
                    out.warn(format!("relay: order refused: {refused}"));
                    self.refused = false;
                } else {
                    self.refused = !rest.is_empty();
                }
                if rest.is_empty() {
                    self.waiting.pop_front();
                } else {
                    *call = rest;
                }
                self.settled(now, link, out);
                taken
            }
            Answer::Throttling => {
                out.counters.calls_throttled += 1;
                out.inputs.push(Input::Call(TurnedAway));
                self.settled(now, link, out);
                self.hold = now + PAUSE;
                Vec::new()
            }
            Answer::Invalid if !std::mem::replace(&mut self.refused, true) => {
                self.repeat(now, "it is not valid, as its answer is read", out);
                Vec::new()
            }
            Answer::Invalid => {
                // It would be turned away for ever, and all others behind it.
                self.refused = false;
                out.counters.calls_invalid += 1;
                out.effects.push(Effect::Log(
                    Level::ERROR,
                    None,
                    "relay: call dropped, not valid".to_string(),
                ));
                self.waiting.pop_front();
                self.settled(now, link, out);
                Vec::new()
            }
            Answer::Taken(_) | Answer::Unreadable => {
                self.repeat(now, "its answer cannot be read", out);
                Vec::new()
            }
        }
    }

    /// When `pump` may have something to do by itself.
    pub fn next(&self) -> f64 {
        let dial = if self.next == Some(Link::Down) { self.dial_at } else { f64::INFINITY };
        dial.min(match (self.due, &self.link) {
            (Some(due), _) => due,
            (None, Link::Dialled(_)) => f64::INFINITY,
            _ if self.waiting.is_empty() => f64::INFINITY,
            _ => self.ready_at(),
        })
    }
}

/// Merged orders of one slice stand where the first of them did, new lines before those that go, so that the rest of a
/// call that is cut short never leaves a table with the old lines gone and the new ones not there yet.
fn by_slice(orders: Vec<Told>) -> Vec<Told> {
    let mut groups: Vec<Vec<Told>> = Vec::new();
    let mut places: BTreeMap<SliceId, usize> = BTreeMap::new();
    for told in orders {
        match told.slice() {
            Some(slice) => {
                let at = *places.entry(slice).or_insert(groups.len());
                if at == groups.len() {
                    groups.push(Vec::new());
                }
                groups[at].push(told);
            }
            None => groups.push(vec![told]),
        }
    }
    for group in &mut groups {
        // A table that is cleared is cleared first.
        group.sort_by_key(|told| (!matches!(told.aim, Aim::Clear(_)), told.weight <= 0.0));
    }
    groups.into_iter().flatten().collect()
}

fn is(link: &Link, id: LinkId) -> bool {
    matches!(link, Link::Dialled(of) | Link::Up(of, _) if *of == id)
}

fn close(link: Link, out: &mut Out) {
    if let Link::Up(link, _) | Link::Dialled(link) = link {
        out.effects.push(Effect::HangUp(link));
    }
}
