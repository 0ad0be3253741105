//! Checks whether a document would leave too few hosts for the traffic.

use crate::planned_shutdown::down_together;
use coppersail_operator_config::{Document, Field, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Lower limit of the capacity that severities are divided by, in calls per second; avoids a division by
/// zero.
const MIN_CAPACITY_PER_S: f64 = 1e-9;

/// What is known of a host's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolHost {
    /// It is in the endpoint list, and neither draining nor removed.
    pub ready: bool,
    /// Its slow start is over.
    pub warm: bool,
    /// Conservative estimate of its capacity, in calls per second; infinite if it is unknown.
    pub capacity_per_s: f64,
}

/// The hosts as the director knows them now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostPool {
    /// Each host by its name.
    pub hosts: BTreeMap<String, PoolHost>,
    /// Offered load, in calls per second; 0 if it is unknown.
    pub calls: f64,
}

/// A lack of hosts or capacity.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Shortfall {
    /// Severity for comparisons with other shortfalls; larger is worse.
    pub(crate) severity: f64,
    /// One line for operators.
    pub(crate) text: String,
}

impl HostPool {
    /// Whether the host is in the endpoint list.
    pub fn knows(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// The shortfall of the new document, if it is worse than that of the current one.
    pub(crate) fn worse_shortfall(&self, current: &Document, new: &Document) -> Option<Shortfall> {
        let severity = self.shortfall(current).map_or(0.0, |shortfall| shortfall.severity);
        self.shortfall(new).filter(|shortfall| shortfall.severity > severity)
    }

    /// The shortfall of a document. `None` if the pool has no ready host at all, as no document causes or
    /// prevents that.
    fn shortfall(&self, document: &Document) -> Option<Shortfall> {
        if self.available(&Document::new()).is_empty() {
            return None;
        }
        let available = self.available(document);
        self.capacity_shortfall(&available)
            .or_else(|| self.shutdown_shortfall(document, &available))
            .or_else(|| slice_shortfall(document, &available))
    }

    /// Ready hosts that the document does not drain; only the warm ones, if any ready host is warm.
    fn available(&self, document: &Document) -> BTreeSet<&str> {
        let drained =
            |host: &str| document.get(&Field::HostDrained(host.to_string())) == Some(&Value::Flag(true));
        let ready = || self.hosts.iter().filter(|(_, host)| host.ready);
        let any_warm = ready().any(|(_, host)| host.warm);
        let available = ready().filter(|(name, host)| (host.warm || !any_warm) && !drained(name));
        available.map(|(name, _)| name.as_str()).collect()
    }

    /// Too few hosts, or too little capacity, at present.
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
        Some(Shortfall { severity: calls / capacity.max(MIN_CAPACITY_PER_S), text })
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
                let severity = if count == 0 { f64::MAX } else { calls / capacity.max(MIN_CAPACITY_PER_S) };
                return Some(Shortfall { severity, text });
            }
        }
        None
    }
}

/// A slice that anti-affinity excludes from every available host.
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
