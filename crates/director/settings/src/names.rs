//! Names of zones, machine kinds, routes and hosts, and the numeric ids that the decisions use for them.

use crate::boot::{DirectorSettings, List};
use coppersail::interface as api;
use std::collections::BTreeMap;
use std::fmt;

/// The kind of object that a name refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// A zone.
    Zone,
    /// A kind of machine.
    MachineKind,
    /// A route.
    Route,
}

impl fmt::Display for NameKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            NameKind::Zone => "a zone",
            NameKind::MachineKind => "a kind",
            NameKind::Route => "a class",
        })
    }
}

/// A name that the settings do not define. Its text states what was expected, for use after the name of a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} of the settings, one of {}", .known.join(", "))]
pub struct UnknownName {
    /// The name that was found.
    pub name: String,
    /// The kind of object that it was expected to refer to.
    pub kind: NameKind,
    /// The names of this kind that the settings define.
    pub known: Vec<String>,
}

/// The names that a director's settings define, and the names of the hosts that it knows.
pub struct Names {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
    routes: Vec<String>,
    host_names: BTreeMap<api::HostId, String>,
    /// The reverse of `host_names`.
    host_ids: BTreeMap<String, api::HostId>,
    /// Id of the next new host. Ids are not reused, so that a delayed message about a removed host cannot be applied to
    /// another host.
    next_host_id: u32,
}

impl Names {
    /// The names that the settings define, without any hosts.
    pub fn new(settings: &DirectorSettings) -> Self {
        let list = |names: &Option<List<String>>| names.clone().unwrap_or_default().0;
        let route_name = |class: &crate::boot::RouteClass| class.name.clone().unwrap_or_default();
        Names {
            zones: list(&settings.general.zones),
            machine_kinds: list(&settings.general.kinds),
            routes: settings.classes.iter().map(route_name).collect(),
            host_names: BTreeMap::new(),
            host_ids: BTreeMap::new(),
            next_host_id: 0,
        }
    }

    /// The host's id. An unknown or removed name gets a new id.
    pub fn host_id(&mut self, name: &str) -> api::HostId {
        if let Some(host) = self.host_ids.get(name) {
            return *host;
        }
        let host = api::HostId(self.next_host_id);
        self.next_host_id += 1;
        self.host_names.insert(host, name.to_string());
        self.host_ids.insert(name.to_string(), host);
        host
    }

    /// The host's id, if the host is known.
    pub fn known_host_id(&self, name: &str) -> Option<api::HostId> {
        self.host_ids.get(name).copied()
    }

    /// The host's name, or `(forgotten)` if the host is not known any more.
    pub fn host_name(&self, host: api::HostId) -> &str {
        self.host_names.get(&host).map_or("(forgotten)", String::as_str)
    }

    /// Removes a host and its name.
    pub fn forget(&mut self, host: api::HostId) {
        if let Some(name) = self.host_names.remove(&host) {
            self.host_ids.remove(&name);
        }
    }

    /// Number of known hosts.
    pub fn host_count(&self) -> usize {
        self.host_names.len()
    }

    /// The text of a log line, followed by the names of the hosts that it concerns.
    pub fn log_line(&self, text: &str, hosts: &[api::HostId]) -> String {
        if hosts.is_empty() {
            return text.to_string();
        }
        let names: Vec<&str> = hosts.iter().map(|host| self.host_name(*host)).collect();
        format!("{text}: {}", names.join(" "))
    }

    /// The id of a zone.
    ///
    /// # Errors
    /// The settings define no zone with this name.
    pub fn zone(&self, name: &str) -> Result<api::ZoneId, UnknownName> {
        index_of(name, &self.zones, NameKind::Zone).map(api::ZoneId)
    }

    /// The id of a machine kind.
    ///
    /// # Errors
    /// The settings define no machine kind with this name.
    pub fn machine_kind(&self, name: &str) -> Result<api::MachineTypeId, UnknownName> {
        index_of(name, &self.machine_kinds, NameKind::MachineKind).map(api::MachineTypeId)
    }

    /// The id of a route.
    ///
    /// # Errors
    /// The settings define no route with this name.
    pub fn route(&self, name: &str) -> Result<api::RouteId, UnknownName> {
        index_of(name, &self.routes, NameKind::Route).map(api::RouteId)
    }

    /// The name of a route.
    ///
    /// # Panics
    /// The settings define no route with this id.
    pub fn route_name(&self, route: api::RouteId) -> &str {
        &self.routes[usize::from(route.0)]
    }
}

fn index_of(name: &str, known: &[String], kind: NameKind) -> Result<u16, UnknownName> {
    match known.iter().position(|known| known == name) {
        Some(index) => Ok(index as u16),
        None => Err(UnknownName { name: name.to_string(), kind, known: known.to_vec() }),
    }
}

#[cfg(test)]
mod tests;
