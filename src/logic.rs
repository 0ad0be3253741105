//! All decisions, by concern in `src/logic/`. One `Director` each: `Director::new(settings, seed)`
//! once, then `handle(now, inputs) -> orders` for every batch for it; it asks for its own wake-ups.
//! Types that go in and out: `src/interface.rs`; what actors remember: `src/state.rs`; why: `docs/design.md`.
//!
//! Inside, each host is a small actor; so are the tables, the gate, the list watch and the channel. They talk
//! only by notes put into inboxes, which `Director::settle` empties.

use crate::figures::Figures;
use crate::interface::*;
use crate::measure::{median, Bins, Histogram};
use crate::notes::{add, Item, Note, Plan, Post, Seat, Sums, To, View};
use crate::state::{Channel, Director, Gate, Host, Slice, Tables, Watch};
use std::cmp::Ordering;
use std::collections::BTreeSet;

mod channel;
mod gate;
mod hosts;
mod owners;
mod standbys;
mod tables;
#[cfg(test)]
pub(crate) mod tests;

/// Whole reports, and a second for their way: what is steered more often overshoots.
fn pace(f: &Figures) -> f64 {
    f.interval * (1.0 + (1.0 / f.interval.max(0.1)).ceil()) - 0.01
}

// From 30 ms by steps of 1.4 the bins reach 5 s, past any time that could still please a caller.
const BINS: Bins = Bins { first: 0.03, step: 1.4 };

/// A quarter up or down is worth a line; less is not. Where a round of messages takes the channel long, only
/// more is: a third of a second doubles it.
fn alike(f: &Figures, old: Option<&f64>, weight: f64) -> bool {
    let most = 1.25 + 3.0 * f.round_time;
    old.is_some_and(|old| (1.0 / most..=most).contains(&(old / weight)))
}

impl Watch {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        let Some(ask_within) = f.ask_within else { return };
        // A second between tries to follow leaves the service room to recover; else thrice in the time.
        let due = if self.following { ask_within / 3.0 } else { 1.0 };
        match note {
            Note::In(Input::Hosts { scope: ListScope::Failed, .. }) => self.following = false,
            Note::Tick if self.asked_at.is_none_or(|at| now - at > due) => {
                post.orders.push(if self.following { Order::FetchList } else { Order::Follow(true) });
                (self.following, self.asked_at) = (true, Some(now));
            }
            _ => {}
        }
    }
}

impl Director {
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        let mut post = Post::default();
        inputs.iter().for_each(|input| self.take(input, &mut post));
        self.settle(now, &mut post);
        // A microsecond of slack: a beat that rounding makes seem early would end the chain of wake-ups.
        if now + 1e-6 >= self.tick_at {
            let hosts = self.hosts.keys().map(|host| To::Host(*host));
            let parts = [To::Tables, To::Gate, To::Watch, To::Channel];
            hosts.chain(parts).for_each(|to| post.note(to, Note::Tick));
            self.settle(now, &mut post);
            // Ten times a second: a tenth of the shortest grace, and few enough to cost next to nothing.
            self.tick_at = now + 0.1;
            post.orders.push(Order::WakeAt { wake: WakeId(1), at: self.tick_at });
        }
        post.orders
    }

    /// The host's inbox, and its actor made when it is first heard of.
    pub(crate) fn host(&mut self, id: HostId) -> To {
        // Probes start spread over their interval, so that they don't come in bursts.
        let phase = self.chance.share() * 0.5;
        // What a director finds at its start is trusted until it fails; who comes later proves itself first.
        let proven = !self.figures.may_probe || self.tick_at == f64::NEG_INFINITY;
        self.hosts.entry(id).or_insert_with(|| Host::new(id, phase, proven));
        To::Host(id)
    }

    pub(crate) fn list(&mut self, scope: ListScope, version: u64, entries: &[Listing], post: &mut Post) {
        // An answer may be older than what was followed since.
        if scope == ListScope::Failed || self.version.is_some_and(|known| version < known) {
            return;
        }
        self.version = Some(version);
        for entry in entries {
            self.listed += 1;
            let gone = entry.state == HostState::Gone;
            let note = if gone { Note::Unlisted } else { Note::Listed(entry.clone(), self.listed) };
            let to = self.host(entry.host);
            post.note(to, note);
        }
        let named: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
        for host in self.hosts.keys().filter(|host| scope != ListScope::Changes && !named.contains(host)) {
            post.note(To::Host(*host), Note::Unlisted);
        }
    }
}
