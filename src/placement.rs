//! Amounts per host, and the plan in which slices are placed before the placements take effect.

use crate::interface::{HostId, SliceId};
use std::collections::BTreeMap;

/// An amount for each host: slices, a score, a weight or a time.
pub(crate) type PerHost = BTreeMap<HostId, f64>;

/// Adds to a host's amount, if there is a host.
pub(crate) fn add_to_host(amounts: &mut PerHost, host: Option<HostId>, amount: f64) {
    if let Some(host) = host {
        *amounts.entry(host).or_default() += amount;
    }
}

/// A slice that needs another host.
pub(crate) struct Relocation {
    pub(crate) slice: SliceId,
    pub(crate) score: f64,
    /// The host that has it now, if any.
    pub(crate) current: Option<HostId>,
    /// The slice's owner if a standby is needed; `None` if an owner is needed.
    pub(crate) owner: Option<HostId>,
}

/// Load and remaining capacity of the hosts after the placements planned so far.
pub(crate) struct PlacementPlan {
    /// Number of slices that each host owns; when placing standbys, its load in slices of the average score.
    pub(crate) load: PerHost,
    /// The score that each host may still take; negative if it exceeds its limit.
    pub(crate) capacity: PerHost,
}

impl PlacementPlan {
    /// Places a slice of this score on the host, if there is one.
    pub(crate) fn place(&mut self, host: Option<HostId>, score: f64) {
        add_to_host(&mut self.load, host, 1.0);
        add_to_host(&mut self.capacity, host, -score);
    }

    /// Removes a slice of this score from the host, if there is one.
    pub(crate) fn remove(&mut self, host: Option<HostId>, score: f64) {
        add_to_host(&mut self.load, host, -1.0);
        add_to_host(&mut self.capacity, host, score);
    }
}
