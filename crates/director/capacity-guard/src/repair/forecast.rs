//! Bounds of the load of each host that hold now and at all pending events.

use crate::bound::LoadBound;
use crate::guard::Guard;
use crate::pool::{Host, PendingEvent};
use coppersail::interface::HostId;
use std::collections::BTreeMap;

/// The lowest bounds of a host, of now and of all pending events.
pub(crate) struct BoundForecast {
    /// Within these bounds, the host is never unsafe.
    pub(crate) strict: LoadBound,
    /// The higher of the strict bounds and the current load: within these bounds, nothing becomes worse.
    pub(crate) relaxed: LoadBound,
}

/// The bounds of all hosts, given the guard's current tables.
pub(crate) fn forecast_bounds(
    guard: &mut Guard,
    pending: &[PendingEvent],
    now: f64,
) -> BTreeMap<HostId, BoundForecast> {
    let by_moment = guard.at_each_moment(pending, now, &mut |guard, _, at| bounds_at(guard, at));
    let mut lowest: BTreeMap<HostId, BoundForecast> = BTreeMap::new();
    for (id, bound) in by_moment.into_iter().flatten() {
        match lowest.get_mut(&id) {
            Some(other) => {
                other.strict = other.strict.min(&bound.strict);
                other.relaxed = other.relaxed.min(&bound.relaxed);
            }
            None => _ = lowest.insert(id, bound),
        }
    }
    lowest
}

fn bounds_at(guard: &mut Guard, at: f64) -> BTreeMap<HostId, BoundForecast> {
    let sizes = guard.fleet_sizes(at);
    let bound = |(id, host): (&HostId, &Host)| {
        let strict = LoadBound::of(&guard.pool, &guard.loads, &sizes, *id, at);
        let load = guard.loads.host_load(*id).filter(|_| guard.loads.is_open(*id));
        let relaxed = match load {
            Some(load) => strict.or_current_load(&guard.loads, load, host.zone),
            None => strict.clone(),
        };
        (*id, BoundForecast { strict, relaxed })
    };
    guard.pool.hosts.iter().map(bound).collect()
}
