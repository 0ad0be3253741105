//! Whether what is set would leave nobody to answer.

use crate::leaving::away_together;
use coppersail_operator_config::{Document, Field, Value};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolHost {
    /// Listed, and neither draining nor gone.
    pub ready: bool,
    /// Old enough to carry what it carries when warm.
    pub warm: bool,
    /// Calls a second that it is taken to carry, at the cautious end; infinite where nobody knows or asks.
    pub carries: f64,
}

/// The hosts as the director knows them now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    pub hosts: BTreeMap<String, PoolHost>,
    /// Calls a second that come; 0 where nothing was heard of them.
    pub calls: f64,
}

impl Pool {
    pub fn knows(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Ready hosts that are not drained by hand; warm ones alone, if there are any such at all.
    fn open(&self, document: &Document) -> BTreeSet<&str> {
        let drained =
            |host: &str| document.get(&Field::HostDrained(host.to_string())) == Some(&Value::Flag(true));
        let ready = || self.hosts.iter().filter(|(_, host)| host.ready);
        let warm = ready().any(|(_, host)| host.warm);
        let open = ready().filter(|(name, host)| (host.warm || !warm) && !drained(name));
        open.map(|(name, _)| name.as_str()).collect()
    }

    /// What the document would leave without a host, or with too few, if it would; and how bad that is, to be compared
    /// with how bad it is without. A pool that has no ready host at all is nobody's doing.
    pub fn emptied_by(&self, document: &Document) -> Option<(f64, String)> {
        if self.open(&Document::new()).is_empty() {
            return None;
        }
        let open = self.open(document);
        if open.is_empty() {
            return Some((f64::INFINITY, "it would leave no open, warm host to any slice".to_string()));
        }
        let carries: f64 = open.iter().map(|host| self.hosts[*host].carries).sum();
        if carries < self.calls {
            let (calls, many) = (self.calls, open.len());
            let text = format!(
                "it would leave {many} hosts that carry {carries:.0} calls a second, and {calls:.0} come"
            );
            return Some((self.calls / carries.max(1e-9), text));
        }
        // Who is announced to leave will be missed with all who leave with it.
        for away in away_together(document) {
            let stay = open.iter().filter(|host| !away.contains(host));
            let (many, carries) =
                stay.fold((0, 0.0), |(many, sum), host| (many + 1, sum + self.hosts[*host].carries));
            if many == 0 || carries < self.calls {
                let (calls, hosts) = (self.calls, away.join(" "));
                let text = format!(
                    "with {hosts} away together it would leave {many} hosts that carry {carries:.0} calls a second, \
                     and {calls:.0} come"
                );
                return Some((if many == 0 { f64::MAX } else { calls / carries.max(1e-9) }, text));
            }
        }
        let mut apart: BTreeMap<u16, usize> = BTreeMap::new();
        for field in document.keys() {
            match field {
                Field::Apart(slice, host) if open.contains(host.as_str()) => {
                    *apart.entry(*slice).or_default() += 1
                }
                _ => {}
            }
        }
        let bare = apart.iter().find(|(_, many)| **many == open.len());
        bare.map(|(slice, _)| (f64::MAX, format!("it would leave slice {slice} without an open, warm host")))
    }
}
