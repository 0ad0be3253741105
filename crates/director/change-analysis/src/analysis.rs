//! The change analysis: all trials in progress, advanced period by period.

use crate::finding::HarmFinding;
use crate::history::History;
use crate::scope::{ChangeScope, TrialId};
use crate::trial::Trial;
use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound of the probability that a harmless change is rejected. An unnecessary undo costs an operator a
/// second attempt and callers nothing, while undetected harm costs callers calls, so one in two hundred is
/// rare enough.
pub const MAX_FALSE_POSITIVE_RATE: f64 = 0.005;
/// Minimum number of periods with calls for a baseline.
const MIN_BASELINE_PERIODS: usize = 12;
/// Minimum number of periods with calls for sufficient evidence, whatever the length of the trial.
const MIN_OBSERVED_PERIODS: f64 = 3.0;
/// Minimum share of a trial's periods with calls.
const MIN_OBSERVED_SHARE: f64 = 0.5;
/// If a change touches more than this share of the hosts, the load that they lose overloads the other hosts,
/// which can then not serve as control group.
const MAX_TOUCHED_HOST_SHARE: f64 = 1.0 / 3.0;
/// Minimum length of a period, in seconds.
const MIN_PERIOD_S: f64 = 0.1;
/// If the caller is late by more than this number of periods, the missed periods are skipped.
const MAX_LATE_PERIODS: f64 = 10.0;

/// The change analysis: takes reports, and returns findings from [`ChangeAnalysis::close_periods`]. Times are
/// in seconds, on any clock that the caller uses consistently.
pub struct ChangeAnalysis {
    period: f64,
    importance: Vec<f64>,
    slo_time: f64,
    history: History,
    period_ends_at: f64,
    trials: BTreeMap<TrialId, Trial>,
}

impl ChangeAnalysis {
    /// `period`: interval between reports, in seconds; `importance`: weight of each route; `slo`: the
    /// shortest response time objective (SLO) of the routes, in seconds. Attempts at hosts that are answered
    /// later count as lost.
    pub fn new(period: f64, importance: Vec<f64>, slo: f64) -> Self {
        let period = period.max(MIN_PERIOD_S);
        ChangeAnalysis {
            period,
            importance,
            slo_time: slo,
            history: History::default(),
            period_ends_at: period,
            trials: BTreeMap::new(),
        }
    }

    /// Adds reported calls of a slice in a route, `dropped` of them lost. Calls of a route without an importance are
    /// ignored.
    pub fn report_calls(&mut self, slice: SliceId, route: RouteId, calls: u64, dropped: u64) {
        if usize::from(route.0) < self.importance.len() {
            self.history.open.add_calls(slice, route, calls, dropped);
        }
    }

    /// Adds reported attempts at a host. `mean_response_time` is that of the answered attempts, in seconds.
    pub fn report_attempts(&mut self, host: HostId, attempts: u64, dropped: u64, mean_response_time: f64) {
        // The share of response times above the SLO, assuming an exponential distribution, which is typical
        // of waiting times.
        let late_share =
            if mean_response_time > 0.0 { (-self.slo_time / mean_response_time).exp() } else { 0.0 };
        let dropped = dropped.min(attempts);
        let lost = dropped as f64 + (attempts - dropped) as f64 * late_share;
        self.history.open.add_attempts(host, attempts as f64, lost);
    }

    /// When the current period ends and [`ChangeAnalysis::close_periods`] has to be called.
    pub fn period_ends_at(&self) -> f64 {
        self.period_ends_at
    }

    /// Whether enough periods have been reported for a baseline.
    pub fn has_baseline(&self) -> bool {
        self.history.periods().filter(|period| period.has_calls()).count() >= MIN_BASELINE_PERIODS
    }

    /// Periods with calls since the change of a trial came into force; 0 for an unknown trial.
    pub fn observed_periods(&self, trial: TrialId) -> usize {
        self.trials.get(&trial).map_or(0, Trial::observed_periods)
    }

    /// Whether a trial of `seconds` seconds has enough reports: at least half of its periods must have calls.
    pub fn has_sufficient_reports(&self, trial: TrialId, seconds: f64) -> bool {
        let needed = (MIN_OBSERVED_SHARE * seconds / self.period).max(MIN_OBSERVED_PERIODS);
        self.observed_periods(trial) as f64 >= needed
    }

    /// Starts a trial: the change is in force from now on, and the periods until now are its baseline.
    /// `expected_loss` is the loss that the change's author announced, in percent of the calls.
    pub fn start_trial(&mut self, id: TrialId, scope: ChangeScope, expected_loss: f64) {
        let trial = Trial::new(scope, expected_loss / 100.0, self.history.baseline());
        self.trials.insert(id, trial);
        self.measure_baselines();
    }

    /// Extends the scope of a trial by slices. No effect for an unknown trial.
    pub fn extend_scope(&mut self, id: TrialId, slices: impl IntoIterator<Item = SliceId>) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        let before = trial.scope.slices.len();
        trial.scope.slices.extend(slices);
        if trial.scope.slices.len() > before {
            self.measure_baselines();
        }
    }

    /// Suspends a trial: the change is temporarily out of force, as its harm cannot be distinguished from a
    /// fault of the fleet. No effect for an unknown trial.
    pub fn suspend(&mut self, id: TrialId) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.suspend();
        self.measure_baselines();
    }

    /// Whether service has been as in the baseline for long enough since the trial was suspended. `false` for
    /// a trial that is not suspended or unknown.
    pub fn has_recovered(&self, id: TrialId) -> bool {
        self.trials.get(&id).is_some_and(Trial::has_recovered)
    }

    /// Resumes a suspended trial: the change is in force again, and is compared with the same baseline as before.
    pub fn resume(&mut self, id: TrialId) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.resume();
        self.measure_baselines();
    }

    /// Ends a trial. No effect for an unknown trial.
    pub fn end_trial(&mut self, id: TrialId) {
        if self.trials.remove(&id).is_some() {
            self.measure_baselines();
        }
    }

    /// Closes the periods that have ended. Returns the trials whose change is found harmful, highest id
    /// first.
    pub fn close_periods(&mut self, now: f64) -> Vec<(TrialId, HarmFinding)> {
        let mut findings: BTreeMap<TrialId, HarmFinding> = BTreeMap::new();
        while now >= self.period_ends_at {
            self.period_ends_at += self.period;
            if now - self.period_ends_at > MAX_LATE_PERIODS * self.period {
                self.period_ends_at = now + self.period;
            }
            let period = self.history.close_period();
            for (id, trial) in &mut self.trials {
                let finding = trial.observe(&period, 1.0 / MAX_FALSE_POSITIVE_RATE);
                findings.extend(finding.map(|finding| (*id, finding)));
            }
        }
        self.keep_latest_of_overlapping(findings)
    }

    /// Of two changes that overlap and both appear harmful, the later one is reported, and the evidence
    /// against the other is reset, as the later one may have caused it.
    fn keep_latest_of_overlapping(
        &mut self,
        findings: BTreeMap<TrialId, HarmFinding>,
    ) -> Vec<(TrialId, HarmFinding)> {
        let mut reported: Vec<(TrialId, HarmFinding)> = Vec::new();
        for (id, finding) in findings.into_iter().rev() {
            let scope = &self.trials[&id].scope;
            if !reported.iter().any(|(later, _)| scope.overlaps(&self.trials[later].scope)) {
                reported.push((id, finding));
            } else if let Some(trial) = self.trials.get_mut(&id) {
                trial.reset_evidence();
            }
        }
        reported
    }

    /// Measures the baselines of all trials. Required when a trial starts or ends, its scope grows, or its
    /// change comes into or goes out of force: calls that another change touches cannot serve as control
    /// group.
    fn measure_baselines(&mut self) {
        let in_force: Vec<(TrialId, ChangeScope)> = self
            .trials
            .iter()
            .filter(|(_, trial)| trial.is_in_force())
            .map(|(id, trial)| (*id, trial.scope.clone()))
            .collect();
        let known_hosts = self.known_hosts();
        for (id, trial) in &mut self.trials {
            let others: Vec<&ChangeScope> =
                in_force.iter().filter(|(other, _)| other != id).map(|(_, scope)| scope).collect();
            let touched_hosts = trial.scope.hosts.len() as f64;
            let untouched_unusable = touched_hosts > MAX_TOUCHED_HOST_SHARE * known_hosts as f64;
            trial.measure_baselines(&others, &self.importance, untouched_unusable);
        }
    }

    /// Number of hosts in the reports of the kept periods; at least 1.
    fn known_hosts(&self) -> usize {
        let reported = self.history.periods().flat_map(|period| &period.hosts);
        reported.map(|host| host.host).collect::<BTreeSet<HostId>>().len().max(1)
    }
}
