//! The list of hosts from the discovery service: one watch, opened again when it ends or falls silent. When discovery
//! moves, the old watch is kept until the new one has brought a line.

use super::effect::Effect;
use super::ids::LinkId;
use super::message_fields::resolved;
use super::outbox::Outbox;
use crate::framing::FramedLine;
use coppersail::interface::{CellId, HostId, HostListEntry, HostState, Input, ListScope};
use coppersail_protocol::discovery::{self, Endpoint, EndpointState};
use coppersail_protocol::ParseError;
use coppersail_settings::{Clock, Names};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An empty line comes each 2 s while nothing changes; a watch without a line for so long is given up.
const IDLE_TIMEOUT_S: f64 = 2.6;
/// Discovery answers a watch at once; a new one without a line after this has met a silent server.
const FIRST_LINE_TIMEOUT_S: f64 = 1.0;
/// Between watches that fail.
const REOPEN_DELAY_S: f64 = 0.25;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

struct Watch {
    link: LinkId,
    address: SocketAddr,
    /// It has brought a line.
    has_answered: bool,
    /// It is given up if no line comes by then.
    deadline: f64,
}

/// A host as it was last listed.
struct ListedHost {
    listing: HostListEntry,
    address: SocketAddr,
}

/// The watches of discovery, and the hosts that they have listed.
pub(super) struct DiscoveryWatch {
    clock: Clock,
    address: SocketAddr,
    /// One at `address`, and those that serve until it has answered.
    watches: Vec<Watch>,
    /// The next watch is not opened before.
    reopen_at: f64,
    version: Option<u64>,
    hosts: BTreeMap<HostId, ListedHost>,
    /// The next watch asks for the full list.
    full_list_wanted: bool,
    /// An outage was logged, and no list has come since.
    outage_logged: bool,
}

/// Tells decisions that fetch their list that this failed.
pub(super) fn list_failed() -> Input {
    Input::HostListUpdate { scope: ListScope::Failed, version: 0, entries: Vec::new() }
}

impl DiscoveryWatch {
    pub(super) fn new(clock: Clock, address: SocketAddr) -> Self {
        DiscoveryWatch {
            clock,
            address,
            watches: Vec::new(),
            reopen_at: 0.0,
            version: None,
            hosts: BTreeMap::new(),
            full_list_wanted: false,
            outage_logged: false,
        }
    }

    pub(super) fn owns(&self, link: LinkId) -> bool {
        self.watches.iter().any(|watch| watch.link == link)
    }

    /// The address of a host, if it was listed.
    pub(super) fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|listed| listed.address)
    }

    /// Opens a watch that begins with the full list.
    pub(super) fn request_full_list(&mut self, now: f64, outbox: &mut Outbox) {
        self.reopen_at = now;
        self.full_list_wanted = true;
        self.close_watches(|_| true, outbox);
    }

    /// Discovery has another address from now on. Watches that have answered serve until the new one has.
    pub(super) fn set_address(&mut self, now: f64, address: SocketAddr, outbox: &mut Outbox) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.reopen_at = now;
        self.close_watches(|watch| !watch.has_answered, outbox);
    }

    /// The only place where watches are closed.
    fn close_watches(&mut self, is_closed: impl Fn(&Watch) -> bool, outbox: &mut Outbox) {
        for watch in self.watches.iter().filter(|watch| is_closed(watch)) {
            outbox.effects.push(Effect::CloseWatch(watch.link));
        }
        self.watches.retain(|watch| !is_closed(watch));
    }

    fn has_watch_at_address(&self) -> bool {
        self.watches.iter().any(|watch| watch.address == self.address)
    }

    /// Releases what is kept for a host.
    pub(super) fn forget(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    #[cfg(test)]
    pub(super) fn count(&self) -> usize {
        self.hosts.len()
    }

    /// The list that the configuration remembers, possibly outdated.
    pub(super) fn remembered_list(
        &mut self,
        list: &discovery::EndpointList<'_>,
        names: &mut Names,
        outbox: &mut Outbox,
    ) -> Input {
        let entries = self.entries(list, names, outbox);
        self.version = Some(list.version);
        Input::HostListUpdate { scope: ListScope::CachedSnapshot, version: list.version, entries }
    }

    /// Gives up silent watches, and opens one if there is none at the current address.
    pub(super) fn poll(&mut self, now: f64, outbox: &mut Outbox) {
        let timed_out: Vec<LinkId> =
            self.watches.iter().filter(|watch| now >= watch.deadline).map(|watch| watch.link).collect();
        for link in timed_out {
            self.connection_down(now, link, "silent", outbox);
            self.reopen_at = now;
        }
        if !self.has_watch_at_address() && now >= self.reopen_at {
            self.open_watch(now, outbox);
        }
    }

    fn open_watch(&mut self, now: f64, outbox: &mut Outbox) {
        let link = outbox.allocate_link();
        let deadline = now + FIRST_LINE_TIMEOUT_S;
        self.watches.push(Watch { link, address: self.address, has_answered: false, deadline });
        outbox.counters.watches_opened += 1;
        let since = if self.full_list_wanted { None } else { self.version };
        outbox.effects.push(Effect::OpenWatch(link, self.address, discovery::watch_path(since)));
    }

    /// A watch has ended or is given up.
    pub(super) fn connection_down(&mut self, now: f64, link: LinkId, reason: &str, outbox: &mut Outbox) {
        outbox.counters.watches_lost += 1;
        // One log line for an outage, however many watches are opened in vain.
        if !std::mem::replace(&mut self.outage_logged, true) {
            outbox.warn(format!("discovery: watch lost, {reason}"));
        }
        self.reopen_at = now + REOPEN_DELAY_S;
        self.close_watches(|watch| watch.link == link, outbox);
    }

    /// Handles one line of a watch and returns what it tells the decisions. An empty line is a keep-alive.
    pub(super) fn handle_line(
        &mut self,
        now: f64,
        link: LinkId,
        line: FramedLine,
        names: &mut Names,
        outbox: &mut Outbox,
    ) -> Option<Input> {
        let watch = self.watches.iter_mut().find(|watch| watch.link == link)?;
        watch.deadline = now + IDLE_TIMEOUT_S;
        watch.has_answered = true;
        if watch.address == self.address {
            self.close_watches(|watch| watch.link != link, outbox);
        }
        let line = match line {
            FramedLine::Line(line) if line.is_empty() => return None,
            FramedLine::Line(line) => line,
            FramedLine::TooLong => Vec::new(),
        };
        let list = match discovery::EndpointList::parse(&line) {
            Ok(list) => list,
            Err(fault) => {
                // The next watch asks for changes since the version that is held, so nothing is missed.
                outbox.counters.lists_bad += 1;
                self.connection_down(now, link, &fault.to_string(), outbox);
                return None;
            }
        };
        if self.version.is_some_and(|held| list.version < held) {
            outbox.counters.lists_bad += 1;
            let text = format!("discovery: list passed over, version {} is older than held", list.version);
            outbox.warn(text);
            return None;
        }
        Some(self.take_list(&list, names, outbox))
    }

    fn take_list(
        &mut self,
        list: &discovery::EndpointList<'_>,
        names: &mut Names,
        outbox: &mut Outbox,
    ) -> Input {
        outbox.counters.lists += 1;
        self.full_list_wanted = false;
        self.version = Some(list.version);
        if std::mem::take(&mut self.outage_logged) {
            outbox.info(format!("discovery: watch open, version {}", list.version));
        }
        let entries = self.entries(list, names, outbox);
        let scope = if list.is_complete { ListScope::Snapshot } else { ListScope::Delta };
        Input::HostListUpdate { scope, version: list.version, entries }
    }

    /// The sound entries. In a full list a host whose entry is unsound stays as it was, or it would seem to be gone.
    fn entries(
        &mut self,
        list: &discovery::EndpointList<'_>,
        names: &mut Names,
        outbox: &mut Outbox,
    ) -> Vec<HostListEntry> {
        let mut entries = Vec::new();
        for server in &list.entries {
            let (id, fault) = match server {
                Ok(server) => match self.listing(server, names) {
                    Ok(listing) => {
                        entries.push(listing);
                        continue;
                    }
                    Err(fault) => (Some(server.id.as_ref()), fault),
                },
                Err(unsound) => (unsound.id.as_deref(), unsound.error.clone()),
            };
            outbox.counters.entries_unsound += 1;
            outbox.warn(format!("discovery: entry passed over, {fault}"));
            if list.is_complete {
                let host = id.and_then(|id| names.known_host_id(id));
                let held = host.and_then(|host| self.hosts.get(&host));
                entries.extend(held.map(|listed| listed.listing.clone()));
            }
        }
        entries
    }

    fn listing(&mut self, server: &Endpoint<'_>, names: &mut Names) -> Result<HostListEntry, ParseError> {
        let zone = resolved("zone", names.zone(&server.zone))?;
        let kind = resolved("kind", names.machine_kind(&server.kind))?;
        let started_ns = server.started_ms.saturating_mul(NANOSECONDS_PER_MILLISECOND);
        let listing = HostListEntry {
            host: names.host_id(&server.id),
            state: match server.state {
                EndpointState::Ready => HostState::Ready,
                EndpointState::Draining => HostState::Draining,
                EndpointState::Gone => HostState::Removed,
            },
            started_at: (started_ns > 0).then(|| self.clock.seconds(started_ns)),
            weight: server.weight,
            zone,
            cell: CellId(server.cell),
            machine_type: kind,
        };
        let listed = ListedHost { listing: listing.clone(), address: server.address };
        self.hosts.insert(listing.host, listed);
        Ok(listing)
    }

    /// When `poll` may have something to do by itself; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let reopen = if self.has_watch_at_address() { f64::INFINITY } else { self.reopen_at };
        self.watches.iter().map(|watch| watch.deadline).fold(reopen, f64::min)
    }
}
