//! One endpoint as an edge knows it: its state, address, and when requests may be sent to it.
use crate::health::Health;
use crate::load::Load;
use crate::Ms;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An address that another endpoint was found at is tried again after this (ms), unless a later heartbeat confirms it.
const STALE_ADDRESS_RETRY_MS: Ms = 3_000;

/// For how long (ms) a draining endpoint still gets requests for keys that only it owns, by how long it serves on after
/// it has announced that it drains: two fifths, so that what was sent last has the rest of the time to complete.
pub fn drain_grace(drain_timeout: Duration) -> Ms {
    drain_timeout.as_millis() as Ms * 2 / 5
}

/// An endpoint: one instance of a service.
#[derive(Debug)]
pub struct Endpoint {
    /// Unique over all services; a restarted instance has another one.
    pub id: Rc<str>,
    /// The service that it is an instance of.
    pub service: Rc<str>,
    /// Of its software.
    pub version: Rc<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Whether it is in this edge's zone.
    pub same_zone: bool,
    /// Requests that it processes at once.
    pub capacity: u32,
    /// Only ever rises, from ready over draining to removed.
    pub state: EndpointState,
    /// When this edge learned that it drains: not later than that was acknowledged to it.
    draining_since: Ms,
    /// Missed heartbeats, not yet removed.
    pub suspect: bool,
    /// It is slow until then, because it has just started.
    pub slow_start_until: Ms,
    heartbeat_sequence: u64,
    /// Until when it is used although the last snapshot of a control-plane node does not list it.
    pub(crate) unlisted_until: Option<Ms>,
    stale_address_until: Ms,
    /// How busy it is, as far as this edge can tell.
    pub load: Load,
    /// Outlier detection.
    pub health: Health,
}

impl Endpoint {
    pub(crate) fn new(update: &EndpointUpdate, address: SocketAddr, own_zone: &str, now: Ms) -> Endpoint {
        Endpoint {
            id: update.id.as_str().into(),
            service: update.service.as_str().into(),
            version: update.version.as_str().into(),
            address,
            same_zone: update.zone == own_zone,
            capacity: update.capacity,
            state: update.state,
            // Since when it drains is not known: it may be about to end.
            draining_since: 0,
            suspect: update.suspect,
            slow_start_until: now + update.slow_start_ms,
            heartbeat_sequence: update.heartbeat_sequence,
            unlisted_until: None,
            stale_address_until: 0,
            load: Load::new(update.capacity),
            health: Health::default(),
        }
    }

    /// Merges an update, which may be older than what is known. Returns whether its state advanced.
    pub(crate) fn merge(&mut self, update: &EndpointUpdate, address: SocketAddr, now: Ms) -> bool {
        self.unlisted_until = None;
        let advanced = self.state < update.state;
        if advanced {
            (self.state, self.draining_since) = (update.state, now);
        }
        if update.heartbeat_sequence > self.heartbeat_sequence {
            // Its own heartbeat confirms the address.
            (self.stale_address_until, self.address) = (0, address);
            self.heartbeat_sequence = update.heartbeat_sequence;
            self.slow_start_until = now + update.slow_start_ms;
        }
        if update.heartbeat_sequence >= self.heartbeat_sequence {
            self.suspect = update.suspect;
            if self.capacity != update.capacity {
                self.capacity = update.capacity;
                self.load.set_slots(update.capacity);
            }
        }
        advanced
    }

    /// Its address was found to be another endpoint's: it gets no request for a while.
    pub(crate) fn mark_stale_address(&mut self, now: Ms) {
        self.stale_address_until = self.stale_address_until.max(now + STALE_ADDRESS_RETRY_MS);
    }

    /// Another endpoint has taken over its address: only a heartbeat of its own brings it back.
    pub(crate) fn lose_address(&mut self) {
        self.stale_address_until = Ms::MAX;
    }

    /// Whether any request may be sent to it.
    pub fn usable(&self, now: Ms) -> bool {
        self.state == EndpointState::Ready && now >= self.stale_address_until
    }

    /// Whether requests for keys that it owns may be sent to it. No other endpoint may process them, so that this holds
    /// for `drain_grace` ms after it began to drain, too.
    pub fn accepts_owned_keys(&self, now: Ms, drain_grace: Ms) -> bool {
        self.usable(now)
            || (self.state == EndpointState::Draining
                && now >= self.stale_address_until
                && now < self.draining_since + drain_grace)
    }

    /// Whether a request that was assigned to it a moment ago may still be sent.
    pub fn still_accepts(&self, now: Ms, key: Option<u16>, drain_grace: Ms) -> bool {
        self.state == EndpointState::Ready || (key.is_some() && self.accepts_owned_keys(now, drain_grace))
    }
}

#[cfg(test)]
mod tests;
