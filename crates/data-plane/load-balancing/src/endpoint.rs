//! One endpoint as this edge knows it: its state, its address, and whether requests may be sent to it.
use crate::health::Health;
use crate::load::Load;
use crate::Ms;
use coppersail_peer_protocol::{EndpointState, EndpointUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long (ms) an endpoint gets no requests after another endpoint responded at its address. A later
/// heartbeat of the endpoint confirms the address sooner.
const STALE_ADDRESS_RETRY_MS: Ms = 3_000;

/// How long (ms) a draining endpoint still gets requests for the keys that it owns. `drain_timeout` is the
/// time for which it keeps serving after announcing the drain. Two fifths of it are used, which leaves the
/// last requests the rest of the time to complete.
pub fn drain_grace(drain_timeout: Duration) -> Ms {
    drain_timeout.as_millis() as Ms * 2 / 5
}

/// An endpoint: one instance of a service.
#[derive(Debug)]
pub struct Endpoint {
    /// Instance id, unique across all services; a restarted instance gets a new one.
    pub id: Rc<str>,
    /// The service that it is an instance of.
    pub service: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Whether it is in this edge's zone.
    pub same_zone: bool,
    /// Number of requests that it processes concurrently.
    pub capacity: u32,
    /// Lifecycle state, which only advances: ready, draining, removed.
    pub state: EndpointState,
    /// When this edge learned that the endpoint is draining. The endpoint's drain request is acknowledged no
    /// earlier.
    draining_since: Ms,
    /// Whether it has missed heartbeats and is not yet removed.
    pub suspect: bool,
    /// End of the period after its start in which it responds slowly.
    pub slow_start_until: Ms,
    heartbeat_sequence: u64,
    /// Set if the last snapshot of a control-plane node does not list the endpoint: the time at which it is
    /// dropped.
    pub(crate) unlisted_until: Option<Ms>,
    stale_address_until: Ms,
    /// Load estimate of this edge.
    pub load: Load,
    /// Outlier detection state.
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
            // If it is already draining, the start of the drain is unknown and it may be about to exit.
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

    /// Merges an update, which may be older than the known state. Returns whether the lifecycle state
    /// advanced.
    pub(crate) fn merge(&mut self, update: &EndpointUpdate, address: SocketAddr, now: Ms) -> bool {
        self.unlisted_until = None;
        let advanced = self.state < update.state;
        if advanced {
            // The time since an earlier acknowledgement is not known, so the endpoint may be about to exit.
            let draining_since = if update.drain_acknowledged { 0 } else { now };
            (self.state, self.draining_since) = (update.state, draining_since);
        }
        if update.heartbeat_sequence > self.heartbeat_sequence {
            // A heartbeat from the endpoint itself confirms the address.
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

    /// Records that another endpoint responded at its address: it gets no requests for
    /// [`STALE_ADDRESS_RETRY_MS`].
    pub(crate) fn mark_stale_address(&mut self, now: Ms) {
        self.stale_address_until = self.stale_address_until.max(now + STALE_ADDRESS_RETRY_MS);
    }

    /// Records that another endpoint took over its address: it gets no requests until its next heartbeat.
    pub(crate) fn mark_address_taken(&mut self) {
        self.stale_address_until = Ms::MAX;
    }

    /// Whether any request may be sent to it.
    pub fn usable(&self, now: Ms) -> bool {
        self.state == EndpointState::Ready && now >= self.stale_address_until
    }

    /// Whether requests for keys that it owns may be sent to it. No other endpoint may process them, so they
    /// are still accepted for `drain_grace` ms after the drain began.
    pub fn accepts_owned_keys(&self, now: Ms, drain_grace: Ms) -> bool {
        self.usable(now)
            || (self.state == EndpointState::Draining
                && now >= self.stale_address_until
                && now < self.draining_since + drain_grace)
    }

    /// Whether a request for which it was selected earlier may still be sent to it.
    pub fn still_accepts(&self, now: Ms, key: Option<u16>, drain_grace: Ms) -> bool {
        self.state == EndpointState::Ready || (key.is_some() && self.accepts_owned_keys(now, drain_grace))
    }
}

#[cfg(test)]
mod tests;
