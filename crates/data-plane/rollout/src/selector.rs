//! Selection of a rollout's variant for a request at an edge. The edge holds a lease on the new version's share (Gray
//! and Cheriton 1989): without contact to the control plane the lease expires, and the edge falls back to the control
//! group.
use crate::lifecycle::{Phase, RolloutState};
use crate::variant::Variant;
use crate::{share, Ms};
use coppersail_config::rollout::{RolloutPlan, Version};

/// One plan that is in force at this edge.
#[derive(Debug, Clone)]
pub struct ActiveRollout {
    /// The plan's name.
    pub name: String,
    /// The number of its newest known state.
    pub number: u64,
    /// The number of the state that began its current run; only evidence of this and later numbers counts.
    pub run: u64,
    /// The plan as the operator submitted it.
    pub plan: RolloutPlan,
    share: f64,
    phase: Phase,
    /// This edge itself has seen conclusive evidence against the new version.
    stopped: bool,
}

impl ActiveRollout {
    fn covers(&self, service: &str, route: &str) -> bool {
        let is_target = matches!(&self.plan.to, Version::Backend(name) if name == service);
        (self.plan.service == service || is_target) && self.plan.covers(route)
    }

    /// Whether the new version may be used. A promoted version needs no lease, as there may be no control group left to
    /// fall back to.
    fn lease_is_valid(&self, now: Ms, confirmed_at: Option<Ms>) -> bool {
        let lease = self.plan.lease.as_millis() as Ms;
        self.phase == Phase::Done || confirmed_at.is_some_and(|at| now < at + lease)
    }

    fn includes(&self, member: &[u8]) -> bool {
        self.share > 0.0 && share::position(&self.plan.service, &self.name, member) < self.share
    }
}

/// The variant selected for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct VariantSelection {
    /// Index of the plan, for [`VariantSelector::get`].
    pub plan: usize,
    /// The plan's number when the variant was selected.
    pub number: u64,
    /// The variant.
    pub variant: Variant,
}

/// A plan that has ended, with the number of that state. Older states must not bring the plan back into force.
#[derive(Debug)]
struct EndedRollout {
    name: String,
    number: u64,
}

/// The plans in force at an edge, and the lease on their new versions.
///
/// ```
/// use coppersail_rollout::{RolloutState, Variant, VariantSelector};
/// let body = r#"{"service": "a", "from": {"revision": "1"}, "to": {"revision": "2"}, "steps": [{"share": 1}]}"#;
/// let mut selector = VariantSelector::default();
/// selector.apply(&RolloutState::submit("p", body, None).unwrap());
/// let variant = |selector: &VariantSelector, now| selector.choose(now, "a", "r", b"who").unwrap().variant;
/// assert_eq!(variant(&selector, 1000), Variant::Control, "the lease has not been granted yet");
/// selector.renew_lease(1000);
/// assert_eq!(variant(&selector, 3400), Variant::New);
/// assert_eq!(variant(&selector, 3600), Variant::Control, "the lease has expired");
/// assert!(selector.choose(0, "b", "r", b"who").is_none());
/// ```
#[derive(Debug, Default)]
pub struct VariantSelector {
    active: Vec<ActiveRollout>,
    /// The latest time at which all plans here were confirmed to be in their newest state.
    confirmed_at: Option<Ms>,
    ended: Vec<EndedRollout>,
}

impl VariantSelector {
    /// Whether no plan is in force.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// The plan at an index that [`VariantSelector::choose`] returned. Panics on any other.
    pub fn get(&self, at: usize) -> &ActiveRollout {
        &self.active[at]
    }

    /// All plans in force.
    pub fn active(&self) -> impl Iterator<Item = &ActiveRollout> {
        self.active.iter()
    }

    fn known_number(&self, name: &str) -> Option<u64> {
        let active = self.active.iter().find(|rollout| rollout.name == name).map(|rollout| rollout.number);
        let ended = self.ended.iter().find(|ended| ended.name == name).map(|ended| ended.number);
        active.max(ended)
    }

    /// Applies a plan's state. Returns false, without a change, if it isn't newer than the known one.
    pub fn apply(&mut self, state: &RolloutState) -> bool {
        if self.known_number(&state.name).is_some_and(|known| known >= state.number) {
            return false;
        }
        let same_run = self.active.iter().find(|known| known.name == state.name && known.run == state.run);
        let stopped = same_run.is_some_and(|known| known.stopped);
        self.active.retain(|known| known.name != state.name);
        self.ended.retain(|ended| ended.name != state.name);
        match state.share() {
            Some(share) => self.active.push(ActiveRollout {
                name: state.name.clone(),
                number: state.number,
                run: state.run,
                plan: state.plan(),
                share,
                phase: state.phase,
                stopped,
            }),
            None => self.ended.push(EndedRollout { name: state.name.clone(), number: state.number }),
        }
        true
    }

    /// Renews the lease: the states of all plans here are those that the leader had at time `at`.
    pub fn renew_lease(&mut self, at: Ms) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Stops the new version at this edge, after it has seen conclusive evidence while the plan had `number`. The edge
    /// sends it no further request, whatever the control plane decides, until the plan is resumed in a new run.
    pub fn stop(&mut self, plan: &str, number: u64) {
        let affected = self.active.iter_mut().filter(|known| known.name == plan && known.run <= number);
        affected.for_each(|known| known.stopped = true);
    }

    /// Selects the variant of a request. `None` if no plan covers its service and route.
    pub fn choose(&self, now: Ms, service: &str, route: &str, member: &[u8]) -> Option<VariantSelection> {
        let plan = self.active.iter().position(|rollout| rollout.covers(service, route))?;
        let rollout = &self.active[plan];
        let may_use_new = rollout.lease_is_valid(now, self.confirmed_at) && !rollout.stopped;
        let variant = if may_use_new && rollout.includes(member) { Variant::New } else { Variant::Control };
        Some(VariantSelection { plan, number: rollout.number, variant })
    }

    /// Whether outcomes of the plan's variants are to be recorded as evidence.
    pub fn records_evidence(&self, at: usize) -> bool {
        self.active[at].share > 0.0 && self.active[at].phase != Phase::Withdrawn
    }
}
