//! The analysis of a rollout compares the new version with the control group in the same time windows, zones and routes
//! (canary analysis). [`RolloutAnalysis::ingest`] takes in rows and filters out stale and duplicate ones (`row_store`).
//! At each interval the complete rows are evaluated: faults of single hosts are separated from faults of the version
//! (`host_faults`), late answers are left out while the new version's hosts are overloaded (`overload`), the
//! overdispersion of late answers is estimated (`dispersion`), and the sequential test weighs the evidence
//! (`sequential_test`). [`RolloutAnalysis::evaluate`] returns the verdict.
mod dispersion;
mod host_faults;
mod overload;
mod row_store;
mod sequential_test;
mod stratum;
mod sums;

use crate::evidence::EvidenceReport;
use crate::verdict::Verdict;
use crate::Ms;
use coppersail_config::rollout::RolloutPlan;
use dispersion::Dispersion;
use host_faults::HostFaultFilter;
use overload::OverloadDetector;
use row_store::{PendingRow, RowStore};
use sequential_test::{IntervalWeights, Scope, SequentialTest, Strongest, ANALYSIS_INTERVAL};
use std::collections::BTreeMap;
use stratum::{EvaluatedRow, Fault, StratumKey};

pub use overload::FleetCapacity;
pub use sums::VariantSums;

/// If it is still unknown this long (ms) after a report of a loss whether the host died, the host is assumed to be
/// alive.
const ASSUME_ALIVE_AFTER: Ms = 6000;
/// No step is taken while more than one in this many edges is silent.
const SILENT_EDGES_DIVISOR: usize = 3;
/// No step is taken while a test's log odds exceed the log threshold divided by this.
const SUSPICION_DIVISOR: f64 = 2.0;

/// The analysis of one run of a rollout, at the leader.
pub struct RolloutAnalysis {
    plan: RolloutPlan,
    /// The plan's number at the start of the run. Evidence counted under lower numbers is ignored.
    run: u64,
    step: usize,
    /// Answers of the new version that the current step requires.
    required_answers: u64,
    /// Answers of the new version by the plan's number.
    answers: BTreeMap<u64, u64>,
    evaluated_at: Ms,
    rows: RowStore,
    host_faults: HostFaultFilter,
    overload: OverloadDetector,
    dispersion: Dispersion,
    test: SequentialTest,
    /// Sums of the counts of both variants in this run.
    pub sums: VariantSums,
    /// Number of rows that arrived late.
    pub late_rows: u64,
    /// Number of rows that arrived.
    pub rows_received: u64,
}

impl RolloutAnalysis {
    /// An analysis of the run that began with the plan's number `run`.
    pub fn new(plan: &RolloutPlan, run: u64) -> RolloutAnalysis {
        RolloutAnalysis {
            plan: plan.clone(),
            run,
            step: 0,
            required_answers: plan.steps.first().map_or(0, |step| step.min_answers),
            answers: BTreeMap::new(),
            evaluated_at: 0,
            rows: RowStore::default(),
            host_faults: HostFaultFilter::default(),
            overload: OverloadDetector::default(),
            dispersion: Dispersion::default(),
            test: SequentialTest::new(plan),
            sums: VariantSums::default(),
            late_rows: 0,
            rows_received: 0,
        }
    }

    /// Takes in the rows of an edge's report that belong to the plan with this name. True if the new version executed a
    /// request twice; the caller should then evaluate immediately.
    pub fn ingest(&mut self, now: Ms, name: &str, report: &EvidenceReport) -> bool {
        let mut is_urgent = false;
        for row in report.rows.iter().filter(|row| row.plan == name && row.number >= self.run) {
            let accepted = self.rows.accept(now, report, row);
            self.rows_received += 1;
            self.late_rows += u64::from(accepted.arrived_late);
            self.sums.add_duplicates(accepted.new_duplicates);
            is_urgent |= accepted.new_duplicates.new > 0;
        }
        is_urgent
    }

    /// Evaluates the rows that are complete, and returns the verdict. `number` is the plan's current number.
    /// `host_died` returns whether a host has died at or after a time, if that is known.
    pub fn evaluate(
        &mut self,
        now: Ms,
        number: u64,
        fleet: FleetCapacity,
        host_died: impl Fn(&str, Ms) -> Option<bool>,
    ) -> Verdict {
        if now >= self.evaluated_at + ANALYSIS_INTERVAL {
            self.evaluated_at = now;
            self.evaluate_interval(now, fleet, &host_died);
        }
        if let Some(reason) = self.sums.duplicates_reason(self.plan.bounds.doubled) {
            return Verdict::Pause(reason);
        }
        self.test_verdict().unwrap_or_else(|| self.step_verdict(now, number))
    }

    fn evaluate_interval(
        &mut self,
        now: Ms,
        fleet: FleetCapacity,
        host_died: &impl Fn(&str, Ms) -> Option<bool>,
    ) {
        self.host_faults.begin_interval(now, fleet.new_hosts);
        let host_died = |host: &str, seen: Ms| {
            host_died(host, seen).or((now >= seen + ASSUME_ALIVE_AFTER).then_some(false))
        };
        let due = self.rows.take_due(now, &host_died);
        let rows: Vec<EvaluatedRow> = due.into_iter().map(|row| self.evaluate_row(row, &host_died)).collect();
        self.overload.observe(now, fleet, &rows);
        // The dispersion estimated before these rows: an interval's own answers must not decide how they are weighed.
        let weights = IntervalWeights {
            dispersion: self.dispersion.factor(),
            skip_late: self.overload.excuses_lateness(now),
        };
        self.test.evaluate(&rows, &weights);
        self.dispersion.observe(&rows);
    }

    fn evaluate_row(
        &mut self,
        pending: PendingRow,
        host_died: &impl Fn(&str, Ms) -> Option<bool>,
    ) -> EvaluatedRow {
        let PendingRow { edge, zone, row, first_seen, late } = pending;
        let host_died = |host: &str| host_died(host, first_seen);
        let new_lost = self.host_faults.new_losses(&row.new, host_died);
        let control_lost = self.host_faults.control_losses(&row.control, host_died);
        let new_slow = self.host_faults.attributed(Fault::Late, &row.new.slow_at);
        *self.answers.entry(row.number).or_default() += row.new.ended();
        self.sums.add_evaluated(&row);
        let late_edge = if late { edge } else { String::new() };
        let stratum = StratumKey { zone, route: row.route.clone(), late_edge };
        EvaluatedRow { stratum, row, new_lost, control_lost, new_slow }
    }

    /// The verdict of the sequential test, if it has decided against the new version or suspects it.
    fn test_verdict(&self) -> Option<Verdict> {
        let strongest = self.test.strongest()?;
        let threshold = self.test.log_threshold();
        if strongest.log_odds >= threshold {
            return Some(Verdict::Pause(self.reason(&strongest)));
        }
        let is_suspicious = strongest.log_odds > threshold / SUSPICION_DIVISOR;
        is_suspicious.then(|| Verdict::Wait(format!("suspected: {}", self.reason(&strongest))))
    }

    fn reason(&self, strongest: &Strongest) -> String {
        let scope = match &strongest.hypothesis.scope {
            Scope::Fleet => String::new(),
            Scope::Zone(zone) => format!(" in zone {zone}"),
            Scope::Route(route) => format!(" on route {route}"),
        };
        let fault = match strongest.hypothesis.fault {
            Fault::Late => "late or failed",
            Fault::Lost => "lost",
        };
        let (new, old) = self.sums.fault_percentages(strongest.hypothesis.fault);
        let log_odds = strongest.log_odds;
        format!("more {fault}{scope}; of all so far {new:.1}% against {old:.1}%, odds e^{log_odds:.1}")
    }

    /// Whether there is enough evidence for the next step, and no condition that could hide a fault.
    fn step_verdict(&self, now: Ms, number: u64) -> Verdict {
        let (answers, required) = (self.answers(number), self.required_answers);
        if answers < required {
            return Verdict::Wait(format!("{answers} of {required} answers"));
        }
        let (silent, edges) = (self.rows.silent_edges(now), self.rows.edges());
        if SILENT_EDGES_DIVISOR * silent > edges {
            return Verdict::Wait(format!("{silent} of {edges} edges are silent"));
        }
        if self.overload.is_overloaded() {
            return Verdict::Wait("the new version's hosts have more than their part to do".into());
        }
        if self.dispersion.control_is_late() {
            return Verdict::Wait("the sound version is late itself".into());
        }
        Verdict::Healthy
    }

    /// Sets the index of the current step.
    pub fn set_step(&mut self, step: usize) {
        if step > self.step {
            self.test.begin_step();
            self.step = step;
        }
        self.required_answers = self.plan.steps.get(step).map_or(0, |step| step.min_answers);
    }

    /// Number of evaluated answers of the new version that were counted while the plan had this number.
    pub fn answers(&self, number: u64) -> u64 {
        self.answers.get(&number).copied().unwrap_or(0)
    }
}
