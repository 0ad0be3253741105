//! The default scenario, chosen by us: a small fleet at half of its capacity.

use super::model::{Channel, Checks, Fleet, List, Load, Reports, Route, Scenario};

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
            list: List::default(),
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
            cold_from: 0.25,
            ramp_time: 12.0,
            fall_multiple: 3.0,
            fall_time: 2.0,
            grace: 2.0,
            near: 0.0003,
            far: 0.001,
            memory_saves: 0.4,
            memory_time: 15.0,
            keys: 15.0,
            ejects_after: 6,
            ejects_for: 4.0,
            queue_most: 200,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        let read = Route { name: "read".into(), share: 0.75, slo: 0.8, limit: 3.0 * 0.8, ..Route::default() };
        let write = Route {
            name: "write".into(),
            share: 0.25,
            slo: 1.0,
            limit: 3.0,
            importance: 4.0,
            repeatable: false,
            ..Route::default()
        };
        Load {
            fill: 0.5,
            routes: vec![read, write],
            skew: 0.4,
            hot_share: 0.05,
            hot_slices: 2,
            hot_time: 12.0,
            again: 1,
            again_after: 0.1,
        }
    }
}

impl Default for Route {
    fn default() -> Self {
        Route {
            name: "all".into(),
            share: 1.0,
            work: 0.1,
            tail: 0.5,
            slo: 0.8,
            limit: 2.4,
            importance: 1.0,
            repeatable: true,
        }
    }
}

impl Default for Channel {
    fn default() -> Self {
        Channel { lines_per_s: 40_000.0, backlog: 100_000.0, overhead: 12.0, transit: 0.2 }
    }
}

impl Default for Reports {
    fn default() -> Self {
        Reports { interval: 1.0, late: 0.8, cores: false }
    }
}

impl Default for List {
    fn default() -> Self {
        List { late: 1.0 }
    }
}

impl Default for Checks {
    fn default() -> Self {
        Checks { rules: true, service_least: 0.0, worst_least: 0.0 }
    }
}
