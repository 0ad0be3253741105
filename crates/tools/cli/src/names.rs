//! The names in the files, and the numbers that stand for them in the guard.

use coppersail::interface::{HostId, Order};
use coppersail_capacity_guard::Reason;

/// A name that is none of the pool's hosts.
#[derive(Debug, thiserror::Error)]
#[error("host {name}: expected one of the pool")]
pub(crate) struct UnknownHost {
    name: String,
}

/// Names by number: a host's, zone's or route's number is the place of its name in the list.
#[derive(Default)]
pub(crate) struct Names {
    pub(crate) hosts: Vec<String>,
    pub(crate) zones: Vec<String>,
    pub(crate) routes: Vec<String>,
}

/// The index of a name, which is appended if it is new.
pub(crate) fn intern(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl Names {
    pub(crate) fn host_id(&self, name: &str) -> Result<HostId, UnknownHost> {
        let index = self.hosts.iter().position(|known| known == name);
        index.map(|index| HostId(index as u32)).ok_or_else(|| UnknownHost { name: name.to_string() })
    }

    pub(crate) fn host_name(&self, host: HostId) -> &str {
        &self.hosts[host.0 as usize]
    }

    /// Why tables are unsafe, for a person.
    pub(crate) fn describe_reason(&self, reason: &Reason) -> String {
        match reason {
            Reason::Uncovered { slice } => format!("slice {}: no open host", slice.0),
            Reason::ColdOverload { host, calls, limit } => {
                let host = self.host_name(*host);
                format!("cold host {host}: {calls:.1} calls a second, it stands {limit:.1}")
            }
            Reason::WarmOverload { host, calls, limit } => {
                format!("host {}: {calls:.1} calls a second, at most {limit:.1}", self.host_name(*host))
            }
            Reason::HostConcentration { route, host, share, bound } => {
                let (host, route) = (self.host_name(*host), &self.routes[route.0 as usize]);
                format!("host {host}: {share:.2} of route {route}, at most {bound:.2}")
            }
            Reason::ZoneConcentration { route, zone, share, bound } => {
                let (zone, route) = (&self.zones[zone.0 as usize], &self.routes[route.0 as usize]);
                format!("zone {zone}: {share:.2} of route {route}, at most {bound:.2}")
            }
        }
    }

    /// An order of a repair, for a person.
    pub(crate) fn describe_order(&self, order: &Order) -> String {
        match order {
            Order::SetWeight { slice, host, weight } => {
                format!("slice {} host {} weight {weight}", slice.0, self.host_name(*host))
            }
            order => format!("{order:?}"),
        }
    }
}
