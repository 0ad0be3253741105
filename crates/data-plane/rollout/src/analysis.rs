//! The analysis of a rollout: the new version against the control group in the same windows of time, in the same zones,
//! on the same routes (canary analysis). Its steps, in order: [`RolloutAnalysis::ingest`] guards against stale reports
//! (`row_store`); each interval the rows that are over are evaluated, with what counts against a version and what is
//! one host's trouble (`host_faults`), whether the new version's hosts are overloaded (`overload`) and how crowded
//! late answers come (`dispersion`); the sequential test weighs them (`sequential_test`); [`RolloutAnalysis::evaluate`]
//! decides.
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

/// A loss at a host of which nothing is known so long (ms) after the report counts as one at a host that runs.
const FATE_UNKNOWN_AFTER: Ms = 6000;
/// No step is taken while more than one in so many edges is silent.
const STALE_EDGES_DIVISOR: usize = 3;
/// A test is suspicious from this part of the threshold on, in logs: no step is taken.
const SUSPICION: f64 = 2.0;

/// The analysis of one run of a rollout, at the leader.
pub struct RolloutAnalysis {
    plan: RolloutPlan,
    /// Evidence counted under lower numbers of the plan is ignored.
    run: u64,
    step: usize,
    /// Answers of the new version that the step in force requires.
    required_answers: u64,
    /// Answers of the new version by the plan's number.
    answers: BTreeMap<u64, u64>,
    evaluated_at: Ms,
    rows: RowStore,
    host_faults: HostFaultFilter,
    overload: OverloadDetector,
    dispersion: Dispersion,
    test: SequentialTest,
    /// What both variants did in this run.
    pub sums: VariantSums,
    /// Rows that arrived late.
    pub late_rows: u64,
    /// Rows that arrived.
    pub rows_received: u64,
}

impl RolloutAnalysis {
    /// An analysis of what was counted from the plan's number `run` on.
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

    /// Takes in what an edge reports of the plan of this name. True if the new version ran something twice: the caller
    /// should then judge at once.
    pub fn ingest(&mut self, now: Ms, name: &str, report: &EvidenceReport) -> bool {
        let mut is_urgent = false;
        for row in report.rows.iter().filter(|row| row.plan == name && row.number >= self.run) {
            let accepted = self.rows.accept(now, report, row);
            self.rows_received += 1;
            self.late_rows += u64::from(accepted.arrived_late);
            self.sums.add_doubled(accepted.newly_doubled);
            is_urgent |= accepted.newly_doubled.new > 0;
        }
        is_urgent
    }

    /// Evaluates what can be evaluated, and decides. `number` is the plan's present one. `dead`: whether a host has
    /// died at or after a time, if that is known.
    pub fn evaluate(
        &mut self,
        now: Ms,
        number: u64,
        fleet: FleetCapacity,
        dead: impl Fn(&str, Ms) -> Option<bool>,
    ) -> Verdict {
        if now >= self.evaluated_at + ANALYSIS_INTERVAL {
            self.evaluated_at = now;
            self.evaluate_interval(now, fleet, &dead);
        }
        if let Some(reason) = self.sums.doubled_reason(self.plan.bounds.doubled) {
            return Verdict::Pause(reason);
        }
        self.test_verdict().unwrap_or_else(|| self.step_verdict(now, number))
    }

    fn evaluate_interval(&mut self, now: Ms, fleet: FleetCapacity, dead: &impl Fn(&str, Ms) -> Option<bool>) {
        self.host_faults.begin_interval(now, fleet.new_hosts);
        let host_died =
            |host: &str, seen: Ms| dead(host, seen).or((now >= seen + FATE_UNKNOWN_AFTER).then_some(false));
        let due = self.rows.take_due(now, &host_died);
        let rows: Vec<EvaluatedRow> = due.into_iter().map(|row| self.evaluate_row(row, &host_died)).collect();
        self.overload.observe(now, fleet, &rows);
        // The estimate of before these rows: an interval's own answers must not decide how they are weighed.
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

    /// What the sequential test has decided or suspects.
    fn test_verdict(&self) -> Option<Verdict> {
        let strongest = self.test.strongest()?;
        let threshold = self.test.log_threshold();
        if strongest.log_odds >= threshold {
            return Some(Verdict::Pause(self.reason(&strongest)));
        }
        let is_suspicious = strongest.log_odds > threshold / SUSPICION;
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

    /// Whether there is enough evidence for the next step, and no trouble that would hide a fault.
    fn step_verdict(&self, now: Ms, number: u64) -> Verdict {
        let (answers, required) = (self.answers(number), self.required_answers);
        if answers < required {
            return Verdict::Wait(format!("{answers} of {required} answers"));
        }
        let (silent, edges) = (self.rows.stale_edges(now), self.rows.edges());
        if STALE_EDGES_DIVISOR * silent > edges {
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

    /// The step in force has this index.
    pub fn set_step(&mut self, step: usize) {
        if step > self.step {
            self.test.begin_step();
            self.step = step;
        }
        self.required_answers = self.plan.steps.get(step).map_or(0, |step| step.min_answers);
    }

    /// Answers of the new version that were evaluated while the plan had this number.
    pub fn answers(&self, number: u64) -> u64 {
        self.answers.get(&number).copied().unwrap_or(0)
    }
}
