//! Selects the variant of a rollout that serves a request: the new version or the control group.
use super::outbox::EvidenceOutbox;
use coppersail_load_balancing::Ms;
use coppersail_rollout::{EvidenceRecorder, Variant, VariantSelector, Version};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Exclusive upper bound of the random process id in evidence reports. JSON numbers represent integers below
/// it exactly.
const PROCESS_ID_END: u64 = 1 << 53;

/// The rollouts that an edge knows, and the evidence that it has recorded about them.
pub struct RolloutVariants {
    /// Whether any rollout is active.
    pub(super) active: Cell<bool>,
    pub(super) selector: RefCell<VariantSelector>,
    pub(super) evidence: RefCell<EvidenceRecorder>,
    /// The newest term of a leader whose rollouts were applied.
    pub(super) term: Cell<u64>,
    /// Evidence reports for the control plane.
    pub outbox: Arc<EvidenceOutbox>,
}

/// The variant of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedVariant {
    /// Name of the rollout.
    pub(super) rollout: Rc<str>,
    /// Number of the rollout's last change. Evidence from before and after a change is kept apart by it.
    pub(super) change_number: u64,
    /// The new version or the control group.
    pub(super) variant: Variant,
    /// The version that serves `variant`.
    pub(super) version: Version,
    /// The new version's revision, if the rollout distinguishes endpoints by revision.
    revision: Option<Rc<str>>,
    /// Whether outcomes are recorded as evidence; false once the rollout is finished.
    pub(super) counted: bool,
}

impl AssignedVariant {
    /// The service that serves the variant, if the versions are separate services.
    pub fn service(&self) -> Option<&str> {
        match &self.version {
            Version::Backend(name) => Some(name),
            Version::Revision(_) => None,
        }
    }

    /// Reassigns the request to the control group.
    pub fn into_control_group(self) -> AssignedVariant {
        AssignedVariant { variant: Variant::Control, ..self }
    }

    /// If the versions are revisions: the new revision, and whether endpoints must have it (true) or must not
    /// have it (false).
    pub fn revision_filter(&self) -> Option<(&str, bool)> {
        self.revision.as_deref().map(|revision| (revision, self.variant == Variant::New))
    }
}

impl RolloutVariants {
    /// Creates the rollout state of the edge with this address in this zone, without rollouts.
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

    /// Whether any rollout is active.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// `None` if no rollout covers the route. Otherwise the name of the header whose value is the key of the
    /// variant selection, or `Some(None)` if the client's address is the key.
    pub fn selection_header(&self, service: &str, route: &str) -> Option<Option<String>> {
        let selector = self.selector.borrow();
        let choice = selector.choose(0, service, route, b"")?;
        Some(selector.get(choice.plan).plan.session_header.clone())
    }

    /// The variant for a request with this selection key, if a rollout covers the route. Requests with the
    /// same key get the same variant at every edge, and keys assigned to the new version stay there while its
    /// share grows.
    pub fn select_variant(
        &self,
        now: Ms,
        service: &str,
        route: &str,
        selection_key: &[u8],
    ) -> Option<AssignedVariant> {
        let selector = self.selector.borrow();
        let choice = selector.choose(now, service, route, selection_key)?;
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
