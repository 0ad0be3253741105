//! Applies staged changes one at a time, and runs their trials: a change is kept, extended, suspended,
//! retried or undone.

use super::{ActiveChange, ChangeLog};
use crate::change::Version;
use crate::effect::{AnalysisState, ChangeEffect};
use crate::host_pool::HostPool;
use crate::refusal::Refusal;
use crate::stage::{EndReason, Keep, Stage};

/// Seconds after which a change is undone if the proxies have not applied it. This is much longer than any
/// retry of a request to them, and half of the time within which harm must be undone.
pub(super) const APPLY_TIMEOUT_S: f64 = 15.0;
/// How long a change waits for the analysis to have a baseline, in seconds; then it is applied without one.
const BASELINE_TIMEOUT_S: f64 = 20.0;
/// How long a change may stay suspended, in seconds. Its author does not expect a change to come into force
/// after that.
const SUSPENSION_TIMEOUT_S: f64 = 300.0;
/// A trial without enough reports to analyse it is extended to this multiple of its length; then the change
/// is undone.
const MAX_TRIAL_EXTENSION_FACTOR: f64 = 2.0;

impl ChangeLog {
    /// To be called when the proxies have applied the assignments that result from the change.
    pub fn document_applied(&mut self, now: f64, wall: f64, number: Version) -> Vec<ChangeEffect> {
        match self.stage(number) {
            Some(Stage::Suspended { .. }) => {
                self.active.entry(number).and_modify(|active| active.withdrawn = true);
                Vec::new()
            }
            Some(Stage::Applied) if self.is_undo(number) => {
                self.transition_and_record(wall, number, Stage::Kept(Keep::IsUndo))
            }
            Some(Stage::Applied) if self.active.get(&number).is_none_or(|active| active.trial == 0.0) => {
                self.transition_and_record(wall, number, Stage::Kept(Keep::WithoutTrial))
            }
            Some(Stage::Applied) => {
                let effects = self.transition_and_record(wall, number, Stage::Trial);
                self.active.entry(number).and_modify(|active| active.since = now);
                effects
            }
            _ => Vec::new(),
        }
    }

    /// Handles everything that is due at `now`. `analysis_state` returns the state of the analysis of a change, or
    /// with `None` of the analysis in general.
    pub fn tick(
        &mut self,
        now: f64,
        wall: f64,
        pool: &HostPool,
        analysis_state: &dyn Fn(Option<Version>) -> AnalysisState,
    ) -> Vec<ChangeEffect> {
        let mut effects = Vec::new();
        let all: Vec<(Version, ActiveChange)> =
            self.active.iter().map(|(number, active)| (*number, *active)).collect();
        for (number, active) in all {
            effects.extend(self.advance(now, wall, number, &active, pool, analysis_state));
        }
        effects.extend(self.apply_next(now, wall, analysis_state(None)));
        effects
    }

    /// Handles everything that is due for one change.
    fn advance(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        active: &ActiveChange,
        pool: &HostPool,
        analysis_state: &dyn Fn(Option<Version>) -> AnalysisState,
    ) -> Vec<ChangeEffect> {
        let in_stage = now - active.since;
        let trial_end = active.trial_end();
        match self.stage(number) {
            // An undo has no timeout: there is no earlier state to return to.
            Some(Stage::Applied) if !self.is_undo(number) && in_stage > APPLY_TIMEOUT_S => {
                self.undo_by_new_change(now, wall, number, EndReason::ApplyTimeout, pool)
            }
            Some(Stage::Trial) if now >= trial_end && analysis_state(Some(number)).has_reports => {
                self.keep(wall, number, Keep::TrialPassed)
            }
            Some(Stage::Suspended { .. }) if in_stage > SUSPENSION_TIMEOUT_S => {
                self.end_suspended(wall, number, EndReason::NotRecovered)
            }
            Some(Stage::Suspended { .. })
                if active.withdrawn && analysis_state(Some(number)).has_recovered =>
            {
                self.retry(now, wall, number, pool)
            }
            Some(Stage::Trial) if now >= trial_end + (MAX_TRIAL_EXTENSION_FACTOR - 1.0) * active.trial => {
                self.undo_by_new_change(now, wall, number, EndReason::TooFewReports, pool)
            }
            _ => Vec::new(),
        }
    }

    /// Ends a trial: the change stays in force.
    fn keep(&mut self, wall: f64, number: Version, why: Keep) -> Vec<ChangeEffect> {
        let mut effects = self.transition_and_record(wall, number, Stage::Kept(why));
        effects.push(ChangeEffect::EndAnalysis(number));
        effects
    }

    /// Whether the proxies are still applying a change or its suspension.
    fn is_applying(&self) -> bool {
        self.active.iter().any(|(number, active)| match self.stage(*number) {
            Some(Stage::Applied) => true,
            Some(Stage::Suspended { .. }) => !active.withdrawn,
            _ => false,
        })
    }

    /// Applies the first staged change. Only one change is applied at a time, so that their effects can be
    /// distinguished.
    fn apply_next(&mut self, now: f64, wall: f64, analysis_state: AnalysisState) -> Vec<ChangeEffect> {
        let next = self.staged.front().copied().filter(|_| !self.is_applying());
        let Some(number) = next else { return Vec::new() };
        let active = self.active.get(&number);
        let waited = active.map_or(f64::INFINITY, |active| now - active.since);
        let has_no_trial = active.is_some_and(|active| active.trial == 0.0);
        if !analysis_state.has_baseline && waited < BASELINE_TIMEOUT_S && !has_no_trial {
            return Vec::new();
        }
        let mut effects = self.transition_and_record(wall, number, Stage::Applied);
        self.active.entry(number).and_modify(|active| active.since = now);
        if !has_no_trial {
            effects.push(ChangeEffect::StartAnalysis(number));
        }
        effects.push(self.apply_document(number));
        effects
    }

    /// Applies a suspended change again for its second trial, if it still leaves enough hosts. It waits while
    /// changes are frozen.
    fn retry(&mut self, now: f64, wall: f64, number: Version, pool: &HostPool) -> Vec<ChangeEffect> {
        let waits = self.is_applying() || self.frozen.is_some();
        let Some(change) = self.changes.get(&number).filter(|_| !waits) else { return Vec::new() };
        let new = self.document_with(&change.submission.edits);
        if let Some(shortfall) = pool.worse_shortfall(&self.document, &new) {
            return self.end_suspended(wall, number, EndReason::Stale { why: shortfall.text });
        }
        let mut effects = self.transition_and_record(wall, number, Stage::Applied);
        self.active.entry(number).and_modify(|active| (active.since, active.retried) = (now, true));
        effects.push(ChangeEffect::ResumeAnalysis(number));
        effects.push(self.apply_document(number));
        effects
    }

    /// To be called when the analysis has found harm. `unsure`: a fault of the fleet may be the cause
    /// instead, as there was no unaffected traffic to compare with, or that traffic got worse too. Then the
    /// change is only suspended, and retried when service has recovered: if the harm returns, the change is
    /// the cause. The cost is that a harmful change affects callers twice, each time until it is detected.
    pub fn report_harm(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        (found, unsure): (String, bool),
        pool: &HostPool,
    ) -> Vec<ChangeEffect> {
        let Some(Stage::Applied | Stage::Trial) = self.stage(number) else { return Vec::new() };
        if self.active.get(&number).is_some_and(|active| active.retried) {
            let found = format!("a second time, after all was well without it: {found}");
            return self.undo_by_new_change(now, wall, number, EndReason::Harm { found }, pool);
        }
        if !unsure {
            return self.undo_by_new_change(now, wall, number, EndReason::Harm { found }, pool);
        }
        let mut effects = self.transition_and_record(wall, number, Stage::Suspended { found });
        self.active.entry(number).and_modify(|active| (active.since, active.withdrawn) = (now, false));
        // The document is replaced whether or not the record can be written, as with an undo.
        effects.push(ChangeEffect::SuspendAnalysis(number));
        effects.push(self.apply_document(number));
        effects
    }

    /// The effect that makes the director use the document in force.
    pub(super) fn apply_document(&self, by: Version) -> ChangeEffect {
        ChangeEffect::ApplyDocument { by, document: self.document.clone() }
    }

    /// Ends a trial early on an operator's command: the change is kept.
    ///
    /// # Errors
    ///
    /// The change is not on trial.
    pub fn confirm(&mut self, wall: f64, number: Version, who: String) -> Result<Vec<ChangeEffect>, Refusal> {
        let stage = &self.find(number)?.stage;
        if *stage != Stage::Trial {
            return Err(Refusal::WrongStage { number, stage: stage.name(), wanted: "on trial" });
        }
        Ok(self.keep(wall, number, Keep::Confirmed { who }))
    }

    /// Extends a trial by `by` seconds, from 1 to 3600.
    ///
    /// # Errors
    ///
    /// The change is not on trial, or `by` is out of bounds.
    pub fn extend(&mut self, number: Version, by: f64, who: &str) -> Result<Vec<ChangeEffect>, Refusal> {
        let stage = self.find(number)?.stage.name();
        let active = self.active.get_mut(&number).filter(|_| stage == Stage::Trial.name());
        let active = active.ok_or(Refusal::WrongStage { number, stage, wanted: "on trial" })?;
        if !(1.0..=3600.0).contains(&by) {
            return Err(Refusal::Invalid(vec!["by: expected seconds from 1 to 3600".to_string()]));
        }
        active.extension += by;
        let text = format!("trial extended by {by} s, by {who}");
        Ok(vec![ChangeEffect::Log { about: Some(number), text }])
    }
}
