//! Connections taken at the director's address. Each is new until it names a zone of ours, and has a second for that;
//! then it is a collector's. What a new one may say is a joining or a `probe`, in a short line; for anything else
//! it is closed at once. A collector's spoilt line costs only itself, but a stream that goes on unreadable is closed.

use super::{ConnId, Effect, Out, Sparing};
use crate::framing::{Framed, Framer};
use coppersail::interface::ZoneId;
use coppersail_protocol::collector::{hopeless, MOST};
use std::collections::BTreeMap;

/// Who has not joined by then is none of ours. A joining follows its connection within milliseconds.
const JOIN_MOST: f64 = 1.0;
/// Bytes in a line before joining: many times a joining or a `probe`.
const NEW_LINE_MOST: usize = 1024;
/// A new connection is heard for so long before it may have to make room: what it said at once has come by then.
const HEAR_MOST: f64 = 0.25;
/// Unreadable lines in a row after which the stream is of no further use. One spoilt line that holds an LF makes two.
const UNREADABLE_MOST: u32 = 3;
/// So long, and so many bytes, may a collector's line go on that can't become a message.
const HOPELESS_MOST: f64 = 0.5;
const HOPELESS_BYTES_MOST: usize = 1 << 14;
/// Another has joined for the zone of a collector that was silent so long: it has returned on a new connection.
const STALE: f64 = 10.0;

struct Peer {
    since: f64,
    heard: f64,
    /// It has joined.
    zone: Option<ZoneId>,
    /// It has been told that we live.
    answered: bool,
    framer: Framer,
    /// Unreadable lines in a row.
    unreadable: u32,
    /// Since when the line begun can't become a message, and how much of it has come since.
    hopeless: Option<(f64, usize)>,
}

/// Whom to believe about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    New,
    Joined,
}

pub struct Taken {
    most: usize,
    /// Bytes of lines begun, of all together.
    begun_most: usize,
    peers: BTreeMap<ConnId, Peer>,
    accepting: bool,
    log: Sparing,
}

impl Taken {
    pub fn new(most: usize, begun_most: usize) -> Self {
        Taken { most, begun_most, peers: BTreeMap::new(), accepting: true, log: Sparing::default() }
    }

    pub fn accepted(&mut self, now: f64, conn: ConnId, out: &mut Out) {
        out.counters.connections_taken += 1;
        let (framer, hopeless) = (Framer::new(NEW_LINE_MOST), None);
        let peer =
            Peer { since: now, heard: now, zone: None, answered: false, framer, unreadable: 0, hopeless };
        self.peers.insert(conn, peer);
    }

    /// The next line that `bytes` complete, and whose it is; nothing more from a connection that was closed for it.
    pub fn next(
        &mut self,
        now: f64,
        conn: ConnId,
        bytes: &mut &[u8],
        out: &mut Out,
    ) -> Option<(Sender, Framed)> {
        let most = match self.peers.get(&conn)?.zone {
            Some(_) => MOST.min(self.room(conn)),
            None => NEW_LINE_MOST,
        };
        let peer = self.peers.get_mut(&conn)?;
        (peer.heard, peer.framer.most) = (now, most);
        let piece = bytes.rsplit(|byte| *byte == b'\n').next().unwrap_or_default();
        if let Some(line) = peer.framer.next(bytes) {
            out.counters.lines_in += 1;
            peer.hopeless = None;
            let joined = peer.zone.is_some();
            return Some((if joined { Sender::Joined } else { Sender::New }, line));
        }
        if !piece.is_empty()
            && (peer.hopeless.is_some() || peer.framer.passing() || hopeless(peer.framer.line(), piece))
        {
            let (since, many) = peer.hopeless.unwrap_or((now, 0));
            peer.hopeless = Some((since, many + piece.len()));
            if peer.zone.is_none() || many + piece.len() > HOPELESS_BYTES_MOST {
                self.drop(now, conn, "what it says cannot be read", out);
            }
        }
        None
    }

    /// Bytes that a line of this connection may have: whatever the others have begun, all together stay within their
    /// part of the memory.
    fn room(&self, conn: ConnId) -> usize {
        let others = self.peers.iter().filter(|(other, _)| **other != conn);
        let begun: usize = others.map(|(_, peer)| peer.framer.line().len()).sum();
        self.begun_most.saturating_sub(begun)
    }

    pub fn joined(&mut self, now: f64, conn: ConnId, zone: ZoneId, out: &mut Out) {
        out.counters.zones_named += 1;
        let stale = |(_, peer): &(&ConnId, &Peer)| peer.zone == Some(zone) && now - peer.heard > STALE;
        for old in self.peers.iter().filter(stale).map(|(conn, _)| *conn).collect::<Vec<_>>() {
            self.drop(now, old, "silent, and another has joined for its zone", out);
        }
        self.peers.get_mut(&conn).into_iter().for_each(|peer| (peer.zone, peer.unreadable) = (Some(zone), 0));
    }

    /// Tells a new connection that we live. Nothing is ever written to a collector.
    pub fn answer(&mut self, conn: ConnId, alive: &'static [u8], out: &mut Out) {
        if let Some(peer) = self.peers.get_mut(&conn).filter(|peer| peer.zone.is_none()) {
            peer.answered = true;
            out.counters.alive_answers += 1;
            out.effects.push(Effect::Say(conn, alive));
        }
    }

    /// A collector's line was a message, with whatever fault, or was none.
    pub fn judged(&mut self, now: f64, conn: ConnId, readable: bool, out: &mut Out) {
        let Some(peer) = self.peers.get_mut(&conn) else { return };
        peer.unreadable = if readable { 0 } else { peer.unreadable + 1 };
        if peer.unreadable >= UNREADABLE_MOST {
            self.drop(now, conn, "its stream goes on with what cannot be read", out);
        }
    }

    pub fn ended(&mut self, conn: ConnId, out: &mut Out) {
        if self.peers.contains_key(&conn) {
            out.counters.connections_ended += 1;
            self.give_back(conn, out);
        }
    }

    pub fn drop(&mut self, now: f64, conn: ConnId, why: &str, out: &mut Out) {
        let Some(peer) = self.peers.get(&conn) else { return };
        let (count, who) = match peer.zone {
            Some(_) => (&mut out.counters.collectors_dropped, "collector"),
            None => (&mut out.counters.strangers_dropped, "stranger"),
        };
        *count += 1;
        self.log.warn(now, format!("{who}: connection dropped, {why}"), out);
        self.give_back(conn, out);
    }

    /// The one place where a taken connection is given back.
    fn give_back(&mut self, conn: ConnId, out: &mut Out) {
        self.peers.remove(&conn);
        out.effects.push(Effect::Drop(conn));
    }

    /// Closes who has not joined in time, and makes room for one more.
    pub fn pump(&mut self, now: f64, out: &mut Out) {
        let ends = self.peers.iter().filter_map(|(conn, peer)| Some((*conn, peer.ends()?)));
        for (conn, (_, why)) in ends.filter(|(_, (at, _))| now >= *at).collect::<Vec<_>>() {
            self.drop(now, conn, why, out);
        }
        while self.peers.len() >= self.most {
            let Some(conn) = self.last(now) else { break };
            self.drop(now, conn, "to make room", out);
        }
        // Who waits to be taken waits in the system's queue, for a quarter of a second at most.
        let accepting = self.peers.len() < self.most;
        if std::mem::replace(&mut self.accepting, accepting) != accepting {
            out.effects.push(Effect::Accept(accepting));
        }
    }

    /// Who makes room: a new one that has its answer or, after a while, has said nothing. A collector only if they
    /// fill half by themselves: then the one that was silent longest, as one that vanished never ends its own.
    fn last(&self, now: f64) -> Option<ConnId> {
        let new = self.peers.iter().filter(|(_, peer)| peer.zone.is_none());
        let heard = new.filter(|(_, peer)| peer.answered || now - peer.since >= HEAR_MOST);
        let first = heard.min_by(|a, b| {
            (!a.1.answered, a.1.since).partial_cmp(&(!b.1.answered, b.1.since)).expect("times")
        });
        let joined = self.peers.iter().filter(|(_, peer)| peer.zone.is_some());
        let silent = joined.clone().min_by(|a, b| a.1.heard.total_cmp(&b.1.heard));
        let crowd = silent.filter(|_| joined.count() > self.most / 2);
        first.or(crowd).map(|(conn, _)| *conn)
    }

    /// When `pump` may have something to do by itself.
    pub fn wake_at(&self) -> f64 {
        let ends = self.peers.values().filter_map(Peer::ends).map(|(at, _)| at);
        // While none is taken, the first one that may make room.
        let new = self.peers.values().filter(|peer| peer.zone.is_none() && !self.accepting);
        ends.chain(new.map(|peer| peer.since + HEAR_MOST)).fold(f64::INFINITY, f64::min)
    }

    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.peers.len()
    }
}

impl Peer {
    /// When its time is over, if it goes on like this, and why.
    fn ends(&self) -> Option<(f64, &'static str)> {
        match (self.zone, self.hopeless) {
            (None, _) => Some((self.since + JOIN_MOST, "not joined in time")),
            (Some(_), Some((since, _))) => {
                Some((since + HOPELESS_MOST, "a line that cannot be read goes on"))
            }
            (Some(_), None) => None,
        }
    }
}
