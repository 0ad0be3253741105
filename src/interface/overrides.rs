//! What operators set by hand.

use super::{HostId, Retry, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Operators' overrides. What is absent is as decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wishes {
    /// Factors of hosts' weights.
    pub hosts: BTreeMap<HostId, f64>,
    /// Factors of the weights of zones' hosts, by index in [`Settings::zones`](super::Settings::zones).
    pub zones: Vec<f64>,
    /// Hosts that are to be in no table, as long as others can serve.
    pub drained: BTreeSet<HostId>,
    /// Slices and hosts that are to be kept apart (anti-affinity), as long as other hosts can serve.
    pub apart: BTreeSet<(SliceId, HostId)>,
    /// Overrides by route.
    pub routes: BTreeMap<RouteId, RouteWish>,
}

/// Operators' overrides of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteWish {
    /// The most that is admitted: a share of the calls, 0 to 1.
    pub ceiling: Option<f64>,
    /// The retry policy.
    pub again: Option<Retry>,
}
