//! What a proposal makes unsafe, by comparison of the states with and without it.

use crate::reason::{Moment, Reason, Severity};
use std::fmt;

/// A reason that is known already counts again when its excess has grown by more than this share, or this much.
const MAX_GROWTH: f64 = 0.01;
/// The order in which sums were made must not decide whether an excess has grown.
const ROUNDING: f64 = 1e-9;
/// Violations that one verdict names at most.
const MAX_VIOLATIONS: usize = 100;

/// A reason that a proposal causes, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Why the state is unsafe.
    pub reason: Reason,
    /// When it is in force.
    pub when: Moment,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}", self.reason, self.when)
    }
}

/// The reasons at one moment.
pub(crate) struct MomentReasons {
    pub(crate) moment: Moment,
    pub(crate) reasons: Vec<Reason>,
}

/// The severity of the worst moment.
pub(crate) fn worst_severity(moments: &[MomentReasons]) -> Severity {
    moments.iter().map(|at| Severity::of(&at.reasons)).fold(Severity::default(), Severity::worst)
}

fn is_known(known: &[Reason], reason: &Reason) -> bool {
    known.iter().any(|old| {
        old.subject() == reason.subject()
            && reason.excess() <= old.excess() * (1.0 + MAX_GROWTH) + MAX_GROWTH + ROUNDING
    })
}

/// What the proposal makes unsafe or worse, at each moment compared with the same moment without it; and between its
/// calls, what is unsafe neither before nor after. The most severe kind comes first.
pub(crate) fn caused_violations(
    before: &[MomentReasons],
    between: &[MomentReasons],
    after: &[MomentReasons],
) -> Vec<Violation> {
    let violation = |reason: &Reason, when| Violation { reason: reason.clone(), when };
    let mut violations: Vec<Violation> = Vec::new();
    for (new, old) in after.iter().zip(before) {
        let caused = new.reasons.iter().filter(|reason| !is_known(&old.reasons, reason));
        violations.extend(caused.map(|reason| violation(reason, new.moment)));
    }
    let (first, last) = (&before[0].reasons, &after[0].reasons);
    for new in between {
        let is_new = |reason: &&Reason| !is_known(first, reason) && !is_known(last, reason);
        let caused = new.reasons.iter().filter(is_new);
        violations.extend(caused.map(|reason| violation(reason, new.moment)));
    }
    violations.sort_by(|a, b| {
        let by_kind = a.reason.subject().kind.cmp(&b.reason.subject().kind);
        by_kind.then(b.reason.excess().total_cmp(&a.reason.excess()))
    });
    violations.truncate(MAX_VIOLATIONS);
    violations
}
