//! Submissions: validation, conflicts, idempotent resubmission, drafts, durability, and the freeze of
//! changes.

use super::{ActiveChange, ChangeLog};
use crate::change::{Submission, Version};
use crate::effect::ChangeEffect;
use crate::host_pool::HostPool;
use crate::record::Record;
use crate::refusal::Refusal;
use crate::stage::{EndReason, Keep, Stage};
use coppersail_operator_config::{check_edit, Edits, Field, SettingsNames, Value};

/// Default length of a trial, in seconds, if neither the change nor the document sets one: twice the time
/// within which the analysis finds a loss of five percentage points.
const DEFAULT_TRIAL_S: f64 = 60.0;
/// Limit of the changes in progress. Each needs an analysis, and more of them would hide each other's
/// effects.
pub(super) const MAX_ACTIVE: usize = 8;
/// Limit of the drafts.
const MAX_DRAFTS: usize = 64;

/// The errors in a submission's parameters, one text each.
fn parameter_faults(submission: &Submission) -> Vec<String> {
    let mut faults = Vec::new();
    if submission.trial.is_some_and(|trial| trial != 0.0 && !(5.0..=3600.0).contains(&trial)) {
        faults.push("trial: expected 0 or seconds from 5 to 3600".to_string());
    }
    if !(0.0..=100.0).contains(&submission.expected_loss) {
        faults.push("expected loss: expected points from 0 to 100".to_string());
    }
    faults
}

impl ChangeLog {
    /// Accepts a submission, or refuses it as a whole. A resubmission with the token of an earlier change
    /// returns that change, and no effects.
    ///
    /// # Errors
    ///
    /// The submission is invalid, conflicts with another change, or too many changes are in progress.
    pub fn submit(
        &mut self,
        now: f64,
        wall: f64,
        submission: Submission,
        known: &SettingsNames,
        pool: &HostPool,
    ) -> Result<(Version, Vec<ChangeEffect>), Refusal> {
        if let Some(number) = self.submitted_before(&submission.token) {
            return Ok((number, vec![]));
        }
        self.validate(&submission, known, pool, None)?;
        if submission.draft {
            self.check_draft_limit()?;
        } else {
            self.check_active_limit()?;
        }
        let number = Version(self.newest.0 + 1);
        let fields: Vec<String> = submission.edits.keys().map(Field::to_string).collect();
        let stage = if submission.draft { "drafted" } else { "checked" };
        let text = format!("{stage}, by {}: {}; sets {}", submission.who, submission.why, fields.join(" "));
        self.insert(number, wall, submission.clone());
        if !submission.draft {
            self.activate(number, now);
        }
        let record = Record::Accepted { number, wall, submission };
        Ok((number, vec![ChangeEffect::Log { about: Some(number), text }, ChangeEffect::Write(record)]))
    }

    /// The earlier change with this idempotency token, if any.
    fn submitted_before(&self, token: &str) -> Option<Version> {
        self.tokens.get(token).filter(|_| !token.is_empty()).copied()
    }

    /// What a submission would change: the fields with their current and their new values. Fields that
    /// already have the new value are left out.
    pub fn preview(&self, edits: &Edits) -> Vec<(Field, Option<Value>, Option<Value>)> {
        let in_force = |field: &Field| self.document.get(field).copied();
        let differing = edits.iter().filter(|(field, value)| in_force(field) != **value);
        differing.map(|(field, value)| (field.clone(), in_force(field), *value)).collect()
    }

    /// All checks of a submission except the limits on the number of changes. `except` is the change's own
    /// number when a draft is staged.
    fn validate(
        &self,
        submission: &Submission,
        known: &SettingsNames,
        pool: &HostPool,
        except: Option<Version>,
    ) -> Result<(), Refusal> {
        if let Some((who, why)) = &self.frozen {
            return Err(Refusal::Frozen { who: who.clone(), why: why.clone() });
        }
        if let Some(why) = &self.write_error {
            return Err(Refusal::WriteFailed(why.clone()));
        }
        if submission.base > self.newest {
            return Err(Refusal::BaseAhead { base: submission.base, head: self.newest });
        }
        let check = |(field, value): (&Field, &Option<Value>)| {
            check_edit(field, value.as_ref(), Some(known)).err().map(|error| error.to_string())
        };
        let mut faults: Vec<String> = submission.edits.iter().filter_map(check).collect();
        faults.extend(parameter_faults(submission));
        if !faults.is_empty() {
            return Err(Refusal::Invalid(faults));
        }
        self.check_conflicts(submission.base, &submission.edits, except)?;
        if self.preview(&submission.edits).is_empty() {
            return Err(Refusal::NoEffect);
        }
        match pool.worse_shortfall(&self.document, &self.document_with(&submission.edits)) {
            Some(shortfall) => Err(Refusal::TooFewHosts(shortfall.text)),
            None => Ok(()),
        }
    }

    /// Optimistic locking: the newest change of each field must not be newer than the base. It must also have
    /// ended, even if the base includes it: as long as it can still be undone automatically, no other change
    /// may depend on it.
    fn check_conflicts(&self, base: Version, edits: &Edits, except: Option<Version>) -> Result<(), Refusal> {
        for field in edits.keys() {
            let newest = self.histories.newest(field).filter(|newest| Some(*newest) != except);
            let Some(holder) = newest else { continue };
            let (who, stage) = match self.changes.get(&holder) {
                Some(change) => (change.submission.who.clone(), &change.stage),
                // The change has been forgotten, or the field was set by the operators' file at the first
                // start.
                None => (String::new(), &Stage::Kept(Keep::TrialPassed)),
            };
            if holder > base || !stage.ended() {
                let (field, stage) = (field.clone(), stage.name());
                return Err(Refusal::Conflict { field, holder, who, stage });
            }
        }
        Ok(())
    }

    fn check_draft_limit(&self) -> Result<(), Refusal> {
        let drafts = self.changes.values().filter(|change| change.stage == Stage::Drafted).count();
        if drafts >= MAX_DRAFTS {
            return Err(Refusal::TooMany(MAX_DRAFTS));
        }
        Ok(())
    }

    fn check_active_limit(&self) -> Result<(), Refusal> {
        if self.active.len() + self.staged.len() >= MAX_ACTIVE {
            return Err(Refusal::TooMany(MAX_ACTIVE));
        }
        Ok(())
    }

    /// Marks the change as in progress.
    pub(super) fn activate(&mut self, number: Version, now: f64) {
        let default = match self.document.get(&Field::Trial) {
            Some(Value::Number(trial)) => *trial,
            _ => DEFAULT_TRIAL_S,
        };
        let own = self.changes.get(&number).and_then(|change| change.submission.trial);
        self.active.insert(number, ActiveChange::new(now, own.unwrap_or(default)));
    }

    /// Stages a draft. It is validated again, as its base may be outdated.
    ///
    /// # Errors
    ///
    /// The change is no draft, is no longer valid, or too many changes are in progress.
    pub fn stage_draft(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        known: &SettingsNames,
        pool: &HostPool,
    ) -> Result<Vec<ChangeEffect>, Refusal> {
        let change = self.find(number)?;
        if change.stage != Stage::Drafted {
            return Err(Refusal::WrongStage { number, stage: change.stage.name(), wanted: "drafted" });
        }
        self.check_active_limit()?;
        self.validate(&change.submission, known, pool, Some(number))?;
        let mut effects = self.transition_and_record(wall, number, Stage::Checked);
        self.activate(number, now);
        effects.extend(self.transition_and_record(wall, number, Stage::Staged));
        Ok(effects)
    }

    /// To be called when the change is durable: its author may then be answered, and it may be applied.
    pub fn record_written(&mut self, wall: f64, number: Version) -> Vec<ChangeEffect> {
        if self.stage(number) == Some(&Stage::Checked) {
            return self.transition_and_record(wall, number, Stage::Staged);
        }
        Vec::new()
    }

    /// To be called when a write to the log's file has failed. The change of the failed record, if any, is
    /// dropped, and no other is accepted until a restart. Changes on trial can still be undone.
    pub fn write_failed(&mut self, wall: f64, number: Option<Version>, why: &str) -> Vec<ChangeEffect> {
        let mut effects = Vec::new();
        if self.write_error.is_none() {
            self.write_error = Some(why.to_string());
            let text = format!("history: cannot be written, no change is taken before a start: {why}");
            effects.push(ChangeEffect::Log { about: None, text });
        }
        let Some(number) = number else { return effects };
        if matches!(self.stage(number), Some(Stage::Checked | Stage::Drafted)) {
            let why = EndReason::WriteFailed { why: why.to_string() };
            effects.extend(self.transition_and_record(wall, number, Stage::Dropped(why)));
        }
        effects
    }

    /// Refuses all submissions until [`ChangeLog::thaw`]. Trials continue, and changes can still be undone.
    pub fn freeze(&mut self, wall: f64, who: String, why: String) -> Vec<ChangeEffect> {
        let text = format!("changes frozen by {who}: {why}");
        self.frozen = Some((who.clone(), why.clone()));
        vec![ChangeEffect::Write(Record::Frozen { wall, who, why }), ChangeEffect::Log { about: None, text }]
    }

    /// Accepts submissions again.
    pub fn thaw(&mut self, wall: f64, who: String) -> Vec<ChangeEffect> {
        self.frozen = None;
        let text = format!("changes thawed by {who}");
        vec![ChangeEffect::Write(Record::Thawed { wall, who }), ChangeEffect::Log { about: None, text }]
    }
}
