//! Applying staged changes one at a time, and their trials: kept, extended, set aside, retried or undone.

use super::{ActiveChange, ChangeLog};
use crate::act::{AnalysisState, ChangeEffect};
use crate::change::Version;
use crate::host_pool::HostPool;
use crate::refusal::Refusal;
use crate::stage::{EndReason, Keep, Stage};

/// A change that the proxies do not have so many seconds after it was applied is undone. Far longer than any repeated
/// request to them, and half of the time within which harm must be undone.
pub(super) const APPLY_TIMEOUT: f64 = 15.0;
/// How long a change waits for the analysis to have a baseline, seconds; then it is applied without.
const BASELINE_TIMEOUT: f64 = 20.0;
/// How long a change stays set aside, seconds. Its author does not expect a change to come into force later.
const SET_ASIDE_TIMEOUT: f64 = 300.0;
/// A trial without enough reports to analyse it goes on for so many times its length; then the change is undone.
const UNJUDGED_TRIAL_FACTOR: f64 = 2.0;

impl ChangeLog {
    /// The proxies have what came of the change.
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
                let acts = self.transition_and_record(wall, number, Stage::Trial);
                self.active.entry(number).and_modify(|active| active.since = now);
                acts
            }
            _ => Vec::new(),
        }
    }

    /// Does what has become due. `ready` gives the state of the analysis, of a change or, with `None`, in general.
    pub fn tick(
        &mut self,
        now: f64,
        wall: f64,
        pool: &HostPool,
        ready: &dyn Fn(Option<Version>) -> AnalysisState,
    ) -> Vec<ChangeEffect> {
        let mut acts = Vec::new();
        let all: Vec<(Version, ActiveChange)> =
            self.active.iter().map(|(number, active)| (*number, *active)).collect();
        for (number, active) in all {
            acts.extend(self.advance(now, wall, number, &active, pool, ready));
        }
        acts.extend(self.apply_next(now, wall, ready(None)));
        acts
    }

    /// Does what has become due of one change.
    fn advance(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        active: &ActiveChange,
        pool: &HostPool,
        ready: &dyn Fn(Option<Version>) -> AnalysisState,
    ) -> Vec<ChangeEffect> {
        let in_stage = now - active.since;
        let trial_end = active.trial_end();
        match self.stage(number) {
            // An undo has no time-out: there is nothing to return to.
            Some(Stage::Applied) if !self.is_undo(number) && in_stage > APPLY_TIMEOUT => {
                self.undo_by_new_change(now, wall, number, EndReason::ApplyTimeout, pool)
            }
            Some(Stage::Trial) if now >= trial_end && ready(Some(number)).has_reports => {
                self.keep(wall, number, Keep::TrialPassed)
            }
            Some(Stage::Suspended { .. }) if in_stage > SET_ASIDE_TIMEOUT => {
                self.end_set_aside(wall, number, EndReason::NotRecovered)
            }
            Some(Stage::Suspended { .. }) if active.withdrawn && ready(Some(number)).has_recovered => {
                self.retry(now, wall, number, pool)
            }
            Some(Stage::Trial) if now >= trial_end + (UNJUDGED_TRIAL_FACTOR - 1.0) * active.trial => {
                self.undo_by_new_change(now, wall, number, EndReason::TooFewReports, pool)
            }
            _ => Vec::new(),
        }
    }

    /// Ends a trial: the change stays in force.
    fn keep(&mut self, wall: f64, number: Version, why: Keep) -> Vec<ChangeEffect> {
        let mut acts = self.transition_and_record(wall, number, Stage::Kept(why));
        acts.push(ChangeEffect::EndAnalysis(number));
        acts
    }

    /// Whether a change is on its way to the proxies, or its withdrawal is.
    fn is_applying(&self) -> bool {
        self.active.iter().any(|(number, active)| match self.stage(*number) {
            Some(Stage::Applied) => true,
            Some(Stage::Suspended { .. }) => !active.withdrawn,
            _ => false,
        })
    }

    /// Applies the first staged change. Only one is on its way to the proxies at a time, so that the effects of each
    /// can be distinguished.
    fn apply_next(&mut self, now: f64, wall: f64, ready: AnalysisState) -> Vec<ChangeEffect> {
        let next = self.staged.front().copied().filter(|_| !self.is_applying());
        let Some(number) = next else { return Vec::new() };
        let active = self.active.get(&number);
        let waited = active.map_or(f64::INFINITY, |active| now - active.since);
        let has_no_trial = active.is_some_and(|active| active.trial == 0.0);
        if !ready.has_baseline && waited < BASELINE_TIMEOUT && !has_no_trial {
            return Vec::new();
        }
        let mut acts = self.transition_and_record(wall, number, Stage::Applied);
        self.active.entry(number).and_modify(|active| active.since = now);
        if !has_no_trial {
            acts.push(ChangeEffect::StartAnalysis(number));
        }
        acts.push(self.give(number));
        acts
    }

    /// Applies a change that was set aside for its second trial, if it still leaves enough hosts. While changes are
    /// frozen it waits.
    fn retry(&mut self, now: f64, wall: f64, number: Version, pool: &HostPool) -> Vec<ChangeEffect> {
        let waits = self.is_applying() || self.frozen.is_some();
        let Some(change) = self.changes.get(&number).filter(|_| !waits) else { return Vec::new() };
        let new = self.document_with(&change.submission.edits);
        if let Some(shortfall) = pool.worse_shortfall(&self.document, &new) {
            return self.end_set_aside(wall, number, EndReason::Stale { why: shortfall.text });
        }
        let mut acts = self.transition_and_record(wall, number, Stage::Applied);
        self.active.entry(number).and_modify(|active| (active.since, active.retried) = (now, true));
        acts.push(ChangeEffect::ResumeAnalysis(number));
        acts.push(self.give(number));
        acts
    }

    /// The analysis has found harm. `unsure`: a fault of the fleet may be the cause, as there was no unaffected traffic
    /// to compare with, or that has got worse too. Then the change is only set aside, and retried when service has
    /// recovered: harm that comes back with it is its own. The price is that callers meet a harmful change twice, each
    /// time until it is found.
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
        let mut acts = self.transition_and_record(wall, number, Stage::Suspended { found });
        self.active.entry(number).and_modify(|active| (active.since, active.withdrawn) = (now, false));
        // The document is replaced whether or not the record can be written, as for an undo.
        acts.push(ChangeEffect::SuspendAnalysis(number));
        acts.push(self.give(number));
        acts
    }

    /// Has the director use the document in force.
    pub(super) fn give(&self, by: Version) -> ChangeEffect {
        ChangeEffect::ApplyDocument { by, document: self.document.clone() }
    }

    /// Ends a trial early: the operator keeps the change.
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

    /// Extends a trial by so many seconds, from 1 to 3600.
    ///
    /// # Errors
    ///
    /// The change is not on trial, or the time is out of its bounds.
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
