//! All trials under way, advanced by periods.

use crate::finding::HarmFinding;
use crate::history::History;
use crate::scope::{ChangeScope, TrialId};
use crate::trial::Trial;
use coppersail::interface::{HostId, RouteId, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// The greatest probability with which a harmless change is rejected. An undoing that was not needed costs an operator
/// a second attempt and callers nothing, while harm that stays costs callers: one in two hundred is rare enough.
pub const MAX_FALSE_POSITIVE_RATE: f64 = 0.005;
/// Periods with calls without which there is no baseline.
const MIN_BASELINE_PERIODS: usize = 12;
/// Periods with calls without which a trial of any length has not enough evidence.
const MIN_OBSERVED_PERIODS: f64 = 3.0;
/// The share of a trial's periods that must have had calls.
const MIN_OBSERVED_SHARE: f64 = 0.5;
/// Where a change touches more than this share of the hosts, the others have to carry what these shed, and are no
/// measure any more.
const MAX_TOUCHED_HOSTS: f64 = 1.0 / 3.0;
/// The least length of a period, in seconds.
const MIN_PERIOD: f64 = 0.1;
/// After a standstill of more than so many periods they are skipped.
const MAX_LATE_PERIODS: f64 = 10.0;

/// The change analysis: reports go in, and [`ChangeAnalysis::close_periods`] gives findings. Times are in seconds, on
/// any clock that the caller keeps to.
pub struct ChangeAnalysis {
    period: f64,
    importance: Vec<f64>,
    slo_time: f64,
    history: History,
    period_ends_at: f64,
    trials: BTreeMap<TrialId, Trial>,
}

impl ChangeAnalysis {
    /// `period`: time between reports, seconds; `importance`: weight by route; `slo`: the shortest SLO time, seconds.
    /// At hosts an answer after it counts as lost.
    pub fn new(period: f64, importance: Vec<f64>, slo: f64) -> Self {
        let period = period.max(MIN_PERIOD);
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

    /// Adds reported attempts at a host. `mean_response_time`: of those that were answered, in seconds.
    pub fn report_attempts(&mut self, host: HostId, attempts: u64, dropped: u64, mean_response_time: f64) {
        // The share of response times above the SLO time, if they are distributed exponentially, as waiting times are.
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

    /// Whether a trial of so many seconds has been reported on sufficiently: in half of its periods at least.
    pub fn has_sufficient_reports(&self, trial: TrialId, seconds: f64) -> bool {
        let needed = (MIN_OBSERVED_SHARE * seconds / self.period).max(MIN_OBSERVED_PERIODS);
        self.observed_periods(trial) as f64 >= needed
    }

    /// Begins a trial: the change is in force from now on, and the time until now is its baseline. `expected_loss`: the
    /// loss that the change's author announced, in percent of the calls.
    pub fn start_trial(&mut self, id: TrialId, touch: ChangeScope, expected_loss: f64) {
        let trial = Trial::new(touch, expected_loss / 100.0, self.history.baseline());
        self.trials.insert(id, trial);
        self.measure_baselines();
    }

    /// Extends the scope of a trial by slices. No effect for an unknown trial.
    pub fn extend_scope(&mut self, id: TrialId, slices: impl IntoIterator<Item = SliceId>) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        let before = trial.touch.slices.len();
        trial.touch.slices.extend(slices);
        if trial.touch.slices.len() > before {
            self.measure_baselines();
        }
    }

    /// Suspends a trial: the change is taken back for the time being, as it cannot be told from a trouble of the fleet.
    /// No effect for an unknown trial.
    pub fn suspend(&mut self, id: TrialId) {
        let Some(trial) = self.trials.get_mut(&id) else { return };
        trial.suspend();
        self.measure_baselines();
    }

    /// Whether service has been as in the baseline for long enough since the trial was suspended. `false` for a trial
    /// that is in force or unknown.
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

    /// Ends the periods that are over. Returns the trials whose change has turned out harmful, with the highest id
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

    /// Of two changes that overlap and both look harmful, the later one is reported and the other one's evidence begins
    /// anew, as it may have suffered from the later one.
    fn keep_latest_of_overlapping(
        &mut self,
        findings: BTreeMap<TrialId, HarmFinding>,
    ) -> Vec<(TrialId, HarmFinding)> {
        let mut reported: Vec<(TrialId, HarmFinding)> = Vec::new();
        for (id, finding) in findings.into_iter().rev() {
            let touch = &self.trials[&id].touch;
            if !reported.iter().any(|(later, _)| touch.overlaps(&self.trials[later].touch)) {
                reported.push((id, finding));
            } else if let Some(trial) = self.trials.get_mut(&id) {
                trial.reset_evidence();
            }
        }
        reported
    }

    /// Measures the baselines of all trials. Needed when a trial begins, ends or grows, or its change goes into or
    /// out of force: what one change touches is no measure for another.
    fn measure_baselines(&mut self) {
        let in_force: Vec<(TrialId, ChangeScope)> = self
            .trials
            .iter()
            .filter(|(_, trial)| trial.is_in_force())
            .map(|(id, trial)| (*id, trial.touch.clone()))
            .collect();
        let known_hosts = self.known_hosts();
        for (id, trial) in &mut self.trials {
            let others: Vec<&ChangeScope> =
                in_force.iter().filter(|(other, _)| other != id).map(|(_, touch)| touch).collect();
            let touched_hosts = trial.touch.hosts.len() as f64;
            let untouched_unusable = touched_hosts > MAX_TOUCHED_HOSTS * known_hosts as f64;
            trial.measure_baselines(&others, &self.importance, untouched_unusable);
        }
    }

    /// Hosts in the reports of the last minute; at least 1.
    fn known_hosts(&self) -> usize {
        let reported = self.history.periods().flat_map(|period| &period.hosts);
        reported.map(|host| host.host).collect::<BTreeSet<HostId>>().len().max(1)
    }
}
