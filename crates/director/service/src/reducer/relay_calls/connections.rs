//! The connections on which calls are sent to the relay: one in use and, while the relay moves to another address,
//! one to the new address.

use crate::reducer::effect::Effect;
use crate::reducer::ids::LinkId;
use crate::reducer::outbox::Outbox;
use std::net::SocketAddr;

/// State of one connection.
#[derive(Debug, PartialEq)]
pub(super) enum Connection {
    Closed,
    Connecting(LinkId),
    Open { link: LinkId, idle_since: f64 },
}

impl Connection {
    fn is(&self, id: LinkId) -> bool {
        match self {
            Connection::Closed => false,
            Connection::Connecting(link) | Connection::Open { link, .. } => *link == id,
        }
    }

    fn close(self, outbox: &mut Outbox) {
        match self {
            Connection::Closed => {}
            Connection::Connecting(link) | Connection::Open { link, .. } => {
                outbox.effects.push(Effect::CloseRelay(link));
            }
        }
    }
}

/// The connection in use and, after the relay has moved, its successor.
pub(super) struct RelayConnections {
    /// The relay's current address.
    address: SocketAddr,
    current: Connection,
    /// A connection to `address` that replaces `current` once it is open and no call is in flight.
    successor: Option<Connection>,
    /// When a successor that could not connect is dialled again.
    redial_at: f64,
}

impl RelayConnections {
    pub(super) fn new(address: SocketAddr) -> Self {
        RelayConnections { address, current: Connection::Closed, successor: None, redial_at: 0.0 }
    }

    pub(super) fn current(&self) -> &Connection {
        &self.current
    }

    pub(super) fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    pub(super) fn owns(&self, id: LinkId) -> bool {
        self.is_current(id) || self.successor.as_ref().is_some_and(|successor| successor.is(id))
    }

    pub(super) fn is_current(&self, id: LinkId) -> bool {
        self.current.is(id)
    }

    /// Whether this is the connection in use, and it is established.
    pub(super) fn is_open(&self, id: LinkId) -> bool {
        matches!(self.current, Connection::Open { link, .. } if link == id)
    }

    fn dial(&self, outbox: &mut Outbox) -> Connection {
        let link = outbox.allocate_link();
        outbox.effects.push(Effect::ConnectRelay(link, self.address));
        Connection::Connecting(link)
    }

    /// Closes the connection in use and dials another.
    pub(super) fn reconnect(&mut self, outbox: &mut Outbox) {
        self.close_current(outbox);
        self.current = self.dial(outbox);
    }

    pub(super) fn close_current(&mut self, outbox: &mut Outbox) {
        std::mem::replace(&mut self.current, Connection::Closed).close(outbox);
    }

    pub(super) fn connected(&mut self, now: f64, id: LinkId) {
        let open = Connection::Open { link: id, idle_since: now };
        match &mut self.successor {
            Some(successor) if successor.is(id) => *successor = open,
            _ => self.current = open,
        }
    }

    /// The connection in use has just answered a call.
    pub(super) fn answered(&mut self, now: f64, id: LinkId) {
        self.current = Connection::Open { link: id, idle_since: now };
    }

    /// The successor has failed and is dialled again at `redial_at`.
    pub(super) fn successor_failed(&mut self, redial_at: f64, outbox: &mut Outbox) {
        if let Some(successor) = self.successor.replace(Connection::Closed) {
            successor.close(outbox);
        }
        self.redial_at = redial_at;
    }

    /// Sets a new address of the relay. A call in flight is still answered on the connection on which it was sent,
    /// unless that breaks.
    pub(super) fn set_address(&mut self, address: SocketAddr, outbox: &mut Outbox) {
        if self.address == address {
            return;
        }
        self.address = address;
        if let Some(successor) = self.successor.take() {
            successor.close(outbox);
        }
        match self.current {
            Connection::Open { .. } => self.successor = Some(self.dial(outbox)),
            Connection::Connecting(_) => self.close_current(outbox),
            Connection::Closed => {}
        }
    }

    /// Switches to the successor once it is open and no call is in flight; dials a failed one again.
    pub(super) fn poll(&mut self, now: f64, call_in_flight: bool, outbox: &mut Outbox) {
        let Some(successor) = &self.successor else { return };
        let successor_is_open = matches!(successor, Connection::Open { .. });
        if self.current == Connection::Closed || (!call_in_flight && successor_is_open) {
            self.close_current(outbox);
            self.current = self.successor.take().unwrap_or(Connection::Closed);
        } else if *successor == Connection::Closed && now >= self.redial_at {
            self.successor = Some(self.dial(outbox));
        }
    }

    /// When a failed successor is dialled again; infinity without one.
    pub(super) fn next_timeout(&self) -> f64 {
        if self.successor == Some(Connection::Closed) {
            self.redial_at
        } else {
            f64::INFINITY
        }
    }
}
