//! Transitions of a change between stages, with their effect on the fields in force. New and recovered
//! records use the same code.

use super::ChangeLog;
use crate::change::{Change, Submission, Version};
use crate::effect::ChangeEffect;
use crate::record::Record;
use crate::record_error::RecordError;
use crate::stage::{Keep, Stage};
use coppersail_operator_config::{Edits, Field};

/// Limit of the ended changes that are kept individually; older ones cannot be undone.
pub(super) const MAX_ENDED: usize = 1000;

impl ChangeLog {
    /// Adds a submission as a change, drafted or checked.
    pub(super) fn insert(&mut self, number: Version, wall: f64, submission: Submission) {
        self.newest = self.newest.max(number);
        if !submission.token.is_empty() {
            self.tokens.insert(submission.token.clone(), number);
        }
        let stage = if submission.draft { Stage::Drafted } else { Stage::Checked };
        if stage == Stage::Checked {
            self.histories.claim(number, &submission.edits);
        }
        let change = Change { number, wall, submission, stage, undoes: None, before: Edits::new() };
        self.changes.insert(number, change);
    }

    /// Moves a change to another stage. This is the only place where a stage changes.
    pub(super) fn transition(&mut self, number: Version, to: Stage) -> Result<(), RecordError> {
        let change = self.changes.get_mut(&number).ok_or(RecordError::UnknownChange(number))?;
        if !change.stage.leads_to(&to) {
            let (from, to) = (change.stage.name(), to.name());
            return Err(RecordError::InvalidTransition { number, from, to });
        }
        let from = std::mem::replace(&mut change.stage, to.clone());
        let edits = change.submission.edits.clone();
        match (&from, &to) {
            (Stage::Drafted, Stage::Checked) => self.histories.claim(number, &edits),
            (Stage::Checked, Stage::Staged) => self.staged.push_back(number),
            (Stage::Staged | Stage::Suspended { .. }, Stage::Applied) => self.enforce(number, &edits),
            (_, Stage::Suspended { .. }) => {
                self.histories.suspend(number, &edits);
                self.refresh_document(edits.keys());
            }
            (_, Stage::Dropped(_) | Stage::Undone(_)) => {
                self.staged.retain(|staged| *staged != number);
                self.histories.remove(number, &edits);
                self.refresh_document(edits.keys());
            }
            _ => {}
        }
        if to.ended() {
            self.active.remove(&number);
            if !from.ended() {
                self.ended.push_back(number);
            }
            self.forget_oldest();
        }
        Ok(())
    }

    /// Moves a change to another stage, and returns the record and the log line of the transition; nothing if
    /// the transition is invalid.
    pub(super) fn transition_and_record(
        &mut self,
        wall: f64,
        number: Version,
        to: Stage,
    ) -> Vec<ChangeEffect> {
        let text = match &to {
            Stage::Kept(Keep::Confirmed { who }) => format!("kept, confirmed by {who}"),
            Stage::Kept(Keep::TrialPassed) => "kept, its trial showed no harm".to_string(),
            Stage::Dropped(why) => format!("dropped, {why}"),
            Stage::Undone(why) => format!("undone while it was set aside, {why}"),
            Stage::Suspended { found } => format!("set aside until the fleet is well, {found}"),
            stage => stage.name().to_string(),
        };
        if self.transition(number, to.clone()).is_err() {
            return Vec::new();
        }
        vec![
            ChangeEffect::Write(Record::Moved { number, wall, stage: to }),
            ChangeEffect::Log { about: Some(number), text },
        ]
    }

    /// Puts the values that the change sets into force.
    fn enforce(&mut self, number: Version, edits: &Edits) {
        self.staged.retain(|staged| *staged != number);
        let before = self.values_in_force(edits.keys());
        if let Some(change) = self.changes.get_mut(&number) {
            change.before = before;
            if let Some(file) = change.submission.document() {
                self.file = file;
            }
        }
        self.histories.enforce(number, edits);
        self.refresh_document(edits.keys());
    }

    /// The fields with their values in force; `None` for fields that are not set.
    pub(super) fn values_in_force<'a>(&self, fields: impl Iterator<Item = &'a Field>) -> Edits {
        fields.map(|field| (field.clone(), self.document.get(field).copied())).collect()
    }

    /// Updates the fields in the document from their histories.
    pub(super) fn refresh_document<'a>(&mut self, fields: impl Iterator<Item = &'a Field>) {
        for field in fields {
            match self.histories.value(field) {
                Some(value) => drop(self.document.insert(field.clone(), value)),
                None => drop(self.document.remove(field)),
            }
        }
    }

    /// Bounds the memory use: the oldest ended changes are dropped and can no longer be undone.
    fn forget_oldest(&mut self) {
        while self.ended.len() > MAX_ENDED {
            let Some(change) = self.ended.pop_front().and_then(|number| self.changes.remove(&number)) else {
                continue;
            };
            self.tokens.remove(&change.submission.token);
            if change.stage.in_force() {
                self.histories.compact(change.number, &change.submission.edits);
            }
        }
    }
}
