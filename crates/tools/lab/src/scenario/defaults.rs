//! The default scenario, chosen by us: a small fleet at half of its capacity.

use super::model::{Channel, Checks, EndpointSettings, Fleet, Load, Reports, Route, Scenario};

/// The name of a scenario that has none.
pub(super) const UNNAMED: &str = "unnamed";

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: UNNAMED.into(),
            seconds: 60.0,
            fleet: Fleet::default(),
            load: Load::default(),
            channel: Channel::default(),
            reports: Reports::default(),
            list: EndpointSettings::default(),
            faults: Vec::new(),
            changes: Vec::new(),
            checks: Checks::default(),
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            zones: 3,
            hosts: 12,
            directors: 1,
            proxies: 24,
            slices: 84,
            cores: 4,
            speed_spread: 0.1,
            slow_start_speed: 0.25,
            slow_start_duration: 12.0,
            collapse_multiple: 3.0,
            collapse_time: 2.0,
            grace: 2.0,
            intra_zone_latency: 0.0003,
            inter_zone_latency: 0.001,
            cache_saving: 0.4,
            cache_lifetime: 15.0,
            keys_per_slice: 15.0,
            eject_after_failures: 6,
            ejection_time: 4.0,
            max_queue: 200,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        let read = Route {
            name: "read".into(),
            share: 0.75,
            latency_target: 0.8,
            deadline: 3.0 * 0.8,
            ..Route::default()
        };
        let write = Route {
            name: "write".into(),
            share: 0.25,
            latency_target: 1.0,
            deadline: 3.0,
            importance: 4.0,
            idempotent: false,
            ..Route::default()
        };
        Load {
            utilization: 0.5,
            routes: vec![read, write],
            zipf_exponent: 0.4,
            hot_share: 0.05,
            hot_slices: 2,
            hot_interval: 12.0,
            client_retries: 1,
            client_retry_delay: 0.1,
        }
    }
}

impl Default for Route {
    fn default() -> Self {
        Route {
            name: "all".into(),
            share: 1.0,
            mean_work: 0.1,
            work_sigma: 0.5,
            latency_target: 0.8,
            deadline: 2.4,
            importance: 1.0,
            idempotent: true,
        }
    }
}

impl Default for Channel {
    fn default() -> Self {
        Channel { lines_per_s: 40_000.0, max_backlog: 100_000.0, message_overhead: 12.0, transit: 0.2 }
    }
}

impl Default for Reports {
    fn default() -> Self {
        Reports { interval: 1.0, delay: 0.8, reports_core_usage: false }
    }
}

impl Default for EndpointSettings {
    fn default() -> Self {
        EndpointSettings { delay: 1.0 }
    }
}

impl Default for Checks {
    fn default() -> Self {
        Checks { rules: true, min_service: 0.0, min_worst_service: 0.0 }
    }
}
