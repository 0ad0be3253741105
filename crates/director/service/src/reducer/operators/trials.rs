//! Trials of changes: detects when a change has reached the relay, reports the findings of the analysis, and runs the
//! change log's ticks.

use super::{OperatorContext, Operators};
use crate::reducer::outbox::Outbox;
use coppersail_change_analysis::{HarmFinding, ServicePart, TrialId};
use coppersail_changes::{AnalysisState, Version};
use coppersail_operator_config::{Field, Value};
use coppersail_settings::Names;
use std::collections::BTreeSet;

/// The orders that a change causes are taken to be complete once no weight was ordered for this long.
const QUIET_PERIOD_S: f64 = 1.0;
/// They are taken to be complete at the latest this long after the change was given to the decisions, since load
/// balancing may order weights all the time. A large change takes several rounds of messages.
const MAX_APPLY_S: f64 = 10.0;

impl Operators {
    /// Ends the analysis' period if it is over, and reports the harm that was found.
    pub(super) fn poll_analysis(&mut self, now: f64, context: &OperatorContext, outbox: &mut Outbox) {
        if now < self.analysis.period_ends_at() {
            return;
        }
        let is_enabled = self.is_analysis_enabled();
        for (TrialId(number), finding) in self.analysis.close_periods(now) {
            if !is_enabled {
                continue;
            }
            let pool = self.host_pool(now, context);
            let description = (describe(&finding, context.names), finding.is_uncertain());
            let wall_time = self.wall_time(now);
            let effects = self.change_log.report_harm(now, wall_time, Version(number), description, &pool);
            self.carry_out(now, effects, context, outbox);
        }
    }

    /// Runs a tick of the change log, which does what has become due.
    pub(super) fn tick(&mut self, now: f64, context: &OperatorContext, outbox: &mut Outbox) {
        self.poll_applying(now, context, outbox);
        let wall_time = self.wall_time(now);
        let pool = self.host_pool(now, context);
        let analysis = &self.analysis;
        let is_enabled = self.is_analysis_enabled();
        let baseline = analysis.has_baseline();
        let mut sufficiently_reported = BTreeSet::new();
        for (number, trial_s) in self.change_log.trials() {
            if is_enabled && analysis.has_sufficient_reports(TrialId(number.0), trial_s) {
                sufficiently_reported.insert(number);
            }
        }
        let ready = |number: Option<Version>| AnalysisState {
            has_baseline: baseline,
            has_reports: number.is_some_and(|number| sufficiently_reported.contains(&number)),
            has_recovered: number
                .is_some_and(|number| is_enabled && analysis.has_recovered(TrialId(number.0))),
        };
        let effects = self.change_log.tick(now, wall_time, &pool, &ready);
        self.carry_out(now, effects, context, outbox);
    }

    fn is_analysis_enabled(&self) -> bool {
        self.change_log.document().get(&Field::Analysis) != Some(&Value::Flag(false))
    }

    /// Tells the change log when the orders of the change that is being applied are complete and acknowledged.
    fn poll_applying(&mut self, now: f64, context: &OperatorContext, outbox: &mut Outbox) {
        let Some(applying) = &self.applying else { return };
        let is_complete =
            applying.last_order_at + QUIET_PERIOD_S <= now || applying.since + MAX_APPLY_S <= now;
        if !is_complete || !context.calls_idle || self.overrides_outdated {
            return;
        }
        let Some(applying) = self.applying.take() else { return };
        self.analysis.extend_scope(TrialId(applying.version.0), applying.slices);
        let effects = self.change_log.document_applied(now, self.wall_time(now), applying.version);
        self.carry_out(now, effects, context, outbox);
    }
}

/// The finding with the name of the route instead of its number.
fn describe(finding: &HarmFinding, names: &Names) -> String {
    let text = finding.to_string();
    match finding.part {
        ServicePart::Route(route) => {
            let by_number = format!("route {}", route.0);
            let by_name = format!("route {}", names.route_name(route));
            text.replacen(&by_number, &by_name, 1)
        }
        _ => text,
    }
}
