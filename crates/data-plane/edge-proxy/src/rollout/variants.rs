//! Which variant of a rollout serves a request: the new version or the control group.
use super::outbox::EvidenceOutbox;
use coppersail_load_balancing::Ms;
use coppersail_rollout::{EvidenceRecorder, Variant, VariantSelector, Version};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Process ids of evidence are drawn below this, so that JSON numbers hold them exactly.
const PROCESS_ID_END: u64 = 1 << 53;

/// The rollouts that an edge knows, and what it has counted of them.
pub struct RolloutVariants {
    /// Whether any rollout is in force.
    pub(super) active: Cell<bool>,
    pub(super) selector: RefCell<VariantSelector>,
    pub(super) evidence: RefCell<EvidenceRecorder>,
    /// The newest term of a leader that told which rollouts are in force.
    pub(super) term: Cell<u64>,
    /// Reports for the control plane.
    pub outbox: Arc<EvidenceOutbox>,
}

/// The variant of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedVariant {
    /// Name of the rollout.
    pub(super) rollout: Rc<str>,
    /// Number of the rollout's last change; evidence of other states of it is not mixed with this one's.
    pub(super) change_number: u64,
    /// New version or control group.
    pub(super) variant: Variant,
    /// The version that serves `variant`.
    pub(super) version: Version,
    /// The new version's revision, where endpoints are told apart by it.
    revision: Option<Rc<str>>,
    /// Whether outcomes are evidence: not once the rollout is finished.
    pub(super) counted: bool,
}

impl AssignedVariant {
    /// The service that serves the variant, where versions are services of their own.
    pub fn service(&self) -> Option<&str> {
        match &self.version {
            Version::Backend(name) => Some(name),
            Version::Revision(_) => None,
        }
    }

    /// The same request in the control group instead.
    pub fn into_control_group(self) -> AssignedVariant {
        AssignedVariant { variant: Variant::Control, ..self }
    }

    /// Where versions are revisions: the new revision, and whether endpoints must have it (true) or must not.
    pub fn revision_filter(&self) -> Option<(&str, bool)> {
        self.revision.as_deref().map(|revision| (revision, self.variant == Variant::New))
    }
}

impl RolloutVariants {
    /// For the edge with this address in this zone; no rollout is in force.
    pub fn new(edge: &str, zone: &str) -> RolloutVariants {
        let evidence = EvidenceRecorder::new(edge, fastrand::u64(1..PROCESS_ID_END), zone);
        RolloutVariants {
            active: Cell::new(false),
            selector: RefCell::default(),
            evidence: RefCell::new(evidence),
            term: Cell::new(0),
            outbox: Arc::default(),
        }
    }

    /// Whether any rollout is in force.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// None: no rollout covers the route. Otherwise the header whose value is the key of variant selection, or none
    /// for the client's address.
    pub fn selection_header(&self, service: &str, route: &str) -> Option<Option<String>> {
        let selector = self.selector.borrow();
        let choice = selector.choose(0, service, route, b"")?;
        Some(selector.get(choice.plan).plan.session_header.clone())
    }

    /// The variant for a request with this selection key, if a rollout covers the route. Equal keys get the same
    /// variant at every edge, and those of the new version keep it while its share grows.
    pub fn select_variant(
        &self,
        now: Ms,
        service: &str,
        route: &str,
        member: &[u8],
    ) -> Option<AssignedVariant> {
        let selector = self.selector.borrow();
        let choice = selector.choose(now, service, route, member)?;
        let live = selector.get(choice.plan);
        let version = if choice.variant == Variant::New { &live.plan.to } else { &live.plan.from };
        let revision = match &live.plan.to {
            Version::Revision(name) => Some(name.as_str().into()),
            Version::Backend(_) => None,
        };
        Some(AssignedVariant {
            rollout: live.name.as_str().into(),
            change_number: choice.number,
            variant: choice.variant,
            version: version.clone(),
            revision,
            counted: selector.records_evidence(choice.plan),
        })
    }
}
