//! Connections accepted at the director's address. A peer is new until it joins as a collector by naming a zone of
//! the settings, for which it has a second. A new peer may only join or send a `probe`, in a short line; anything
//! else closes its connection at once. A collector's corrupt line is skipped, but a stream that stays unreadable is
//! closed.

use super::effect::Effect;
use super::ids::ConnectionId;
use super::outbox::Outbox;
use super::rate_limited_log::RateLimitedLog;
use crate::framing::{FramedLine, LineFramer};
use coppersail::interface::ZoneId;
use coppersail_protocol::collector::{cannot_become_message, MAX_MESSAGE_BYTES as MAX_LINE_BYTES};
use std::collections::BTreeMap;

/// Time within which a new peer must join; a collector does so within milliseconds of its connection.
const JOIN_TIMEOUT_S: f64 = 1.0;
/// Longest line of a new peer: many times the length of the messages that it may send.
const MAX_NEW_LINE_BYTES: usize = 1024;
/// A new peer whose `probe` was not answered may be evicted only after this time, by which a message that it sent
/// right after connecting has arrived.
const NEW_GRACE_S: f64 = 0.25;
/// Consecutive unreadable lines after which a stream is closed. One corrupt line that contains an LF counts as two.
const MAX_UNREADABLE_LINES: u32 = 3;
/// How long a collector's line may continue once it cannot become a valid message.
const MAX_UNREADABLE_S: f64 = 0.5;
/// Maximum number of bytes of such a line.
const MAX_UNREADABLE_BYTES: usize = 1 << 14;
/// A collector that was silent for this long is taken to have reconnected when another one joins for its zone.
const STALE_AFTER_S: f64 = 10.0;

/// The part of a line that was received since the line can no longer become a valid message.
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

/// The kind of peer that sent a line, which determines the messages that are allowed.
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
    /// Maximum total size in bytes of the incomplete lines of all connections.
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

    /// Returns the next line that `bytes` complete and the kind of its sender, and leaves in `bytes` what follows it.
    /// `None` if `bytes` complete no line, or if the connection is closed.
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
                self.drop(now, conn, "its line cannot become a valid message", outbox);
            }
        }
        None
    }

    /// Maximum length of a line on this connection in bytes, such that the incomplete lines of all connections
    /// together stay within `max_incomplete_bytes`.
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
            self.drop(now, old, "it was silent, and another collector has joined for its zone", outbox);
        }
        if let Some(peer) = self.peers.get_mut(&conn) {
            peer.zone = Some(zone);
            peer.unreadable_lines = 0;
        }
    }

    /// Answers the `probe` of a new peer. Nothing is ever sent to a collector.
    pub(super) fn answer(&mut self, conn: ConnectionId, response: &'static [u8], outbox: &mut Outbox) {
        if let Some(peer) = self.peers.get_mut(&conn).filter(|peer| peer.zone.is_none()) {
            peer.answered = true;
            outbox.counters.alive_answers += 1;
            outbox.effects.push(Effect::SendToConnection(conn, response));
        }
    }

    /// Counts consecutive unreadable lines. `is_message` is also true for a message with invalid fields.
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
            self.drop(now, conn, "too many unreadable lines in a row", outbox);
        }
    }

    /// The peer has closed the connection.
    pub(super) fn ended(&mut self, conn: ConnectionId, outbox: &mut Outbox) {
        if self.peers.contains_key(&conn) {
            outbox.counters.connections_ended += 1;
            self.release(conn, outbox);
        }
    }

    /// Closes a connection and logs the reason.
    pub(super) fn drop(&mut self, now: f64, conn: ConnectionId, reason: &str, outbox: &mut Outbox) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let peer_kind = match peer.sender() {
            Sender::Joined => {
                outbox.counters.collectors_dropped += 1;
                "collector"
            }
            Sender::New => {
                outbox.counters.strangers_dropped += 1;
                "unjoined peer"
            }
        };
        self.log.warn(now, format!("{peer_kind}: connection closed: {reason}"), outbox);
        self.release(conn, outbox);
    }

    /// Releases an accepted connection; no other function does.
    fn release(&mut self, conn: ConnectionId, outbox: &mut Outbox) {
        self.peers.remove(&conn);
        outbox.effects.push(Effect::CloseConnection(conn));
    }

    /// Closes connections whose deadline has passed, and makes room for one more.
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
            self.drop(now, conn, "to make room for another connection", outbox);
        }
        // Connections that are not accepted yet wait in the listener's backlog, for at most `NEW_GRACE_S`.
        let accepting = self.peers.len() < self.max_connections;
        if self.accepting != accepting {
            self.accepting = accepting;
            outbox.effects.push(Effect::SetAccepting(accepting));
        }
    }

    /// Selects the connection to evict: a new peer whose `probe` was answered or, after `NEW_GRACE_S`, one that has
    /// not joined. A collector is evicted only if collectors use more than half of the connections: the one that was
    /// silent longest, since a machine that is down never closes its connection.
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

    /// When `poll` next has something to do without a further event; infinity if never.
    pub(super) fn next_timeout(&self) -> f64 {
        let mut next = f64::INFINITY;
        for peer in self.peers.values() {
            if let Some(deadline) = peer.deadline() {
                next = next.min(deadline.at);
            }
            // While no connections are accepted, the first new peer that may be evicted.
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

/// When a connection is closed unless its state changes, and why.
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
            return Some(Deadline {
                at: self.accepted_at + JOIN_TIMEOUT_S,
                reason: "it did not join in time",
            });
        }
        let unreadable = self.unreadable_tail?;
        Some(Deadline {
            at: unreadable.since + MAX_UNREADABLE_S,
            reason: "an unreadable line did not end in time",
        })
    }
}
