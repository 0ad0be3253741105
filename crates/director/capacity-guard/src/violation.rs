//! Finds the violations that a proposal causes, by comparing the states with and without it.

use crate::reason::{Moment, Reason, Severity};
use std::fmt;

/// A reason that applies without the proposal too counts only if its excess grows by more than this share
/// plus this amount.
const MAX_GROWTH: f64 = 0.01;
/// Tolerance for rounding errors: the order of summation must not decide whether an excess has grown.
const ROUNDING: f64 = 1e-9;
/// Limit of the violations in one verdict.
const MAX_VIOLATIONS: usize = 100;

/// A reason that a proposal causes, and the time at which it applies.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Why the state is unsafe.
    pub reason: Reason,
    /// The time at which the state is unsafe.
    pub when: Moment,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}", self.reason, self.when)
    }
}

/// The reasons for which the state is unsafe at one time.
pub(crate) struct MomentReasons {
    pub(crate) moment: Moment,
    pub(crate) reasons: Vec<Reason>,
}

/// The highest severity of all the times.
pub(crate) fn worst_severity(moments: &[MomentReasons]) -> Severity {
    moments.iter().map(|at| Severity::of(&at.reasons)).fold(Severity::default(), Severity::worst)
}

fn is_known(known: &[Reason], reason: &Reason) -> bool {
    known.iter().any(|old| {
        old.subject() == reason.subject()
            && reason.excess() <= old.excess() * (1.0 + MAX_GROWTH) + MAX_GROWTH + ROUNDING
    })
}

/// The violations that the proposal causes or makes worse at any time, compared with the same time without
/// it; and those between its calls that are present neither before nor after the proposal. The most severe
/// kind comes first.
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
