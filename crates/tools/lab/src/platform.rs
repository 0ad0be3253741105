//! The platform's messages from the surroundings' side: what a relay, a list, collectors and hosts say to a director, and
//! what of its calls is an order. The forms are those of `crates/director/protocol`; no I/O here.

use coppersail::interface::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where a director finds what, and is found.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
}

pub struct Platform {
    pub settings: Settings,
    pub routes: Vec<String>,
    /// What the wall clock shows when the play begins, milliseconds since 1970.
    pub began_ms: u64,
}

pub fn host_name(host: HostId) -> String {
    format!("h{}", host.0)
}

fn host_of(name: &str) -> Option<HostId> {
    name.strip_prefix('h')?.parse().ok().map(HostId)
}

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9).round() as u64
}

impl Platform {
    fn zone(&self, zone: ZoneId) -> &str {
        &self.settings.zones[zone.0 as usize]
    }

    /// The configuration of a director.
    pub fn config(&self, name: &str, seed: u64, at: &Places, known: &str) -> String {
        let s = &self.settings;
        let class = |(route, name): (&Route, &String)| {
            let semantics = match route.semantics {
                Semantics::Repeatable => "safe",
                Semantics::Keyed { .. } => "keyed",
                Semantics::MustNotRepeat => "unsafe",
            };
            json!({"name": name, "aim-ns": ns(route.slo_time), "give-up-ns": ns(route.time_limit),
                   "worth": route.importance, "semantics": semantics})
        };
        let mutating: Vec<bool> = s.routes.iter().map(|route| route.mutating).collect();
        let known: serde_json::Value = serde_json::from_str(known).unwrap_or_default();
        json!({
            "name": name, "seed": format!("{seed:016x}"), "listen": at.listen, "discovery": at.discovery,
            "relay": {"address": at.relay}, "known": known, "limits": {"memory_mb": 64, "sockets": 256},
            "settings": {
                "me": s.me.0, "balancers": s.directors, "discovery": "pushed", "zones": s.zones, "kinds": s.kinds,
                "az": s.zone.map(|zone| self.zone(zone)),
                "classes": s.routes.iter().zip(&self.routes).map(class).collect::<Vec<_>>(),
                "report": {"columns": ["q", "lat_ms", "busy", "rate"], "source": "piggyback"},
                "guarantees": {"cold-from": s.cold_from, "ramp-time-ns": ns(s.ramp_time),
                    "fall-multiple": s.fall_multiple, "fall-ns": ns(s.fall_time),
                    "stop-sending-within-ns": ns(s.grace)},
                "limits": {"may-probe": s.may_probe},
                "specifics": {"slices": s.slices, "proxy-count": s.proxies, "admission": "fraction",
                    "retry-default": 1, "ejects": s.ejects_after, "overhead": s.message_overhead,
                    "lines-per-s": s.lines_per_s, "backlog": s.backlog_lines, "transit-ns": ns(s.transit),
                    "transit-max-ns": ns(s.transit_most), "interval-ns": ns(s.report_interval),
                    "in-flight-max-ns": ns(s.in_flight_most), "unserved-max-ns": ns(s.unserved_most),
                    "mutating": mutating, "warm-keys": s.warm_keys},
            },
        })
        .to_string()
    }

    pub fn list(
        &self,
        version: u64,
        full: bool,
        entries: &[Listing],
        address: &dyn Fn(HostId) -> SocketAddr,
    ) -> String {
        let entry = |entry: &Listing| {
            let state = match entry.state {
                HostState::Ready => "in_service",
                HostState::Draining => "terminating",
                HostState::Gone => "terminated",
            };
            let started_ms = entry.born.map_or(0, |born| self.began_ms + (born * 1e3) as u64);
            json!({"id": host_name(entry.host), "addr": address(entry.host), "zone": self.zone(entry.zone),
                   "kind": self.settings.kinds[entry.kind.0 as usize], "cell": entry.cell.0, "state": state,
                   "weight": entry.weight, "started_ms": started_ms})
        };
        let servers: Vec<serde_json::Value> = entries.iter().map(entry).collect();
        json!({"version": version, "full": full, "servers": servers}).to_string()
    }

    pub fn report(load: &Load) -> BTreeMap<&'static str, f64> {
        let service = load.service_time.map(|time| time * 1e3);
        let figures =
            [("q", load.waiting), ("lat_ms", service), ("busy", load.busy), ("rate", load.answered_per_s)];
        figures.into_iter().filter_map(|(name, figure)| Some((name, figure?))).collect()
    }

    /// How a host answers a probe for its load.
    pub fn load_text(load: &Load) -> String {
        let pairs: Vec<String> =
            Self::report(load).iter().map(|(name, figure)| format!("{name}={figure}")).collect();
        format!("TEXT {}", pairs.join(", "))
    }

    pub fn joining(&self, zone: ZoneId) -> String {
        json!({"msg": "agent", "az": self.zone(zone)}).to_string() + "\n"
    }

    /// A collector's line, and of which zone it is.
    pub fn collected(&self, input: &Input) -> Option<(ZoneId, String)> {
        let (zone, line) = match input {
            Input::Tries { host, zone, span, tries, dropped, rt, load } => (
                *zone,
                json!({"msg": "outcomes", "az": self.zone(*zone), "host": host_name(*host), "n": tries,
                       "bad": dropped, "avg": rt * 1e3, "window": span * 1e3, "report": Self::report(load)}),
            ),
            Input::Demand { slice, route, calls, dropped, span } => (
                ZoneId(0),
                json!({"msg": "hot", "partition": slice.0, "kind": self.routes[route.0 as usize], "n": calls,
                       "bad": dropped, "window": span * 1e3}),
            ),
            _ => return None,
        };
        Some((zone, line.to_string() + "\n"))
    }

    /// A line of the relay's news.
    pub fn news(&self, input: &Input) -> Option<String> {
        Some(match input {
            Input::Joined { proxy, zone, calls_per_s, fresh } => {
                format!("* hello {} {} {calls_per_s} {}", proxy.0, self.zone(*zone), u8::from(*fresh))
            }
            Input::Left(proxy) => format!("* bye {}", proxy.0),
            Input::Applied { proxy, mark, took } => format!("* ack {} {} {}", proxy.0, mark.0, took * 1e3),
            Input::Given(slice) => format!("* lease {} 1", slice.0),
            Input::Taken(slice) => format!("* lease {} 0", slice.0),
            Input::StoredLine { slice, host, weight } => {
                format!("* line {} {} {weight}", slice.0, host_name(*host))
            }
            _ => return None,
        })
    }

    /// The orders of a call, `txn ...`.
    ///
    /// # Errors
    /// [`CallError`]: the line is no call, or a part of it is no order.
    pub fn orders(&self, call: &str) -> Result<Vec<Order>, CallError> {
        let texts = call.strip_prefix("txn ").ok_or_else(|| CallError::NotACall(call.to_string()))?;
        let order = |text: &str| self.order(text).ok_or_else(|| CallError::NotAnOrder(text.to_string()));
        texts.split(';').map(order).collect()
    }

    fn order(&self, text: &str) -> Option<Order> {
        let slice = |text: &str| text.parse().ok().map(SliceId);
        let route =
            |name: &str| self.routes.iter().position(|known| known == name).map(|at| RouteId(at as u16));
        Some(match text.split(',').collect::<Vec<_>>()[..] {
            ["SET", s, host, weight] => {
                Order::Line { slice: slice(s)?, host: host_of(host)?, weight: weight.parse().ok()? }
            }
            ["DEL", s] => Order::Clear(slice(s)?),
            ["OUT", host] => Order::Withdraw { host: host_of(host)?, out: true },
            ["IN", host] => Order::Withdraw { host: host_of(host)?, out: false },
            ["LIMIT", s, routes, level, again] => {
                let scope = if s == "*" { Scope::Everywhere } else { Scope::Slice(slice(s)?) };
                let routes = match routes {
                    "*" => Some(vec![]),
                    routes => routes.split('+').map(route).collect(),
                };
                let retry = match again {
                    "0" => Retry::Never,
                    "1" => Retry::IfNeverRan,
                    "2" => Retry::Once,
                    "3" => Retry::Twice,
                    _ => return None,
                };
                Order::Admit { scope, routes: routes?, level: level.parse().ok()?, retry }
            }
            ["SYNC", mark, all] => Order::Mark { mark: MarkId(mark.parse().ok()?), all: all == "1" },
            _ => return None,
        })
    }
}

/// A line to the relay that carries no orders, with what was found.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The line does not begin with `txn `.
    #[error("no call: {0}")]
    NotACall(String),
    /// A part between semicolons is no order, or names a route that there is not.
    #[error("no order: {0}")]
    NotAnOrder(String),
}

/// What stands at the relay, for whoever asks for news.
#[derive(Default)]
pub struct Standing {
    proxies: BTreeMap<ProxyId, Input>,
    slices: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
}

impl Standing {
    pub fn hear(&mut self, input: &Input) {
        match input {
            Input::Joined { proxy, .. } => _ = self.proxies.insert(*proxy, input.clone()),
            Input::Left(proxy) => _ = self.proxies.remove(proxy),
            Input::Given(slice) => _ = self.slices.insert(*slice, BTreeMap::new()),
            Input::Taken(slice) => _ = self.slices.remove(slice),
            Input::StoredLine { slice, host, weight } => {
                _ = self.slices.entry(*slice).or_default().insert(*host, *weight);
            }
            _ => {}
        }
    }

    pub fn carry_out(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Line { slice, host, weight } => {
                    let Some(lines) = self.slices.get_mut(slice) else { continue };
                    _ = if *weight > 0.0 { lines.insert(*host, *weight) } else { lines.remove(host) };
                }
                Order::Clear(slice) => _ = self.slices.get_mut(slice).map(BTreeMap::clear),
                _ => {}
            }
        }
    }

    /// The lines with which news begin, and a sign of life that ends them.
    pub fn lines(&self, platform: &Platform) -> Vec<String> {
        let mut lines = vec!["OK".to_string()];
        lines.extend(self.proxies.values().filter_map(|joined| platform.news(joined)));
        for (slice, table) in &self.slices {
            lines.extend(platform.news(&Input::Given(*slice)));
            let stored = table.iter().map(|(host, weight)| Input::StoredLine {
                slice: *slice,
                host: *host,
                weight: *weight,
            });
            lines.extend(stored.filter_map(|line| platform.news(&line)));
        }
        lines.push("*".to_string());
        lines
    }
}

#[cfg(test)]
mod tests;
