//! Amounts kept for each host, and the plan in which slices are placed before the placements take effect.

use crate::interface::{HostId, SliceId};
use std::collections::BTreeMap;

/// An amount for each host: slices, a score, a weight or a time.
pub(crate) type PerHost = BTreeMap<HostId, f64>;

/// Adds to a host's amount; without a host nothing happens.
pub(crate) fn add_to_host(amounts: &mut PerHost, host: Option<HostId>, amount: f64) {
    if let Some(host) = host {
        *amounts.entry(host).or_default() += amount;
    }
}

/// A slice that needs another host.
pub(crate) struct Relocation {
    pub(crate) slice: SliceId,
    pub(crate) score: f64,
    /// The host that has it.
    pub(crate) current: Option<HostId>,
    /// Its owner, where it is a standby that is needed; none: it is an owner.
    pub(crate) owner: Option<HostId>,
}

/// What the hosts would carry if the slices placed so far were theirs.
pub(crate) struct PlacementPlan {
    /// Slices that each host owns; for standbys the load of each host, in slices of the average score.
    pub(crate) load: PerHost,
    /// The score that each host may still take; below 0 it has more than it should.
    pub(crate) capacity: PerHost,
}

impl PlacementPlan {
    /// Gives a slice of this score to the host.
    pub(crate) fn place(&mut self, host: Option<HostId>, score: f64) {
        add_to_host(&mut self.load, host, 1.0);
        add_to_host(&mut self.capacity, host, -score);
    }

    /// Takes a slice of this score from the host.
    pub(crate) fn remove(&mut self, host: Option<HostId>, score: f64) {
        add_to_host(&mut self.load, host, -1.0);
        add_to_host(&mut self.capacity, host, score);
    }
}
