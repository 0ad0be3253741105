//! What a change touches, and the parts of service that are compared with their baseline.

use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::BTreeSet;
use std::fmt;

/// Identifies the trial of one change. A later trial has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrialId(pub u64);

/// The scope of a change: calls for one of these slices or routes, and attempts at one of these hosts, are touched.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeScope {
    /// Slices whose calls the change affects, in every route.
    pub slices: BTreeSet<SliceId>,
    /// Routes whose calls the change affects, for every slice.
    pub routes: BTreeSet<RouteId>,
    /// Hosts whose attempts the change affects.
    pub hosts: BTreeSet<HostId>,
}

impl ChangeScope {
    /// Whether the two scopes share a slice, a route or a host.
    pub(crate) fn overlaps(&self, other: &ChangeScope) -> bool {
        !self.slices.is_disjoint(&other.slices)
            || !self.routes.is_disjoint(&other.routes)
            || !self.hosts.is_disjoint(&other.hosts)
    }
}

/// A part of service that is compared with its baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServicePart {
    /// The calls of one route.
    Route(RouteId),
    /// The calls of all routes, weighted by the importance of the route.
    AllByImportance,
    /// The calls of all routes with equal weight, which shows best what affects every route.
    AllCalls,
    /// Attempts at hosts that were dropped or answered after the SLO time.
    Hosts,
}

impl fmt::Display for ServicePart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServicePart::Route(route) => write!(formatter, "route {}", route.0),
            ServicePart::AllByImportance => formatter.write_str("all routes by importance"),
            ServicePart::AllCalls => formatter.write_str("all calls"),
            ServicePart::Hosts => formatter.write_str("hosts"),
        }
    }
}
