//! The rollout operations of an edge: applies updates, records the outcomes of attempts and queues evidence.
use super::duplicates::DuplicateObserver;
use super::variants::AssignedVariant;
use crate::edge::Edge;
use coppersail_load_balancing::Ms;
use coppersail_peer_protocol::Update;
use coppersail_retry::{AttemptOutcome, IndeterminateCause};
use coppersail_rollout::evidence::OutcomeKind;
use coppersail_rollout::{AttemptEvidence, Variant};
use slog::{info, warn};

/// Maximum size (bytes) of the evidence sent with one poll. During a rollout there are three polls per
/// second, and one or two rows of evidence in two seconds.
const MAX_REPORT_BYTES: usize = 600;

/// An attempt whose outcome is recorded as evidence.
#[derive(Debug, Clone, Copy)]
pub struct AttemptRecord<'a> {
    /// The variant that the endpoint served.
    pub variant: &'a AssignedVariant,
    /// Name of the route.
    pub route: &'a str,
    /// Id of the endpoint.
    pub endpoint: &'a str,
    /// Whether the endpoint responded with a 5xx status.
    pub server_error: bool,
    /// Time (ms) from sending the request to its outcome.
    pub latency: Ms,
    /// The route's latency target (ms).
    pub latency_target: Ms,
    /// Whether the endpoint was warming up or overloaded, so that its latency says nothing about the version.
    pub latency_excluded: bool,
}

impl AttemptRecord<'_> {
    /// The kind of evidence, or `None` if the endpoint did not process the request, which says nothing about
    /// its version.
    fn classify<A>(&self, outcome: &AttemptOutcome<A>) -> Option<OutcomeKind> {
        match outcome {
            AttemptOutcome::NotSent(_) | AttemptOutcome::Rejected(_) => None,
            AttemptOutcome::Completed(_) | AttemptOutcome::Failed(_) if self.latency_excluded => {
                Some(OutcomeKind::Excluded)
            }
            AttemptOutcome::Failed(_) => Some(OutcomeKind::Failed),
            AttemptOutcome::Completed(_) if self.server_error => Some(OutcomeKind::Failed),
            AttemptOutcome::Completed(_) if self.latency > self.latency_target => Some(OutcomeKind::Late),
            AttemptOutcome::Completed(_) => Some(OutcomeKind::Good),
            AttemptOutcome::Indeterminate(
                IndeterminateCause::ForeignResponse
                | IndeterminateCause::MalformedResponse
                | IndeterminateCause::Unsealed,
            ) => Some(OutcomeKind::InvalidResponse),
            AttemptOutcome::Indeterminate(_) => Some(OutcomeKind::Lost),
        }
    }
}

impl Edge {
    /// Applies the rollouts of an update and renews the lease under which new versions get requests.
    pub fn apply_rollouts(&self, update: &Update) {
        let rollouts = &self.rollouts;
        let mut selector = rollouts.selector.borrow_mut();
        for state in &update.rollouts {
            if selector.apply(state) {
                let percent = state.share().map_or(0.0, |share| share * 100.0);
                info!(
                    self.log,
                    "edge: rollout {} is {:?} at {percent}%: {}", state.name, state.phase, state.reason
                );
            }
        }
        let active = !selector.is_empty();
        if active != rollouts.active.get() {
            rollouts.active.set(active);
            rollouts.outbox.set_active(active);
            rollouts.evidence.borrow_mut().clear();
        }
        // A leader of an earlier term than the newest known one cannot know the current rollouts.
        let as_of = update.rollouts_as_of.filter(|as_of| as_of.term >= rollouts.term.get());
        if let (Some(as_of), Some(requested_at)) = (as_of, update.requested_at) {
            // The age is counted from the time of the request, since the transit time of the answer is
            // unknown.
            let age = requested_at.elapsed().as_millis() as Ms + as_of.age_ms;
            if let Some(known_at) = self.now().checked_sub(age) {
                selector.renew_lease(known_at);
            }
            if as_of.term > rollouts.term.replace(as_of.term) {
                rollouts.evidence.borrow_mut().report_all_again();
            }
        }
        drop(selector);
        self.queue_evidence();
    }

    /// Queues the evidence of completed time spans for the next poll.
    pub fn queue_evidence(&self) {
        if self.rollouts.is_active() {
            let report = self.rollouts.evidence.borrow_mut().report(self.now(), MAX_REPORT_BYTES);
            self.rollouts.outbox.put_back(report.into_iter().collect());
        }
    }

    /// Records that a request is sent to an endpoint. Returns whether its latency must be excluded from the
    /// evidence, because the endpoint is warming up or has more than its share of the requests.
    pub fn record_attempt_start(&self, variant: &AssignedVariant, endpoint: &str, now: Ms) -> bool {
        let registry = self.registry.borrow();
        let known = registry.endpoint(endpoint).map(|known| (known.capacity, now < known.slow_start_until));
        let (capacity, warming_up) = known.unwrap_or((1, false));
        let mut evidence = self.rollouts.evidence.borrow_mut();
        variant.counted && (evidence.record_sent(now, endpoint, f64::from(capacity)) || warming_up)
    }

    /// Records the outcome of an attempt as evidence about its variant.
    pub fn record_outcome<A>(&self, attempt: &AttemptRecord<'_>, outcome: &AttemptOutcome<A>) {
        let AttemptRecord { variant, route, endpoint, latency, .. } = *attempt;
        if !variant.counted || !outcome.may_have_been_received() {
            return;
        }
        let now = self.now();
        self.record_evidence(now, variant, route, OutcomeKind::Offered, None, None);
        if let Some(kind) = attempt.classify(outcome) {
            let answered = matches!(outcome, AttemptOutcome::Completed(_) | AttemptOutcome::Failed(_));
            self.record_evidence(now, variant, route, kind, answered.then_some(latency), Some(endpoint));
        }
    }

    fn record_evidence(
        &self,
        now: Ms,
        variant: &AssignedVariant,
        route: &str,
        kind: OutcomeKind,
        latency: Option<Ms>,
        endpoint: Option<&str>,
    ) {
        let AssignedVariant { rollout, change_number, variant, .. } = variant;
        let mut evidence = self.rollouts.evidence.borrow_mut();
        let attempt = AttemptEvidence {
            plan: rollout,
            number: *change_number,
            route,
            variant: *variant,
            kind,
            latency,
            host: endpoint,
        };
        evidence.record_outcome(now, &attempt);
    }
}

impl DuplicateObserver for Edge {
    /// Stops the new version at this edge immediately if its endpoint sent the duplicate. The control plane
    /// is informed with the next poll.
    fn record_duplicate(&self, variant: &AssignedVariant, route: &str) {
        if !variant.counted {
            return;
        }
        let AssignedVariant { rollout, change_number, variant: kind, .. } = variant;
        warn!(
            self.log,
            "edge: duplicate response to an attempt from the {kind} version of rollout {rollout}"
        );
        if *kind == Variant::New {
            self.rollouts.selector.borrow_mut().stop(rollout, *change_number);
        }
        self.record_evidence(self.now(), variant, route, OutcomeKind::DuplicateResponse, None, None);
        self.queue_evidence();
    }
}
