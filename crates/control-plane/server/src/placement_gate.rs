//! The initial placement gate: when a sharded service gets its first assignments. Pure.
//!
//! Endpoints that run at the start become known one after another. Shards that were assigned to the first of them alone
//! would go on to the others only at the pace of rebalancing.
use coppersail_consensus::Ms;

/// The endpoints of one service until it has assignments.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PlacementGate {
    endpoints: usize,
    first_endpoint_at: Ms,
    last_new_endpoint_at: Ms,
}

impl PlacementGate {
    /// Takes the number of endpoints that are known now; whether the gate is open. It opens when no endpoint was new for
    /// one and a half heartbeat intervals, within which every one sends a heartbeat. If endpoints never stop coming, it
    /// opens `max_wait` after the first, as nothing is served before.
    pub(crate) fn update(&mut self, now: Ms, endpoints: usize, heartbeat_interval: Ms, max_wait: Ms) -> bool {
        if endpoints == 0 || self.endpoints == 0 {
            *self = PlacementGate { endpoints, first_endpoint_at: now, last_new_endpoint_at: now };
        } else if endpoints > self.endpoints {
            (self.endpoints, self.last_new_endpoint_at) = (endpoints, now);
        }
        let has_stopped_growing = now >= self.last_new_endpoint_at + heartbeat_interval * 3 / 2;
        endpoints > 0 && (has_stopped_growing || now >= self.first_endpoint_at + max_wait)
    }
}
