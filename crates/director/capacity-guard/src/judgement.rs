//! Evaluation of a proposal: it is accepted, accepted because it is less severe than the state in force, or
//! refused.

use crate::guard::{near_events, Guard, Trial};
use crate::pool::PendingEvent;
use crate::reason::Moment;
use crate::repair::{find_repair, FoundRepair, Repair};
use crate::violation::{caused_violations, worst_severity, MomentReasons, Violation};
use coppersail::interface::{HostId, Order};
use std::collections::BTreeSet;

/// What makes a proposal unsafe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// The violations that the proposal causes, the most severe kind first; at most 100.
    pub reasons: Vec<Violation>,
    /// Additional changes that make the proposal safe or, if none were found, the ones with the least severe
    /// result.
    pub repair: Option<Repair>,
    /// The proposal together with `repair` would be accepted, and is less severe than the state in force.
    pub repair_is_safe: bool,
    /// Without the repair, the proposal is unsafe but less severe than the state in force.
    pub is_improvement: bool,
}

/// The verdict on a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It causes no violation.
    Accepted,
    /// It is unsafe, but less severe than the state in force; and no safe repair was found, or it assigns an
    /// open host to a slice that has none. Refusing it would keep a worse state in force. There may be a
    /// repair that improves it further.
    Improvement(Findings),
    /// It is unsafe.
    Refused(Findings),
}

impl Verdict {
    /// Whether the proposal may be sent.
    pub fn passes(&self) -> bool {
        !matches!(self, Verdict::Refused(_))
    }
}

impl Guard {
    /// Evaluates a proposal: the orders of calls that are sent one after the other. `now` and the times of
    /// the pending events are in seconds. The guard is unchanged when this returns.
    pub fn judge(&mut self, calls: &[Vec<Order>], pending: &[PendingEvent], now: f64) -> Verdict {
        let pending = near_events(pending, now);
        let touched = self.touched_hosts(calls.iter().flatten());
        let before = self.inspect_ahead(&touched, &pending, now);
        let mut trial = Trial::default();
        let between = self.apply_calls(calls, &touched, now, &mut trial);
        let after = self.inspect_ahead(&touched, &pending, now);
        self.revert(trial);
        let violations = caused_violations(&before, &between, &after);
        if violations.is_empty() {
            return Verdict::Accepted;
        }
        let (severity_before, severity_after) = (worst_severity(&before), worst_severity(&after));
        let is_improvement = severity_after.is_less(&severity_before);
        let covers_slice = severity_after.uncovered < severity_before.uncovered;
        // A state that is unsafe only between two calls is avoided by reordering the calls, not by other
        // weights.
        let is_transient = violations.iter().all(|found| matches!(found.when, Moment::BetweenCalls(_)));
        let found = if is_transient { None } else { find_repair(self, calls, &touched, &pending, now) };
        let repair_is_safe = found.as_ref().is_some_and(|found| found.is_safe);
        let repair = found.map(|found: FoundRepair| found.repair);
        let refused = Findings { reasons: violations, repair, repair_is_safe, is_improvement };
        // A slice without an open host loses every call, so its table is sent even though a better one
        // exists.
        if is_improvement && !is_transient && (!repair_is_safe || covers_slice) {
            Verdict::Improvement(refused)
        } else {
            Verdict::Refused(refused)
        }
    }

    /// Applies the calls speculatively. Returns the reasons for which the state after each call but the last
    /// is unsafe.
    fn apply_calls(
        &mut self,
        calls: &[Vec<Order>],
        touched: &BTreeSet<HostId>,
        now: f64,
        trial: &mut Trial,
    ) -> Vec<MomentReasons> {
        let mut between = Vec::new();
        for (index, call) in calls.iter().enumerate() {
            call.iter().for_each(|order| self.apply(order, trial));
            if index + 1 < calls.len() {
                let reasons = self.inspect(touched, now);
                between.push(MomentReasons { moment: Moment::BetweenCalls(index), reasons });
            }
        }
        between
    }
}
