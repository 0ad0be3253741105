//! The names and the clock of one director instance.

use crate::error::InvalidEvent;
use coppersail::interface as api;
use coppersail_settings::{Clock, DirectorSettings};

/// Translates between the names on the wire and the numbers of the decisions, for one instance.
pub(crate) struct Names {
    /// Begins when the instance starts.
    pub(crate) clock: Clock,
    names: coppersail_settings::Names,
}

impl Names {
    /// The names of the settings, and no hosts.
    pub(crate) fn new(boot: &DirectorSettings, clock: Clock) -> Self {
        Names { clock, names: coppersail_settings::Names::new(boot) }
    }

    /// The id of a host, which becomes known if it was not.
    pub(crate) fn host(&mut self, address: &str) -> api::HostId {
        self.names.host_id(address)
    }

    /// The id of a host that is in the list or in a table. Reports about other hosts are of no use, and would keep
    /// their names for good.
    pub(crate) fn known_host(&self, address: &str) -> Result<api::HostId, InvalidEvent> {
        let host = self.names.known_host_id(address);
        host.ok_or_else(|| InvalidEvent::value("host", address, "a host that was listed"))
    }

    /// The address of a host.
    pub(crate) fn address(&self, host: api::HostId) -> String {
        self.names.host_name(host).to_string()
    }

    /// Removes a host.
    pub(crate) fn forget(&mut self, host: api::HostId) {
        self.names.forget(host);
    }

    /// The number of a zone.
    pub(crate) fn zone(&self, name: &str) -> Result<api::ZoneId, InvalidEvent> {
        self.names.zone(name).map_err(|unknown| InvalidEvent::name("rack-zone", &unknown))
    }

    /// The number of a route.
    pub(crate) fn route(&self, name: &str) -> Result<api::RouteId, InvalidEvent> {
        self.names.route(name).map_err(|unknown| InvalidEvent::name("grade", &unknown))
    }

    /// The number of a machine kind.
    pub(crate) fn machine_kind(&self, name: &str) -> Result<api::MachineTypeId, InvalidEvent> {
        self.names.machine_kind(name).map_err(|unknown| InvalidEvent::name("sku", &unknown))
    }

    /// A line of the log, with the addresses of the hosts that it is about.
    pub(crate) fn log_line(&self, text: &str, hosts: &[api::HostId]) -> String {
        self.names.log_line(text, hosts)
    }
}

#[cfg(test)]
pub(crate) mod tests;
