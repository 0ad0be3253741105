//! Whether what is set would leave nobody to answer.

use coppersail_operator::{Document, Field, Value};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolHost {
    /// Listed, and neither draining nor gone.
    pub ready: bool,
    /// Old enough to carry what it carries when warm.
    pub warm: bool,
}

/// The hosts as the director knows them now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    pub hosts: BTreeMap<String, PoolHost>,
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

    /// What the document would leave without a host, if it would. A pool that has no ready host at all is nobody's
    /// doing.
    pub fn emptied_by(&self, document: &Document) -> Option<String> {
        if self.open(&Document::new()).is_empty() {
            return None;
        }
        let open = self.open(document);
        if open.is_empty() {
            return Some("it would leave no open, warm host to any slice".to_string());
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
        bare.map(|(slice, _)| format!("it would leave slice {slice} without an open, warm host"))
    }
}
