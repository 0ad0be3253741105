//! Overrides that operators set manually.

use super::{HostId, RetryPolicy, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Operators' overrides. Without an override, the director's decision applies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOverrides {
    /// Factors of hosts' weights.
    pub host_weight_factors: BTreeMap<HostId, f64>,
    /// Factors of the weights of zones' hosts, by index in [`Settings::zone_names`](super::Settings::zone_names).
    pub zone_weight_factors: Vec<f64>,
    /// Hosts that must be in no table, as long as others can serve.
    pub drained_hosts: BTreeSet<HostId>,
    /// Slices and hosts that must not serve them (anti-affinity), as long as other hosts can serve.
    pub anti_affinity: BTreeSet<(SliceId, HostId)>,
    /// Overrides by route.
    pub routes: BTreeMap<RouteId, RouteOverride>,
}

/// Operators' overrides of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteOverride {
    /// Upper limit of the admitted share of the calls, 0 to 1.
    pub admission_limit: Option<f64>,
    /// The retry policy.
    pub retry_policy: Option<RetryPolicy>,
}
