//! What the parts of the module tell each other, and the inboxes in which it waits. No decisions.

use crate::interface::*;
use crate::state::Director;
use std::collections::{BTreeMap, VecDeque};

/// A figure for each host.
pub(crate) type Sums = BTreeMap<HostId, f64>;
/// Who holds something, if anybody.
pub(crate) type Seat = Option<HostId>;

pub(crate) fn add(sums: &mut Sums, host: Seat, much: f64) {
    host.iter().for_each(|host| *sums.entry(*host).or_default() += much);
}

/// Slices counted at each host, and the room that each has left.
pub(crate) type Plan = (Sums, Sums);

/// What is told together: its rank, since when it waits, and its orders, a line to each proxy apiece.
pub(crate) type Item = (u8, f64, Vec<Order>);

/// What a host is to the tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct View {
    /// Listed, and neither draining nor gone.
    pub ready: bool,
    /// When it was listed, and its place among those listed then: lower is longer listed.
    pub senior: (f64, u64),
    pub weight: f64,
    pub zone: ZoneId,
    /// Share of its capacity that its age lets us count on.
    pub ramp: f64,
    /// Share of its lines that its response times let it keep.
    pub ease: f64,
    /// Calls that it answers in a second of full work; none: not reported.
    pub speed: Option<f64>,
    /// It has answered a call or a probe, or was there from the start and has not failed one.
    pub proven: bool,
    /// When it was noticed to have restarted while tables named it.
    pub restarted: Option<f64>,
    /// It seems dead or stuck, though listed.
    pub suspect: bool,
    pub rt: f64,
    /// Lately answered tries.
    pub answered: f64,
    /// Share of its cores that is busy, as last reported.
    pub busy: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Note {
    Tick,
    /// What came in, to the parts that it concerns.
    In(Input),
    /// To a host: its entry in the list and its place there.
    Listed(Listing, u64),
    /// To a host: it is gone from the list.
    Unlisted,
    /// To a host: it is shut out as a suspect.
    Out,
    /// To hosts and the gate: the fleet's median response time and busy cores.
    Fleet {
        rt: f64,
        busy: f64,
    },
    /// To the tables.
    View(HostId, View),
    /// To the tables: the proxies have been told to use the host again.
    Back(HostId),
    /// The host is long gone: from it to the channel, which lets it go on to the tables when no table names it; they
    /// tell the host's place that nothing refers to it any more.
    Over(HostId),
    /// To the gate: how tries at a sound host went.
    Tries {
        rt: f64,
        tries: f64,
        dropped: f64,
    },
    /// To the channel: the lines that a slice's table should have.
    Lines {
        slice: SliceId,
        lines: Sums,
    },
    /// To the channel: a withdrawal or a level.
    Tell(Order),
}

/// Whose inbox.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum To {
    Host(HostId),
    Tables,
    Gate,
    Watch,
    Channel,
}

/// The inboxes, and the orders given so far.
#[derive(Default)]
pub(crate) struct Post {
    inboxes: BTreeMap<To, VecDeque<Note>>,
    pub orders: Vec<Order>,
}

impl Post {
    pub fn note(&mut self, to: To, note: Note) {
        self.inboxes.entry(to).or_default().push_back(note);
    }

    pub fn log(&mut self, text: String, hosts: Vec<HostId>) {
        self.orders.push(Order::Log { text, hosts });
    }

    /// Takes all notes of the first inbox that holds any, in the order of `To`.
    pub fn collect(&mut self) -> Option<(To, VecDeque<Note>)> {
        self.inboxes.pop_first()
    }
}

impl Director {
    /// How many of a call's orders may be written now. `again`: it may have been carried out before; `unheard`: proxies may
    /// have joined of which nothing has been told yet.
    pub fn writable(&self, now: f64, orders: usize, again: bool, unheard: bool) -> usize {
        self.channel.writable(now, &self.figures, orders, again, unheard)
    }

    /// The most lines that may wait in the channel, as reckoned.
    pub fn may_wait(&self) -> f64 {
        self.channel.ledger.out()
    }

    /// Puts what came in into the inboxes that it concerns.
    pub(crate) fn take(&mut self, input: &Input, post: &mut Post) {
        match input {
            Input::Hosts { scope, version, entries } => self.list(*scope, *version, entries, post),
            Input::StoredLine { host, .. } => _ = self.host(*host),
            Input::Tries { host, .. } | Input::Probed { host, .. } => {
                return post.note(To::Host(*host), Note::In(input.clone()));
            }
            _ => {}
        }
        for to in [To::Tables, To::Gate, To::Watch, To::Channel] {
            post.note(to, Note::In(input.clone()));
        }
    }

    /// Empties the inboxes, in the order of `To`, until all is quiet.
    pub(crate) fn settle(&mut self, now: f64, post: &mut Post) {
        let f = &self.figures;
        while let Some((to, notes)) = post.collect() {
            for note in notes {
                match &to {
                    // One that is listed again meanwhile is as one that is back.
                    To::Host(id) if note == Note::Over(*id) => {
                        let gone = self.hosts.extract_if(*id..=*id, |_, host| !host.listed);
                        post.orders.extend(gone.map(|(id, _)| Order::Forget(id)));
                    }
                    To::Host(id) => _ = self.hosts.get_mut(id).map(|host| host.work(now, f, note, post)),
                    To::Tables => self.tables.work(now, f, note, post),
                    To::Gate => self.gate.work(now, f, note, post),
                    To::Watch => self.watch.work(now, f, note, post),
                    To::Channel => self.channel.work(now, f, note, post),
                }
            }
        }
    }
}
