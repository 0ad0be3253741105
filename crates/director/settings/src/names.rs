//! Where names end: what the settings and the list name becomes numbers, and times of a foreign clock seconds.

use crate::{span, Boot};
use coppersail::interface as api;
use std::collections::BTreeMap;

/// Outside, times are whole nanoseconds of a clock that starts anywhere. Inside they are seconds since the
/// director's start, which a fraction holds to the nanosecond for weeks.
#[derive(Clone, Copy)]
pub struct Clock {
    origin_ns: u64,
}

impl Clock {
    pub fn starting(origin_ns: u64) -> Self {
        Clock { origin_ns }
    }
    pub fn seconds(self, ns: u64) -> f64 {
        let (ahead, behind) = (ns.saturating_sub(self.origin_ns), self.origin_ns.saturating_sub(ns));
        span(ahead) - span(behind)
    }
    pub fn nanoseconds(self, at: f64) -> u64 {
        let ns = (at * 1e9).round();
        if ns < 0.0 {
            self.origin_ns.saturating_sub(-ns as u64)
        } else {
            self.origin_ns.saturating_add(ns as u64)
        }
    }
}

/// The names of one director's settings, and the hosts that it has been told of.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    routes: Vec<String>,
    /// Names by number, and numbers by name. No number is used again, so what is late to name a host that was
    /// forgotten names nobody.
    hosts: BTreeMap<api::HostId, String>,
    numbers: BTreeMap<String, api::HostId>,
    next: u32,
}

fn place(list: &[String], name: &str, what: &str) -> Result<u16, String> {
    let at = list.iter().position(|known| known == name);
    at.map(|at| at as u16).ok_or_else(|| format!("{what} of the settings, one of {}", list.join(", ")))
}

impl Names {
    pub fn new(boot: &Boot) -> Self {
        let names = |list: &Option<crate::boot::List<String>>| list.clone().unwrap_or_default().0;
        Names {
            zones: names(&boot.top.zones),
            kinds: names(&boot.top.kinds),
            routes: boot.classes.iter().map(|class| class.name.clone().unwrap_or_default()).collect(),
            hosts: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
        }
    }

    /// The host's number, a new one when it is first named.
    pub fn host(&mut self, name: &str) -> api::HostId {
        if let Some(host) = self.numbers.get(name) {
            return *host;
        }
        let host = api::HostId(self.next);
        self.next += 1;
        self.hosts.insert(host, name.to_string());
        self.numbers.insert(name.to_string(), host);
        host
    }

    pub fn known_host(&self, name: &str) -> Option<api::HostId> {
        self.numbers.get(name).copied()
    }

    pub fn host_name(&self, host: api::HostId) -> &str {
        self.hosts.get(&host).map_or("(forgotten)", String::as_str)
    }

    /// Gives a host's name back.
    pub fn forget(&mut self, host: api::HostId) {
        self.hosts.remove(&host).into_iter().for_each(|name| _ = self.numbers.remove(&name));
    }

    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// What a log line says, with the names of the hosts that it is about.
    pub fn said(&self, text: &str, hosts: &[api::HostId]) -> String {
        let names: Vec<&str> = hosts.iter().map(|host| self.host_name(*host)).collect();
        let colon = if names.is_empty() { "" } else { ": " };
        format!("{text}{colon}{}", names.join(" "))
    }

    pub fn zone(&self, name: &str) -> Result<api::ZoneId, String> {
        place(&self.zones, name, "a zone").map(api::ZoneId)
    }

    pub fn kind(&self, name: &str) -> Result<api::KindId, String> {
        place(&self.kinds, name, "a kind").map(api::KindId)
    }

    pub fn route(&self, name: &str) -> Result<api::RouteId, String> {
        place(&self.routes, name, "a class").map(api::RouteId)
    }

    pub fn route_name(&self, route: api::RouteId) -> &str {
        &self.routes[route.0 as usize]
    }
}

/// A load report, of which `value` finds the figures by their names.
pub fn load(value: impl Fn(&str) -> Option<f64>) -> api::Load {
    api::Load {
        in_hand: value("rif"),
        waiting: value("q"),
        busy: value("busy"),
        service_time: value("lat_ms").map(|ms| ms / 1e3),
        answered_per_s: value("rate"),
        errors_per_s: value("fail_rate"),
    }
}

#[cfg(test)]
mod tests;
