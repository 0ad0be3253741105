//! What the messages of one play need to know of it: names, settings and the time of its beginning.

use coppersail::interface::{HostId, Settings, ZoneId};
use std::net::SocketAddr;

/// Before the number of a host in its name.
const HOST_PREFIX: char = 'h';
/// Nanoseconds in a second.
const NS_PER_SECOND: f64 = 1e9;

/// The addresses of a director and of the services that it uses.
#[derive(Clone, Copy, Debug)]
pub struct ServiceAddresses {
    /// Where the director accepts connections of collectors.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The relay.
    pub relay: SocketAddr,
}

/// The surroundings of one director.
pub struct Platform {
    /// What the director is told of the fleet.
    pub settings: Settings,
    /// The names of the routes, in the order of the settings.
    pub routes: Vec<String>,
    /// What the wall clock shows at time 0, milliseconds since 1970.
    pub start_ms: u64,
}

impl Platform {
    /// The name of a zone.
    pub(super) fn zone(&self, zone: ZoneId) -> &str {
        &self.settings.zone_names[zone.0 as usize]
    }
}

/// The name of a host.
pub fn host_name(host: HostId) -> String {
    format!("{HOST_PREFIX}{}", host.0)
}

/// The host of that name.
pub(super) fn host_id(name: &str) -> Option<HostId> {
    let number = name.strip_prefix(HOST_PREFIX)?;
    number.parse().ok().map(HostId)
}

/// Whole nanoseconds of a time in seconds.
pub(super) fn nanoseconds(seconds: f64) -> u64 {
    (seconds * NS_PER_SECOND).round() as u64
}
