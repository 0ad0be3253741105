//! The parts of the service that a change affects.

use super::{OperatorContext, Operators};
use coppersail::interface::{HostId, SliceId};
use coppersail_change_analysis::ChangeScope;
use coppersail_changes::Version;
use coppersail_operator_config::Field;

impl Operators {
    /// The hosts, slices and routes that a change affects, according to the tables before it.
    pub(super) fn change_scope(&self, number: Version, context: &OperatorContext) -> ChangeScope {
        let mut scope = ChangeScope::default();
        let Some(change) = self.change_log.change(number) else { return scope };
        for field in change.submission.edits.keys() {
            self.add_field_to_scope(&mut scope, field, context);
        }
        for (slice, state) in &context.relay_state.slices {
            if state.weights.keys().any(|host| scope.hosts.contains(host)) {
                scope.slices.insert(*slice);
            }
        }
        scope
    }

    fn add_field_to_scope(&self, scope: &mut ChangeScope, field: &Field, context: &OperatorContext) {
        match field {
            Field::HostWeight(name) | Field::HostDrained(name) | Field::HostShutdown(name) => {
                scope.hosts.extend(context.names.known_host_id(name));
            }
            Field::ZoneWeight(name) => scope.hosts.extend(self.hosts_in_zone(name, context)),
            Field::AntiAffinity(slice, _) => {
                scope.slices.insert(SliceId(*slice));
            }
            Field::RouteAdmissionLimit(name) | Field::RouteRetries(name) => {
                scope.routes.extend(context.names.route(name).ok());
            }
            Field::Trial | Field::Analysis | Field::Guard => {}
        }
    }

    fn hosts_in_zone(&self, name: &str, context: &OperatorContext) -> Vec<HostId> {
        let zone = context.names.zone(name).ok();
        let in_zone = self.hosts.iter().filter(|(_, listed)| Some(listed.zone) == zone);
        in_zone.map(|(host, _)| *host).collect()
    }
}
