//! Converts the configuration in force into overrides for the decisions, with names resolved to ids.

use super::Operators;
use coppersail::interface::{OperatorOverrides, RetryPolicy, SliceId};
use coppersail_operator_config::{Field, RouteRetryPolicy, Value};
use coppersail_settings::Names;

/// Weight of a zone that operators have not set.
const DEFAULT_ZONE_WEIGHT: f64 = 1.0;

impl Operators {
    /// Everything that operators have set. Hosts that are not known yet are added once they are listed.
    pub(super) fn overrides(&self, names: &Names) -> OperatorOverrides {
        let mut overrides = OperatorOverrides::default();
        for (field, value) in self.change_log.document() {
            self.add_override(&mut overrides, field, value, names);
        }
        overrides.drained_hosts.extend(&self.shutting_down);
        overrides
    }

    fn add_override(&self, overrides: &mut OperatorOverrides, field: &Field, value: &Value, names: &Names) {
        match (field, value) {
            (Field::HostWeight(name), Value::Number(weight)) => {
                overrides.host_weight_factors.extend(names.known_host_id(name).map(|host| (host, *weight)));
            }
            (Field::HostDrained(name), Value::Flag(true)) => {
                overrides.drained_hosts.extend(names.known_host_id(name));
            }
            (Field::ZoneWeight(name), Value::Number(weight)) => {
                overrides.zone_weight_factors.resize(self.zone_count, DEFAULT_ZONE_WEIGHT);
                let zone = names.zone(name).ok().map(|zone| zone.0 as usize);
                if let Some(zone_weight) = zone.and_then(|zone| overrides.zone_weight_factors.get_mut(zone)) {
                    *zone_weight = *weight;
                }
            }
            (Field::AntiAffinity(slice, name), _) => {
                overrides.anti_affinity.extend(names.known_host_id(name).map(|host| (SliceId(*slice), host)));
            }
            (Field::RouteAdmissionLimit(name), Value::Number(limit)) => {
                if let Ok(route) = names.route(name) {
                    overrides.routes.entry(route).or_default().admission_limit = Some(*limit);
                }
            }
            (Field::RouteRetries(name), Value::RetryPolicy(policy)) => {
                if let Ok(route) = names.route(name) {
                    overrides.routes.entry(route).or_default().retry_policy = Some(retry(*policy));
                }
            }
            _ => {}
        }
    }
}

fn retry(policy: RouteRetryPolicy) -> RetryPolicy {
    match policy {
        RouteRetryPolicy::Never => RetryPolicy::Never,
        RouteRetryPolicy::IfNeverRan => RetryPolicy::IfNotExecuted,
        RouteRetryPolicy::Once => RetryPolicy::Once,
        RouteRetryPolicy::Twice => RetryPolicy::Twice,
    }
}
