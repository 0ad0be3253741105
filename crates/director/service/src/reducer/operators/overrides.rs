//! The configuration in force as overrides for the decisions, by the ids that they know.

use super::Operators;
use coppersail::interface::{Retry, SliceId, Wishes};
use coppersail_operator_config::{Again, Field, Value};
use coppersail_settings::Names;

/// Weight of a zone that operators have not set.
const DEFAULT_ZONE_WEIGHT: f64 = 1.0;

impl Operators {
    /// Everything that operators have set. Hosts that are not known yet follow when they are.
    pub(super) fn overrides(&self, names: &Names) -> Wishes {
        let mut overrides = Wishes::default();
        for (field, value) in self.change_log.document() {
            self.add_override(&mut overrides, field, value, names);
        }
        overrides.drained.extend(&self.shutting_down);
        overrides
    }

    fn add_override(&self, overrides: &mut Wishes, field: &Field, value: &Value, names: &Names) {
        match (field, value) {
            (Field::HostWeight(name), Value::Number(weight)) => {
                overrides.hosts.extend(names.known_host(name).map(|host| (host, *weight)));
            }
            (Field::HostDrained(name), Value::Flag(true)) => {
                overrides.drained.extend(names.known_host(name));
            }
            (Field::ZoneWeight(name), Value::Number(weight)) => {
                overrides.zones.resize(self.zone_count, DEFAULT_ZONE_WEIGHT);
                let zone = names.zone(name).ok().map(|zone| zone.0 as usize);
                if let Some(zone_weight) = zone.and_then(|zone| overrides.zones.get_mut(zone)) {
                    *zone_weight = *weight;
                }
            }
            (Field::Apart(slice, name), _) => {
                overrides.apart.extend(names.known_host(name).map(|host| (SliceId(*slice), host)));
            }
            (Field::RouteCeiling(name), Value::Number(limit)) => {
                if let Ok(route) = names.route(name) {
                    overrides.routes.entry(route).or_default().ceiling = Some(*limit);
                }
            }
            (Field::RouteAgain(name), Value::Again(policy)) => {
                if let Ok(route) = names.route(name) {
                    overrides.routes.entry(route).or_default().again = Some(retry(*policy));
                }
            }
            _ => {}
        }
    }
}

fn retry(policy: Again) -> Retry {
    match policy {
        Again::Never => Retry::Never,
        Again::IfNeverRan => Retry::IfNeverRan,
        Again::Once => Retry::Once,
        Again::Twice => Retry::Twice,
    }
}
