//! The host list of the discovery service ("discovery" here), received on one watch, which is reopened when it ends
//! or times out. When discovery moves to another address, the old watch is kept until a line has arrived on the new
//! one.

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

/// A watch without a line for this long is closed. Discovery sends an empty line every 2 s while nothing changes.
const IDLE_TIMEOUT_S: f64 = 2.6;
/// A new watch without a line for this long is closed; a discovery server that works answers at once.
const FIRST_LINE_TIMEOUT_S: f64 = 1.0;
/// Delay before a watch that has ended is reopened.
const REOPEN_DELAY_S: f64 = 0.25;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

struct Watch {
    link: LinkId,
    address: SocketAddr,
    /// A line has arrived on it.
    has_answered: bool,
    /// It is closed if no line arrives by then.
    deadline: f64,
}

/// A host as it was last listed.
struct ListedHost {
    listing: HostListEntry,
    address: SocketAddr,
}

/// The open watches, and the hosts that they have listed.
pub(super) struct DiscoveryWatch {
    clock: Clock,
    address: SocketAddr,
    /// One at `address`, and those at old addresses that stay in use until a line has arrived on it.
    watches: Vec<Watch>,
    /// The next watch is not opened before this time.
    reopen_at: f64,
    /// Version of the newest list.
    version: Option<u64>,
    hosts: BTreeMap<HostId, ListedHost>,
    /// The next watch requests the complete list.
    full_list_wanted: bool,
    /// An outage was logged, and no list has arrived since.
    outage_logged: bool,
}

/// Tells the decisions that a host list that they requested could not be fetched.
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

    /// Returns the address of a host that was listed.
    pub(super) fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|listed| listed.address)
    }

    /// Closes all watches and has `poll` open one that begins with the complete list.
    pub(super) fn request_full_list(&mut self, now: f64, outbox: &mut Outbox) {
        self.reopen_at = now;
        self.full_list_wanted = true;
        self.close_watches(|_| true, outbox);
    }

    /// Sets a new address of discovery. Watches on which a line has arrived stay in use until one arrives on the new
    /// one.
    pub(super) fn set_address(&mut self, now: f64, address: SocketAddr, outbox: &mut Outbox) {
        if self.address == address {
            return;
        }
        self.address = address;
        self.reopen_at = now;
        self.close_watches(|watch| !watch.has_answered, outbox);
    }

    /// Closes the selected watches; no other function closes any.
    fn close_watches(&mut self, is_closed: impl Fn(&Watch) -> bool, outbox: &mut Outbox) {
        for watch in self.watches.iter().filter(|watch| is_closed(watch)) {
            outbox.effects.push(Effect::CloseWatch(watch.link));
        }
        self.watches.retain(|watch| !is_closed(watch));
    }

    fn has_watch_at_address(&self) -> bool {
        self.watches.iter().any(|watch| watch.address == self.address)
    }

    /// Releases the state of a host.
    pub(super) fn forget(&mut self, host: HostId) {
        self.hosts.remove(&host);
    }

    #[cfg(test)]
    pub(super) fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Takes the host list that is cached in the configuration, which may be outdated.
    pub(super) fn cached_list(
        &mut self,
        list: &discovery::EndpointList<'_>,
        names: &mut Names,
        outbox: &mut Outbox,
    ) -> Input {
        let entries = self.entries(list, names, outbox);
        self.version = Some(list.version);
        Input::HostListUpdate { scope: ListScope::CachedSnapshot, version: list.version, entries }
    }

    /// Closes watches that have timed out, and opens one if there is none at the current address.
    pub(super) fn poll(&mut self, now: f64, outbox: &mut Outbox) {
        let timed_out: Vec<LinkId> =
            self.watches.iter().filter(|watch| now >= watch.deadline).map(|watch| watch.link).collect();
        for link in timed_out {
            self.connection_down(now, link, "no line within the timeout", outbox);
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

    /// A watch has ended or is to be closed.
    pub(super) fn connection_down(&mut self, now: f64, link: LinkId, reason: &str, outbox: &mut Outbox) {
        outbox.counters.watches_lost += 1;
        // Only one log line per outage, however many watches fail.
        if !std::mem::replace(&mut self.outage_logged, true) {
            outbox.warn(format!("discovery: watch lost: {reason}"));
        }
        self.reopen_at = now + REOPEN_DELAY_S;
        self.close_watches(|watch| watch.link == link, outbox);
    }

    /// Handles one line of a watch and returns the resulting input of the decisions. An empty line is a keep-alive.
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
                // The next watch requests the changes since the current version, so none is missed.
                outbox.counters.lists_bad += 1;
                self.connection_down(now, link, &fault.to_string(), outbox);
                return None;
            }
        };
        if self.version.is_some_and(|current| list.version < current) {
            outbox.counters.lists_bad += 1;
            let text =
                format!("discovery: list ignored: version {} is older than the current one", list.version);
            outbox.warn(text);
            return None;
        }
        Some(self.apply_list(&list, names, outbox))
    }

    fn apply_list(
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

    /// Returns the valid entries. In a complete list, the last entry of a host replaces one that is invalid, as the
    /// host would otherwise seem to have left.
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
                Err(invalid) => (invalid.id.as_deref(), invalid.error.clone()),
            };
            outbox.counters.entries_unsound += 1;
            outbox.warn(format!("discovery: entry ignored: {fault}"));
            if list.is_complete {
                let host = id.and_then(|id| names.known_host_id(id));
                let last = host.and_then(|host| self.hosts.get(&host));
                entries.extend(last.map(|listed| listed.listing.clone()));
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

    /// When `poll` next has something to do without a further event; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let reopen = if self.has_watch_at_address() { f64::INFINITY } else { self.reopen_at };
        self.watches.iter().map(|watch| watch.deadline).fold(reopen, f64::min)
    }
}
