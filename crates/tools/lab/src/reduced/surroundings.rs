//! What a reducer is connected to, without sockets: a relay, a discovery service, collectors and hosts.

use crate::platform::{Platform, RelayTables};
use coppersail::interface::{HostId, HostListEntry, Input, LoadReport, Order, Outcome, ZoneId};
use coppersail_director::framing::FramedLine;
use coppersail_director::reducer::{ConnectionId, Effect, Event, LinkId, ProbeOutcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// Seconds between the relay's heartbeats.
const HEARTBEAT_INTERVAL: f64 = 1.0;
/// What the relay sends as a heartbeat.
const HEARTBEAT: &[u8] = b"*";
/// What a director sends to the relay to subscribe to updates.
const SUBSCRIBE: &str = "follow";
/// Hosts have ports from this one on, each its own; nothing is dialled.
const FIRST_HOST_PORT: u16 = 10_000;
/// The status of a health check that was answered.
const STATUS_OK: u16 = 200;
/// The status of a health check that was rejected.
const STATUS_UNAVAILABLE: u16 = 503;

/// An address that stands for a service.
pub(super) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn host_address(host: HostId) -> SocketAddr {
    loopback(FIRST_HOST_PORT + host.0 as u16)
}

fn host_at(address: SocketAddr) -> HostId {
    HostId(u32::from(address.port() - FIRST_HOST_PORT))
}

fn line(text: String) -> FramedLine {
    FramedLine::Line(text.into_bytes())
}

/// The services around one director.
pub(super) struct Surroundings {
    relay_state: RelayTables,
    relay_is_down: bool,
    /// When the relay's next heartbeat is due, simulated seconds.
    heartbeat_at: f64,
    relay_links: Vec<LinkId>,
    /// Of them, those that have subscribed to updates.
    subscribers: Vec<LinkId>,
    endpoints: BTreeMap<HostId, HostListEntry>,
    endpoints_version: u64,
    /// Connections that watch the endpoint list.
    watches: Vec<LinkId>,
    /// The connection of each zone's collector.
    collectors: Vec<ConnectionId>,
    connections: u64,
    /// By host: health checks without an answer, each by the host that the director has given.
    pending_health_checks: BTreeMap<HostId, VecDeque<HostId>>,
}

impl Surroundings {
    /// The state that the first inputs of a director tell.
    pub(super) fn new(now: f64, inputs: &[Input]) -> Self {
        let mut surroundings = Surroundings {
            relay_state: RelayTables::default(),
            relay_is_down: false,
            heartbeat_at: now + HEARTBEAT_INTERVAL,
            relay_links: vec![],
            subscribers: vec![],
            endpoints: BTreeMap::new(),
            endpoints_version: 0,
            watches: vec![],
            collectors: vec![],
            connections: 0,
            pending_health_checks: BTreeMap::new(),
        };
        for input in inputs {
            surroundings.relay_state.apply_input(input);
            if let Input::HostListUpdate { version, entries, .. } = input {
                surroundings.merge_endpoints(*version, entries);
            }
        }
        surroundings
    }

    fn merge_endpoints(&mut self, version: u64, entries: &[HostListEntry]) {
        self.endpoints_version = version;
        for entry in entries {
            self.endpoints.insert(entry.host, entry.clone());
        }
    }

    /// The whole endpoint list, as the discovery service sends it.
    pub(super) fn all_endpoints(&self, platform: &Platform) -> String {
        let entries: Vec<HostListEntry> = self.endpoints.values().cloned().collect();
        platform.endpoint_list(self.endpoints_version, true, &entries, &host_address)
    }

    /// When the relay's next heartbeat is due, simulated seconds.
    pub(super) fn heartbeat_at(&self) -> f64 {
        self.heartbeat_at
    }

    /// The collector of each zone connects to the director.
    pub(super) fn connect_collectors(&mut self, platform: &Platform, events: &mut VecDeque<Event>) {
        for zone in 0..platform.settings.zone_names.len() {
            self.connect_collector(platform, ZoneId(zone as u16), events);
        }
    }

    fn connect_collector(&mut self, platform: &Platform, zone: ZoneId, events: &mut VecDeque<Event>) {
        let connection = ConnectionId(self.connections);
        self.connections += 1;
        match self.collectors.get_mut(zone.0 as usize) {
            Some(old) => *old = connection,
            None => self.collectors.push(connection),
        }
        events.push_back(Event::Accepted(connection));
        events.push_back(Event::Received(connection, platform.collector_hello(zone).into_bytes()));
    }

    /// The relay goes down or is up again. When it goes down its connections break; until it is up it accepts no
    /// others.
    pub(super) fn set_relay_down(&mut self, is_down: bool, events: &mut VecDeque<Event>) {
        let goes_down = is_down && !self.relay_is_down;
        self.relay_is_down = is_down;
        if !goes_down {
            return;
        }
        for link in self.relay_links.drain(..) {
            events.push_back(Event::RelayDisconnected(link, "closed by the relay".into()));
        }
        self.subscribers.clear();
    }

    /// The relay sends its heartbeat if it is due.
    pub(super) fn send_due_heartbeats(&mut self, now: f64, events: &mut VecDeque<Event>) {
        if now < self.heartbeat_at || self.relay_is_down {
            return;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        for link in &self.subscribers {
            events.push_back(Event::RelayLines(*link, vec![FramedLine::Line(HEARTBEAT.to_vec())]));
        }
    }

    /// An input of the world, as the events that it is on the director's sockets.
    pub(super) fn receive(&mut self, platform: &Platform, input: &Input, events: &mut VecDeque<Event>) {
        self.relay_state.apply_input(input);
        if let Some(text) = platform.relay_update(input) {
            for link in &self.subscribers {
                events.push_back(Event::RelayLines(*link, vec![line(text.clone())]));
            }
        }
        if let Some((zone, text)) = platform.collector_report(input) {
            let connection = self.collectors[zone.0 as usize];
            events.push_back(Event::Received(connection, text.into_bytes()));
        }
        match input {
            Input::HostListUpdate { version, entries, .. } => {
                self.merge_endpoints(*version, entries);
                let text = platform.endpoint_list(*version, false, entries, &host_address);
                for link in &self.watches {
                    events.push_back(Event::WatchLines(*link, vec![line(text.clone())]));
                }
            }
            Input::ProbeFinished { host, outcome, duration: took, load } => {
                self.answer_health_check(*host, *outcome, *took, load, events);
            }
            _ => {}
        }
    }

    /// A host answers the oldest health check that waits for it; `took` is in seconds.
    fn answer_health_check(
        &mut self,
        host: HostId,
        outcome: Outcome,
        took: f64,
        load: &LoadReport,
        events: &mut VecDeque<Event>,
    ) {
        let pending = self.pending_health_checks.get_mut(&host);
        let Some(asked) = pending.and_then(VecDeque::pop_front) else { return };
        let probe_outcome = match outcome {
            Outcome::Succeeded => ProbeOutcome::Status(STATUS_OK),
            Outcome::Throttled => ProbeOutcome::Status(STATUS_UNAVAILABLE),
            Outcome::TimedOut => ProbeOutcome::TimedOut,
            Outcome::ConnectFailed => ProbeOutcome::Unreachable,
            Outcome::ConnectionLost => ProbeOutcome::Broken,
            Outcome::ErrorResponse | Outcome::Withdrawn | Outcome::Discarded => ProbeOutcome::Unreadable,
        };
        let body = match outcome {
            Outcome::Succeeded => Platform::health_check_body(load),
            _ => String::new(),
        };
        events.push_back(Event::ProbeFinished {
            host: asked,
            outcome: probe_outcome,
            duration: took,
            body: body.into_bytes(),
        });
    }

    /// Carries out an effect of the reducer. What follows from it goes to `events`, orders of the director to `orders`.
    pub(super) fn carry_out(
        &mut self,
        platform: &Platform,
        effect: Effect,
        events: &mut VecDeque<Event>,
        orders: &mut Vec<Order>,
    ) {
        match effect {
            Effect::ConnectRelay(link, _) => self.accept_relay_link(link, events),
            Effect::SendToRelay(link, bytes) if self.relay_links.contains(&link) => {
                self.receive_at_relay(platform, link, &bytes, events, orders);
            }
            Effect::CloseRelay(link) => {
                self.relay_links.retain(|known| *known != link);
                self.subscribers.retain(|known| *known != link);
            }
            Effect::OpenWatch(link, _, _) => {
                self.watches.push(link);
                events.push_back(Event::WatchLines(link, vec![line(self.all_endpoints(platform))]));
            }
            Effect::CloseWatch(link) => self.watches.retain(|known| *known != link),
            Effect::StartProbe { host, address, .. } => {
                let checked = host_at(address);
                self.pending_health_checks.entry(checked).or_default().push_back(host);
                orders.push(Order::Probe(checked));
            }
            Effect::CloseConnection(connection) => self.reconnect_collector(platform, connection, events),
            _ => {}
        }
    }

    fn accept_relay_link(&mut self, link: LinkId, events: &mut VecDeque<Event>) {
        if self.relay_is_down {
            events.push_back(Event::RelayDisconnected(link, "Connection refused".into()));
        } else {
            self.relay_links.push(link);
            events.push_back(Event::RelayConnected(link));
        }
    }

    /// The relay reads a line of the director: a subscription or a call.
    fn receive_at_relay(
        &mut self,
        platform: &Platform,
        link: LinkId,
        bytes: &[u8],
        events: &mut VecDeque<Event>,
        orders: &mut Vec<Order>,
    ) {
        let text = String::from_utf8_lossy(bytes);
        if text.trim() == SUBSCRIBE {
            self.subscribers.push(link);
            let lines = self.relay_state.snapshot_lines(platform).into_iter().map(line).collect();
            events.push_back(Event::RelayLines(link, lines));
            return;
        }
        // A call that cannot be read is a fault of the director's, which a play must not hide.
        let taken = platform.orders(text.trim()).unwrap_or_else(|error| panic!("{error}"));
        let answer = format!("OK {}", taken.len());
        self.relay_state.apply_orders(&taken);
        orders.extend(taken);
        events.push_back(Event::RelayLines(link, vec![line(answer)]));
    }

    /// A collector whose connection the director has closed connects again.
    fn reconnect_collector(
        &mut self,
        platform: &Platform,
        closed: ConnectionId,
        events: &mut VecDeque<Event>,
    ) {
        let zone = self.collectors.iter().position(|known| *known == closed);
        if let Some(zone) = zone {
            self.connect_collector(platform, ZoneId(zone as u16), events);
        }
    }
}
