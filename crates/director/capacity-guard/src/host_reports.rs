//! Collects reports about hosts until they are evaluated.

use crate::capacity::{CapacityEstimator, HostObservation};
use crate::pool::Pool;
use coppersail::interface::{HostId, LoadReport, ZoneId};
use std::collections::BTreeMap;

/// Minimum length of a reporting interval, in seconds; avoids a division by zero.
const MIN_WINDOW_S: f64 = 0.01;

/// Attempts at one host by the proxies of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptSum {
    answered: f64,
    failed: f64,
    seconds: f64,
}

/// The attempts by host and zone of the proxies, and the latest reported load of each host.
#[derive(Default)]
pub(crate) struct HostReports {
    attempts: BTreeMap<(HostId, ZoneId), AttemptSum>,
    loads: BTreeMap<HostId, LoadReport>,
}

impl HostReports {
    /// Adds a report of attempts in `window` seconds.
    pub(crate) fn add(&mut self, host: HostId, zone: ZoneId, answered: u64, failed: u64, window: f64) {
        let sum = self.attempts.entry((host, zone)).or_default();
        sum.answered += answered as f64;
        sum.failed += failed as f64;
        sum.seconds += window.max(MIN_WINDOW_S);
    }

    pub(crate) fn set_load(&mut self, host: HostId, load: LoadReport) {
        self.loads.insert(host, load);
    }

    /// Passes the collected reports to the estimator, and clears them.
    pub(crate) fn evaluate(&mut self, now: f64, pool: &Pool, estimator: &mut CapacityEstimator) {
        // The proxies of each zone report at intervals of their own, so rates are added, not counts.
        let mut observations: BTreeMap<HostId, HostObservation> = BTreeMap::new();
        for ((id, _), sum) in std::mem::take(&mut self.attempts) {
            let observation = observations.entry(id).or_default();
            observation.answered += sum.answered / sum.seconds;
            observation.failed += sum.failed / sum.seconds;
        }
        for (id, observation) in observations {
            let load = self.loads.get(&id).copied().unwrap_or_default();
            let relative_capacity =
                pool.hosts.get(&id).map_or(0.0, |host| host.relative_capacity(now, &pool.capacity_model));
            let (utilisation, waiting) = (load.cpu_utilisation, load.queued);
            estimator.observe(
                id,
                now,
                HostObservation { relative_capacity, utilisation, waiting, ..observation },
            );
        }
        self.loads.clear();
    }
}
