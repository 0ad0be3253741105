//! Connections accepted at the director's address. A peer is new until it joins by naming a zone of the settings, and
//! has a second for that; then it is a collector. A new peer may only join or send a `probe`, in a short line; for
//! anything else its connection is closed at once. A collector's corrupt line costs only itself, but a stream that
//! stays unreadable is closed.

use super::effect::Effect;
use super::ids::ConnectionId;
use super::outbox::Outbox;
use super::rate_limited_log::RateLimitedLog;
use crate::framing::{FramedLine, LineFramer};
use coppersail::interface::ZoneId;
use coppersail_protocol::collector::{cannot_become_message, MAX_MESSAGE_BYTES as MAX_LINE_BYTES};
use std::collections::BTreeMap;

/// A new peer that has not joined by then is no collector, which joins within milliseconds of its connection.
const JOIN_TIMEOUT_S: f64 = 1.0;
/// Longest line of a new peer: many times a joining or a `probe`.
const MAX_NEW_LINE_BYTES: usize = 1024;
/// A new peer that has said nothing is kept for so long before it may have to make room: what it said at once has come
/// by then.
const NEW_GRACE_S: f64 = 0.25;
/// Unreadable lines in a row after which a stream is closed. One corrupt line that holds an LF makes two.
const MAX_UNREADABLE_LINES: u32 = 3;
/// How long a collector's line may go on that cannot become a message.
const MAX_UNREADABLE_S: f64 = 0.5;
/// How many bytes of it may come.
const MAX_UNREADABLE_BYTES: usize = 1 << 14;
/// A collector that was silent for so long is taken to have returned when another joins for its zone.
const STALE_AFTER_S: f64 = 10.0;

/// The part of a line that has come since the line could no longer become a message.
#[derive(Clone, Copy)]
struct UnreadableTail {
    since: f64,
    bytes: usize,
}

struct Peer {
    accepted_at: f64,
    last_activity: f64,
    /// Set once the peer has joined.
    zone: Option<ZoneId>,
    /// A `probe` was answered.
    answered: bool,
    framer: LineFramer,
    /// Number of unreadable lines in a row.
    unreadable_lines: u32,
    unreadable_tail: Option<UnreadableTail>,
}

/// Who has sent a line, as that decides what it may say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sender {
    /// A peer that has not joined.
    New,
    /// A collector.
    Joined,
}

/// The accepted connections.
pub(super) struct CollectorConnections {
    max_connections: usize,
    /// Bytes of incomplete lines that all connections together may hold.
    max_incomplete_bytes: usize,
    peers: BTreeMap<ConnectionId, Peer>,
    accepting: bool,
    log: RateLimitedLog,
}

impl CollectorConnections {
    pub(super) fn new(max_connections: usize, max_incomplete_bytes: usize) -> Self {
        CollectorConnections {
            max_connections,
            max_incomplete_bytes,
            peers: BTreeMap::new(),
            accepting: true,
            log: RateLimitedLog::default(),
        }
    }

    /// The listener has accepted a connection.
    pub(super) fn accepted(&mut self, now: f64, conn: ConnectionId, outbox: &mut Outbox) {
        outbox.counters.connections_taken += 1;
        let peer = Peer {
            accepted_at: now,
            last_activity: now,
            zone: None,
            answered: false,
            framer: LineFramer::new(MAX_NEW_LINE_BYTES),
            unreadable_lines: 0,
            unreadable_tail: None,
        };
        self.peers.insert(conn, peer);
    }

    /// The next line that `bytes` complete, and who has sent it; none if they complete no line, or if the connection
    /// is closed. `bytes` are then the rest.
    pub(super) fn next_line(
        &mut self,
        now: f64,
        conn: ConnectionId,
        bytes: &mut &[u8],
        outbox: &mut Outbox,
    ) -> Option<(Sender, FramedLine)> {
        let sender = self.peers.get(&conn)?.sender();
        let max_line_bytes = match sender {
            Sender::Joined => MAX_LINE_BYTES.min(self.available_bytes(conn)),
            Sender::New => MAX_NEW_LINE_BYTES,
        };
        let peer = self.peers.get_mut(&conn)?;
        peer.last_activity = now;
        peer.framer.max_line_bytes = max_line_bytes;
        let tail = bytes.rsplit(|byte| *byte == b'\n').next().unwrap_or_default();
        if let Some(line) = peer.framer.next_line(bytes) {
            outbox.counters.lines_in += 1;
            peer.unreadable_tail = None;
            return Some((sender, line));
        }
        if peer.is_unreadable(tail) {
            let before = peer.unreadable_tail.unwrap_or(UnreadableTail { since: now, bytes: 0 });
            let unreadable = UnreadableTail { since: before.since, bytes: before.bytes + tail.len() };
            peer.unreadable_tail = Some(unreadable);
            if sender == Sender::New || unreadable.bytes > MAX_UNREADABLE_BYTES {
                self.drop(now, conn, "what it says cannot be read", outbox);
            }
        }
        None
    }

    /// Bytes that a line of this connection may have, so that all incomplete lines together stay within their part of
    /// the memory.
    fn available_bytes(&self, conn: ConnectionId) -> usize {
        let others = self.peers.iter().filter(|(other, _)| **other != conn);
        let incomplete_bytes: usize = others.map(|(_, peer)| peer.framer.partial_line().len()).sum();
        self.max_incomplete_bytes.saturating_sub(incomplete_bytes)
    }

    /// The peer has joined as the collector of a zone.
    pub(super) fn joined(&mut self, now: f64, conn: ConnectionId, zone: ZoneId, outbox: &mut Outbox) {
        outbox.counters.zones_named += 1;
        let is_stale = |peer: &Peer| peer.zone == Some(zone) && now - peer.last_activity > STALE_AFTER_S;
        let stale: Vec<ConnectionId> =
            self.peers.iter().filter(|(_, peer)| is_stale(peer)).map(|(conn, _)| *conn).collect();
        for old in stale {
            self.drop(now, old, "silent, and another has joined for its zone", outbox);
        }
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.zone = Some(zone);
            peer.unreadable_lines = 0;
        }
    }

    /// Answers the `probe` of a new peer. Nothing is ever written to a collector.
    pub(super) fn answer(&mut self, conn: ConnectionId, alive: &'static [u8], outbox: &mut Outbox) {
        if let Some(peer) = self.peers.get_mut(&conn).filter(|peer| peer.zone.is_none()) {
            peer.answered = true;
            outbox.counters.alive_answers += 1;
            outbox.effects.push(Effect::SendToConnection(conn, alive));
        }
    }

    /// A line was a message, sound or not, or was none.
    pub(super) fn line_checked(
        &mut self,
        now: f64,
        conn: ConnectionId,
        is_message: bool,
        outbox: &mut Outbox,
    ) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        peer.unreadable_lines = if is_message { 0 } else { peer.unreadable_lines + 1 };
        if peer.unreadable_lines >= MAX_UNREADABLE_LINES {
            self.drop(now, conn, "its stream goes on with what cannot be read", outbox);
        }
    }

    /// The peer has closed the connection.
    pub(super) fn ended(&mut self, conn: ConnectionId, outbox: &mut Outbox) {
        if self.peers.contains_key(&conn) {
            outbox.counters.connections_ended += 1;
            self.release(conn, outbox);
        }
    }

    /// Closes a connection for this reason.
    pub(super) fn drop(&mut self, now: f64, conn: ConnectionId, reason: &str, outbox: &mut Outbox) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let who = match peer.sender() {
            Sender::Joined => {
                outbox.counters.collectors_dropped += 1;
                "collector"
            }
            Sender::New => {
                outbox.counters.strangers_dropped += 1;
                "stranger"
            }
        };
        self.log.warn(now, format!("{who}: connection dropped, {reason}"), outbox);
        self.release(conn, outbox);
    }

    /// The only place where an accepted connection is released.
    fn release(&mut self, conn: ConnectionId, outbox: &mut Outbox) {
        self.peers.remove(&conn);
        outbox.effects.push(Effect::CloseConnection(conn));
    }

    /// Closes connections whose time is over, and makes room for one more.
    pub(super) fn poll(&mut self, now: f64, outbox: &mut Outbox) {
        let mut expired = Vec::new();
        for (conn, peer) in &self.peers {
            if let Some(deadline) = peer.deadline().filter(|deadline| now >= deadline.at) {
                expired.push((*conn, deadline.reason));
            }
        }
        for (conn, reason) in expired {
            self.drop(now, conn, reason, outbox);
        }
        while self.peers.len() >= self.max_connections {
            let Some(conn) = self.select_for_eviction(now) else { break };
            self.drop(now, conn, "to make room", outbox);
        }
        // Connections that are not accepted wait in the system's queue, for a quarter of a second at most.
        let accepting = self.peers.len() < self.max_connections;
        if self.accepting != accepting {
            self.accepting = accepting;
            outbox.effects.push(Effect::SetAccepting(accepting));
        }
    }

    /// Who makes room: a new peer that has its answer or, after a while, one that has said nothing. A collector only if
    /// collectors fill more than half by themselves: then the one that was silent longest, as one that vanished never
    /// closes its connection.
    fn select_for_eviction(&self, now: f64) -> Option<ConnectionId> {
        let new = self.peers.iter().filter(|(_, peer)| peer.zone.is_none());
        let evictable = new.filter(|(_, peer)| peer.answered || now - peer.accepted_at >= NEW_GRACE_S);
        let first = evictable.min_by(|(_, a), (_, b)| {
            b.answered.cmp(&a.answered).then(a.accepted_at.total_cmp(&b.accepted_at))
        });
        if let Some((conn, _)) = first {
            return Some(*conn);
        }
        let collectors = self.peers.iter().filter(|(_, peer)| peer.zone.is_some());
        if collectors.clone().count() <= self.max_connections / 2 {
            return None;
        }
        let longest_idle = collectors.min_by(|(_, a), (_, b)| a.last_activity.total_cmp(&b.last_activity));
        longest_idle.map(|(conn, _)| *conn)
    }

    /// When `poll` may have something to do by itself; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let mut next = f64::INFINITY;
        for peer in self.peers.values() {
            if let Some(deadline) = peer.deadline() {
                next = next.min(deadline.at);
            }
            // While no connections are accepted, the first new peer that may make room.
            if peer.zone.is_none() && !self.accepting {
                next = next.min(peer.accepted_at + NEW_GRACE_S);
            }
        }
        next
    }

    #[cfg(test)]
    pub(super) fn count(&self) -> usize {
        self.peers.len()
    }
}

/// When a connection is closed if it goes on like this, and why.
struct Deadline {
    at: f64,
    reason: &'static str,
}

impl Peer {
    fn sender(&self) -> Sender {
        match self.zone {
            Some(_) => Sender::Joined,
            None => Sender::New,
        }
    }

    /// Whether the incomplete line, which `tail` has just been added to, cannot become a message.
    fn is_unreadable(&self, tail: &[u8]) -> bool {
        if tail.is_empty() {
            return false;
        }
        self.unreadable_tail.is_some()
            || self.framer.is_discarding()
            || cannot_become_message(self.framer.partial_line(), tail)
    }

    fn deadline(&self) -> Option<Deadline> {
        if self.zone.is_none() {
            return Some(Deadline { at: self.accepted_at + JOIN_TIMEOUT_S, reason: "not joined in time" });
        }
        let unreadable = self.unreadable_tail?;
        Some(Deadline {
            at: unreadable.since + MAX_UNREADABLE_S,
            reason: "a line that cannot be read goes on",
        })
    }
}
