//! Hosts that the decisions have released. The reducer's own state of such a host is released once nothing refers to
//! it.

use coppersail::interface::{HostId, Input};
use std::collections::BTreeSet;

/// Forgotten hosts whose names and addresses are still kept.
#[derive(Default)]
pub(super) struct ForgottenHosts {
    hosts: BTreeSet<HostId>,
}

impl ForgottenHosts {
    /// The decisions have released the host.
    pub(super) fn insert(&mut self, host: HostId) {
        self.hosts.insert(host);
    }

    /// Keeps the hosts that these inputs name, since the inputs make them known to the decisions again.
    pub(super) fn keep_named(&mut self, inputs: &[Input]) {
        for input in inputs {
            match input {
                Input::StoredWeight { host, .. } => {
                    self.hosts.remove(host);
                }
                Input::HostListUpdate { entries, .. } => {
                    for entry in entries {
                        self.hosts.remove(&entry.host);
                    }
                }
                _ => {}
            }
        }
    }

    /// Removes and returns the hosts for which `is_referenced` is false.
    pub(super) fn take_unreferenced(&mut self, is_referenced: impl Fn(HostId) -> bool) -> BTreeSet<HostId> {
        let (kept, unreferenced) =
            std::mem::take(&mut self.hosts).into_iter().partition(|host| is_referenced(*host));
        self.hosts = kept;
        unreferenced
    }

    #[cfg(test)]
    pub(super) fn count(&self) -> usize {
        self.hosts.len()
    }
}
