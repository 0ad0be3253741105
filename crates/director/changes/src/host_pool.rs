//! Whether a document would leave too few hosts for the traffic.

use crate::planned_shutdown::down_together;
use coppersail_operator_config::{Document, Field, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Smallest capacity that severities are divided by, calls a second.
const MIN_CAPACITY: f64 = 1e-9;

/// What is known of a host's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolHost {
    /// In the endpoint list, and neither draining nor gone.
    pub ready: bool,
    /// Past its slow start.
    pub warm: bool,
    /// Calls a second that it can serve, a conservative estimate; infinite where it is unknown.
    pub capacity_per_s: f64,
}

/// The hosts as the director knows them now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostPool {
    /// Each host by its name.
    pub hosts: BTreeMap<String, PoolHost>,
    /// Offered load, calls a second; 0 where it is unknown.
    pub calls: f64,
}

/// A lack of hosts.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Shortfall {
    /// To compare one shortfall with another; larger is worse.
    pub(crate) severity: f64,
    /// One line for operators.
    pub(crate) text: String,
}

impl HostPool {
    /// Whether the host is in the endpoint list.
    pub fn knows(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// What the new document would lack, if that is worse than what the current one lacks.
    pub(crate) fn worse_shortfall(&self, current: &Document, new: &Document) -> Option<Shortfall> {
        let severity = self.shortfall(current).map_or(0.0, |shortfall| shortfall.severity);
        self.shortfall(new).filter(|shortfall| shortfall.severity > severity)
    }

    /// What the document would lack. A pool that has no ready host at all is no document's fault.
    fn shortfall(&self, document: &Document) -> Option<Shortfall> {
        if self.available(&Document::new()).is_empty() {
            return None;
        }
        let available = self.available(document);
        self.capacity_shortfall(&available)
            .or_else(|| self.shutdown_shortfall(document, &available))
            .or_else(|| slice_shortfall(document, &available))
    }

    /// Ready hosts that operators have not drained; only the warm ones, if any ready host is warm.
    fn available(&self, document: &Document) -> BTreeSet<&str> {
        let drained =
            |host: &str| document.get(&Field::HostDrained(host.to_string())) == Some(&Value::Flag(true));
        let ready = || self.hosts.iter().filter(|(_, host)| host.ready);
        let any_warm = ready().any(|(_, host)| host.warm);
        let available = ready().filter(|(name, host)| (host.warm || !any_warm) && !drained(name));
        available.map(|(name, _)| name.as_str()).collect()
    }

    /// Too few hosts, or too little capacity, now.
    fn capacity_shortfall(&self, available: &BTreeSet<&str>) -> Option<Shortfall> {
        if available.is_empty() {
            let text = "it would leave no open, warm host to any slice".to_string();
            return Some(Shortfall { severity: f64::INFINITY, text });
        }
        let capacity: f64 = available.iter().map(|host| self.hosts[*host].capacity_per_s).sum();
        if capacity >= self.calls {
            return None;
        }
        let (calls, count) = (self.calls, available.len());
        let text = format!(
            "it would leave {count} hosts that carry {capacity:.0} calls a second, and {calls:.0} come"
        );
        Some(Shortfall { severity: calls / capacity.max(MIN_CAPACITY), text })
    }

    /// Too few hosts, or too little capacity, during a planned shutdown.
    fn shutdown_shortfall(&self, document: &Document, available: &BTreeSet<&str>) -> Option<Shortfall> {
        for down in down_together(document) {
            let remaining = available.iter().filter(|host| !down.contains(host));
            let (count, capacity) = remaining.fold((0, 0.0), |(count, capacity), host| {
                (count + 1, capacity + self.hosts[*host].capacity_per_s)
            });
            if count == 0 || capacity < self.calls {
                let (calls, hosts) = (self.calls, down.join(" "));
                let text = format!(
                    "with {hosts} away together it would leave {count} hosts that carry {capacity:.0} calls a \
                     second, and {calls:.0} come"
                );
                let severity = if count == 0 { f64::MAX } else { calls / capacity.max(MIN_CAPACITY) };
                return Some(Shortfall { severity, text });
            }
        }
        None
    }
}

/// A slice that anti-affinity keeps from every available host.
fn slice_shortfall(document: &Document, available: &BTreeSet<&str>) -> Option<Shortfall> {
    let mut excluded_hosts: BTreeMap<u16, usize> = BTreeMap::new();
    for field in document.keys() {
        match field {
            Field::AntiAffinity(slice, host) if available.contains(host.as_str()) => {
                *excluded_hosts.entry(*slice).or_default() += 1;
            }
            _ => {}
        }
    }
    let (slice, _) = excluded_hosts.iter().find(|(_, count)| **count == available.len())?;
    let text = format!("it would leave slice {slice} without an open, warm host");
    Some(Shortfall { severity: f64::MAX, text })
}
