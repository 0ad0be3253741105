//! The list of hosts as discovery tells it: one watch, dialled again when it ends or falls silent. Where discovery
//! has moved, the old watch is kept until the new one tells.

use super::{named, Effect, LinkId, Out};
use crate::framing::Framed;
use coppersail::interface::{CellId, HostId, HostState, Input, ListScope, Listing};
use coppersail_protocol::discovery::{self, Server, State};
use coppersail_protocol::Fault;
use coppersail_settings::{Clock, Names};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An empty line comes each 2 s while nothing changes; so long without one, the watch is given up.
const SILENT_MOST: f64 = 2.6;
/// The agent answers a watch at once; a new one that says nothing has met a silent agent.
const FIRST_MOST: f64 = 1.0;
/// Between watches that fail.
const PAUSE: f64 = 0.25;

struct Watch {
    link: LinkId,
    address: SocketAddr,
    /// It has brought a line.
    told: bool,
    /// Given up if nothing comes by then.
    until: f64,
}

pub struct List {
    clock: Clock,
    address: SocketAddr,
    /// One at `address`, and those that serve meanwhile.
    watches: Vec<Watch>,
    open_at: f64,
    version: Option<u64>,
    /// Each host as last listed, and where it is.
    hosts: BTreeMap<HostId, (Listing, SocketAddr)>,
    /// The next watch asks for the whole list.
    whole: bool,
    /// A loss was logged, and no list was told since.
    lost: bool,
}

/// To a director that must ask for its list: asking failed.
pub fn failed() -> Input {
    Input::Hosts { scope: ListScope::Failed, version: 0, entries: Vec::new() }
}

impl List {
    pub fn new(clock: Clock, address: SocketAddr) -> Self {
        List {
            clock,
            address,
            watches: Vec::new(),
            open_at: 0.0,
            version: None,
            hosts: BTreeMap::new(),
            whole: false,
            lost: false,
        }
    }

    pub fn owns(&self, id: LinkId) -> bool {
        self.watches.iter().any(|watch| watch.link == id)
    }

    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|(_, address)| *address)
    }

    pub fn ask_whole(&mut self, now: f64, out: &mut Out) {
        (self.open_at, self.whole) = (now, true);
        self.leave(|_| true, out);
    }

    /// Discovery is elsewhere from now on. What has told so far serves until the new watch tells.
    pub fn move_to(&mut self, now: f64, address: SocketAddr, out: &mut Out) {
        if std::mem::replace(&mut self.address, address) != address {
            self.open_at = now;
            self.leave(|watch| !watch.told, out);
        }
    }

    /// The one place where watches are given back.
    fn leave(&mut self, which: impl Fn(&Watch) -> bool, out: &mut Out) {
        let (left, kept) = std::mem::take(&mut self.watches).into_iter().partition(which);
        self.watches = kept;
        let left: Vec<Watch> = left;
        out.effects.extend(left.iter().map(|watch| Effect::Unwatch(watch.link)));
    }

    fn watches_here(&self) -> bool {
        self.watches.iter().any(|watch| watch.address == self.address)
    }

    pub fn forget(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// The list that the configuration remembers, maybe old.
    pub fn remembered(&mut self, known: &discovery::List<'_>, names: &mut Names, out: &mut Out) -> Input {
        let entries = self.entries(known, names, out);
        self.version = Some(known.version);
        Input::Hosts { scope: ListScope::Remembered, version: known.version, entries }
    }

    pub fn pump(&mut self, now: f64, out: &mut Out) {
        let silent = |watch: &&Watch| now >= watch.until;
        for link in self.watches.iter().filter(silent).map(|watch| watch.link).collect::<Vec<_>>() {
            self.down(now, link, "silent", out);
            self.open_at = now;
        }
        if !self.watches_here() && now >= self.open_at {
            let (link, address) = (out.link(), self.address);
            self.watches.push(Watch { link, address, told: false, until: now + FIRST_MOST });
            out.counters.watches_opened += 1;
            let since = if self.whole { None } else { self.version };
            out.effects.push(Effect::Watch(link, address, discovery::watch(since)));
        }
    }

    pub fn down(&mut self, now: f64, id: LinkId, why: &str, out: &mut Out) {
        out.counters.watches_lost += 1;
        // One line for an outage, however many watches are opened in vain.
        if !std::mem::replace(&mut self.lost, true) {
            out.warn(format!("discovery: watch lost, {why}"));
        }
        self.open_at = now + PAUSE;
        self.leave(|watch| watch.link == id, out);
    }

    /// One line of the watch; an empty one is a sign of life.
    pub fn line(
        &mut self,
        now: f64,
        id: LinkId,
        line: Framed,
        names: &mut Names,
        out: &mut Out,
    ) -> Option<Input> {
        let watch = self.watches.iter_mut().find(|watch| watch.link == id)?;
        (watch.until, watch.told) = (now + SILENT_MOST, true);
        if watch.address == self.address {
            self.leave(|watch| watch.link != id, out);
        }
        let line = match line {
            Framed::Line(line) if line.is_empty() => return None,
            Framed::Line(line) => line,
            Framed::TooLong => Vec::new(),
        };
        let list = match discovery::List::parse(&line) {
            Ok(list) => list,
            Err(fault) => {
                // What it would have told comes again on a watch from the version held.
                out.counters.lists_bad += 1;
                self.down(now, id, &fault.to_string(), out);
                return None;
            }
        };
        if self.version.is_some_and(|held| list.version < held) {
            out.counters.lists_bad += 1;
            let text = format!("discovery: list passed over, version {} is older than held", list.version);
            out.warn(text);
            return None;
        }
        out.counters.lists += 1;
        self.whole = false;
        self.version = Some(list.version);
        if std::mem::take(&mut self.lost) {
            out.tell(format!("discovery: watch open, version {}", list.version));
        }
        let entries = self.entries(&list, names, out);
        let scope = if list.full { ListScope::Whole } else { ListScope::Changes };
        Some(Input::Hosts { scope, version: list.version, entries })
    }

    /// The sound entries. In a whole list a host whose entry is unsound stays as it was, lest it seem gone.
    fn entries(&mut self, list: &discovery::List<'_>, names: &mut Names, out: &mut Out) -> Vec<Listing> {
        let mut entries = Vec::new();
        for server in &list.servers {
            let read = match server {
                Ok(server) => self.listing(server, names).map_err(|fault| (Some(server.id.as_ref()), fault)),
                Err(unsound) => Err((unsound.id.as_deref(), unsound.fault.clone())),
            };
            match read {
                Ok(listing) => entries.push(listing),
                Err((id, fault)) => {
                    out.counters.entries_unsound += 1;
                    out.warn(format!("discovery: entry passed over, {fault}"));
                    let held = id.and_then(|id| names.known_host(id)).and_then(|host| self.hosts.get(&host));
                    entries.extend(held.filter(|_| list.full).map(|(listing, _)| listing.clone()));
                }
            }
        }
        entries
    }

    fn listing(&mut self, server: &Server<'_>, names: &mut Names) -> Result<Listing, Fault> {
        let zone = named("zone", names.zone(&server.zone))?;
        let kind = named("kind", names.kind(&server.kind))?;
        let started_ns = server.started_ms.saturating_mul(1_000_000);
        let listing = Listing {
            host: names.host(&server.id),
            state: match server.state {
                State::Ready => HostState::Ready,
                State::Draining => HostState::Draining,
                State::Gone => HostState::Gone,
            },
            born: (started_ns > 0).then(|| self.clock.seconds(started_ns)),
            weight: server.weight,
            zone,
            cell: CellId(server.cell),
            kind,
        };
        self.hosts.insert(listing.host, (listing.clone(), server.address));
        Ok(listing)
    }

    pub fn next(&self) -> f64 {
        let open = if self.watches_here() { f64::INFINITY } else { self.open_at };
        self.watches.iter().map(|watch| watch.until).fold(open, f64::min)
    }
}
