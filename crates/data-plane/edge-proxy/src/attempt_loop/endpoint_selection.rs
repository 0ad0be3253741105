//! Selects the endpoint of the next attempt, or waits for an update while the key's owner is unknown.
use super::AttemptLoop;
use crate::rollout::variants::AssignedVariant;
use crate::sessions::AttemptTarget;
use coppersail_load_balancing::selection::{self, Selection, SelectionRequest, VersionFilter};
use coppersail_load_balancing::Ms;
use std::rc::Rc;
use tokio::time::timeout_at;

/// What to do after the selection of an endpoint.
pub(super) enum SelectionStep {
    Attempt(Rc<str>),
    Reselect,
    GiveUp,
}

impl AttemptLoop<'_> {
    /// Selects the endpoint of the next attempt, or waits for an update after which a new selection may
    /// succeed.
    pub(super) async fn select_endpoint(&mut self, now: Ms) -> SelectionStep {
        match self.selection(now) {
            Selection::Endpoint(selected) => SelectionStep::Attempt(self.apply_affinity(selected)),
            Selection::NoLeaseHolder => self.wait_for_owner(now).await,
            Selection::NoEndpoint if self.can_fall_back() => {
                self.variant = self.variant.take().map(AssignedVariant::into_control_group);
                SelectionStep::Reselect
            }
            Selection::NoEndpoint | Selection::Overloaded => SelectionStep::GiveUp,
        }
    }

    fn selection(&self, now: Ms) -> Selection {
        let version =
            self.variant.as_ref().and_then(AssignedVariant::revision_filter).map(|(version, is_new)| {
                match is_new {
                    true => VersionFilter::Only(version),
                    false => VersionFilter::Except(version),
                }
            });
        let request = SelectionRequest {
            service: self.request.service,
            key: self.request.key,
            idempotent: self.request.route.idempotent,
            rank: self.request.route.priority,
            time_left: self.request.time_left(now),
            drain_grace: self.edge.drain_grace(),
            version,
            excluded: &self.excluded,
        };
        let (registry, mut random) = (self.edge.registry.borrow(), self.edge.random.borrow_mut());
        selection::select_endpoint(&registry, &request, now, &mut random)
    }

    /// Replaces the selected endpoint by that of the request's session, if it has one that can be used.
    fn apply_affinity(&self, selected: Rc<str>) -> Rc<str> {
        match &self.request.affinity {
            Some(affinity) => {
                let target = AttemptTarget {
                    service: self.request.service,
                    sharded: self.request.key.is_some(),
                    attempted: &self.excluded,
                };
                let registry = self.edge.registry.borrow();
                affinity.choose_endpoint(&registry, self.edge.now(), selected, &target)
            }
            None => selected,
        }
    }

    /// Waits for an update of the registry, which may name another owner, until the request's wait for an
    /// owner ends.
    async fn wait_for_owner(&mut self, now: Ms) -> SelectionStep {
        self.lacked_owner = true;
        let updated = self.edge.updated.notified();
        let until = self.edge.instant(self.owner_wait_until);
        if now >= self.owner_wait_until || timeout_at(until, updated).await.is_err() {
            return SelectionStep::GiveUp;
        }
        SelectionStep::Reselect
    }

    /// Whether the request may be sent to the old version when the new version has no endpoint. This is
    /// allowed only if the request was certainly not processed.
    fn can_fall_back(&self) -> bool {
        let is_new = self
            .variant
            .as_ref()
            .and_then(AssignedVariant::revision_filter)
            .is_some_and(|(_, is_new)| is_new);
        is_new && !self.history.may_have_run()
    }
}
