//! The initial placement gate, which decides when a sharded service gets its first assignments. No I/O.
//!
//! At a start, endpoints become known one after another. If all shards were assigned to the first few of
//! them, the others would get shards only at the pace of rebalancing.
use coppersail_consensus::Ms;

/// The endpoints of one service until it has assignments.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PlacementGate {
    endpoints: usize,
    first_endpoint_at: Ms,
    last_new_endpoint_at: Ms,
}

impl PlacementGate {
    /// Updates the number of known endpoints; returns whether the gate is open. It opens when no new endpoint
    /// has appeared for one and a half heartbeat intervals, within which every endpoint sends a heartbeat. If
    /// new endpoints keep appearing, it opens `max_wait` after the first one, because no shard is served
    /// before.
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
