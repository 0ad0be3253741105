//! Edges and the control plane: polls, evidence reports, states of the rollout, and the loss of a leader.
use crate::scenario::{Mode, Scenario};
use crate::world::{Attempt, Event, Simulation, PLAN_NAME};
use coppersail_rollout::analysis::{FleetCapacity, RolloutAnalysis};
use coppersail_rollout::lifecycle::AppliedAt;
use coppersail_rollout::{Ms, OutcomeKind, Phase, RolloutPlan, Variant, Verdict};
use std::collections::BTreeMap;

/// Maximum size of an evidence report in bytes.
const REPORT_BYTES: usize = 1400;
/// How late reports arrive at the control plane in the scenarios with delayed reports (ms).
const REPORT_DELAY: Ms = 60_000;
/// When the affected edges are partitioned from the control plane (ms).
const PARTITIONED: std::ops::Range<Ms> = 120_000..300_000;
const LEADER_LOST_FOR: Ms = 2500;
/// Hosts send heartbeats at this period (ms); a host without one for two and a half periods is considered dead.
const HEARTBEAT_PERIOD: Ms = 1300;
const DEAD_AFTER: Ms = 3250;

impl Simulation {
    pub(crate) fn handle(&mut self, now: Ms, event: Event) {
        match event {
            Event::Ended { attempt, kind, took } => self.end_attempt(now, &attempt, kind, took),
            Event::ReportArrives { report, at } => {
                let has_leader = now >= self.no_leader_until && at >= self.no_leader_until;
                if self.mode == Mode::Fleet && has_leader && self.analysis.ingest(now, PLAN_NAME, &report) {
                    let plan = self.states[0].plan();
                    self.control_plane_tick(now, &plan);
                }
            }
            Event::StateArrives { edge, state, as_of } => {
                let selector = &mut self.edges[edge].selector;
                selector.apply(&self.states[state]);
                selector.renew_lease(as_of);
            }
        }
    }

    fn end_attempt(&mut self, now: Ms, attempt: &Attempt, kind: OutcomeKind, took: Ms) {
        let is_duplicate = kind == OutcomeKind::DuplicateResponse;
        let is_answered = !matches!(kind, OutcomeKind::Lost | OutcomeKind::InvalidResponse);
        if is_duplicate {
            self.record(now, attempt, OutcomeKind::Good, Some(took), None);
            if attempt.variant == Variant::New && self.mode != Mode::Fixed {
                self.edges[attempt.edge].selector.stop(PLAN_NAME, attempt.number);
            }
        }
        let took = (is_answered && !is_duplicate).then_some(took);
        self.record(now, attempt, kind, took, Some(attempt.host));
    }

    pub(crate) fn poll(&mut self, now: Ms, edge: usize) {
        let at = &mut self.edges[edge];
        at.poll_at = now + at.poll_period;
        self.evaluate_alone(now, edge);
        let at = &self.edges[edge];
        if at.is_partitioned && PARTITIONED.contains(&now) {
            return;
        }
        let delay = at.delay;
        if self.mode == Mode::Fleet {
            self.send_report(now, edge);
        }
        if now >= self.no_leader_until {
            let (state, as_of) = (self.states.len() - 1, now.saturating_sub(delay));
            self.schedule(now + 2 * delay, Event::StateArrives { edge, state, as_of });
        }
    }

    /// Evaluates an edge's own evidence, in the mode where each edge decides alone.
    fn evaluate_alone(&mut self, now: Ms, edge: usize) {
        let fleet = self.fleet();
        let died = &self.died;
        let edge = &mut self.edges[edge];
        let Some(analysis) = &mut edge.analysis else { return };
        if let Some(report) = edge.recorder.report(now, usize::MAX) {
            analysis.ingest(now, PLAN_NAME, &report);
        }
        let dead = |host: &str, seen: Ms| has_died(died, host, seen, now);
        if let Verdict::Pause(reason) = analysis.evaluate(now, 1, fleet, dead) {
            edge.selector.stop(PLAN_NAME, u64::MAX);
            self.outcome.paused_at.get_or_insert(now);
            self.outcome.pause_reason = reason;
        }
    }

    fn send_report(&mut self, now: Ms, edge: usize) {
        let edge = &mut self.edges[edge];
        let Some(report) = edge.recorder.report(now, REPORT_BYTES) else { return };
        self.outcome.evidence_bytes += serde_json::to_string(&report).map_or(0, |text| text.len() as u64);
        let at = now + edge.delay + if edge.delays_reports { REPORT_DELAY } else { 0 };
        self.schedule(at, Event::ReportArrives { report, at });
    }

    fn fleet(&self) -> FleetCapacity {
        let slots = self.size.hosts as f64 * 2.0;
        FleetCapacity { new_slots: slots, control_slots: slots, new_hosts: self.size.hosts }
    }

    pub(crate) fn control_plane_tick(&mut self, now: Ms, plan: &RolloutPlan) {
        if now < self.no_leader_until {
            return;
        }
        if self.lost_leader && self.no_leader_until > 0 {
            self.begin_new_leader(now, plan);
        }
        let state = self.states.last().expect("one").clone();
        self.analysis.set_step(state.step);
        let verdict = self.verdict(now, state.number);
        let Some(next) = state.tick(plan, now, self.since, &verdict) else { return };
        let is_pause = matches!(next.phase, Phase::Withdrawn | Phase::Frozen);
        if is_pause && self.scenario == Scenario::LateAndLeaderLost && !self.lost_leader {
            (self.lost_leader, self.no_leader_until) = (true, now + LEADER_LOST_FOR);
            return;
        }
        if is_pause {
            self.outcome.paused_at.get_or_insert(now);
            self.outcome.pause_reason = next.reason.clone();
        }
        self.since = AppliedAt(now);
        self.states.push(next);
    }

    /// Begins the term of a new leader. It has the stored state only, requests all retained evidence again, and
    /// restarts the minimum duration of the step.
    fn begin_new_leader(&mut self, now: Ms, plan: &RolloutPlan) {
        let run = self.states.last().expect("one").run;
        self.analysis = RolloutAnalysis::new(plan, run);
        self.since = AppliedAt(now);
        self.no_leader_until = 0;
        self.edges.iter_mut().for_each(|edge| edge.recorder.report_all_again());
    }

    fn verdict(&mut self, now: Ms, number: u64) -> Verdict {
        if self.mode != Mode::Fleet {
            return Verdict::Healthy;
        }
        let fleet = self.fleet();
        let died = &self.died;
        self.analysis.evaluate(now, number, fleet, |host, seen| has_died(died, host, seen, now))
    }
}

/// Whether a host died around the time `seen`, if that is known at `now`.
fn has_died(died: &BTreeMap<String, Ms>, host: &str, seen: Ms, now: Ms) -> Option<bool> {
    let is_dead = died.get(host).is_some_and(|at| *at + 10_000 > seen && *at <= seen + 1000);
    (now >= seen + DEAD_AFTER || (!is_dead && now >= seen + HEARTBEAT_PERIOD)).then_some(is_dead)
}
