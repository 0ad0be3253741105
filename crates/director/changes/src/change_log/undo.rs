//! Undo: a new change restores the previous value of each field whose value in force comes from the undone
//! change.

use super::{ActiveChange, ChangeLog};
use crate::change::{Change, Submission, Version};
use crate::effect::ChangeEffect;
use crate::host_pool::HostPool;
use crate::record::Record;
use crate::record_error::RecordError;
use crate::refusal::Refusal;
use crate::stage::{EndReason, Stage};
use coppersail_operator_config::{Edits, Field};
use std::collections::BTreeSet;

/// The author of undo changes.
const UNDO_AUTHOR: &str = "coppersail";

/// The content of a [`Record::Undo`].
#[derive(Clone, Copy)]
pub(super) struct Undo<'a> {
    pub(super) number: Version,
    pub(super) of: Version,
    pub(super) wall: f64,
    pub(super) why: &'a EndReason,
    pub(super) lost: &'a [Field],
}

impl ChangeLog {
    /// Undoes a change on an operator's command, or drops it if it is not applied yet.
    ///
    /// # Errors
    ///
    /// The change has been undone or dropped already, or is an undo itself.
    pub fn undo(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        (who, why): (String, String),
        pool: &HostPool,
    ) -> Result<Vec<ChangeEffect>, Refusal> {
        let change = self.find(number)?;
        let (why, stage) = (EndReason::ByOperator { who, why }, change.stage.name());
        match change.stage {
            Stage::Drafted | Stage::Checked | Stage::Staged => {
                Ok(self.transition_and_record(wall, number, Stage::Dropped(why)))
            }
            Stage::Suspended { .. } => Ok(self.end_suspended(wall, number, why)),
            Stage::Applied | Stage::Trial | Stage::Kept(_) if change.undoes.is_none() => {
                Ok(self.undo_by_new_change(now, wall, number, why, pool))
            }
            _ => Err(Refusal::WrongStage { number, stage, wanted: "in force and undoes nothing itself" }),
        }
    }

    /// Undoes a suspended change. None of its values is in force, so there is nothing to restore.
    pub(super) fn end_suspended(&mut self, wall: f64, number: Version, why: EndReason) -> Vec<ChangeEffect> {
        let mut effects = self.transition_and_record(wall, number, Stage::Undone(why));
        effects.push(ChangeEffect::EndAnalysis(number));
        effects
    }

    /// Undoes a change that is in force. Values that later changes have set stay; fields of hosts that are no
    /// longer listed are unset.
    pub(super) fn undo_by_new_change(
        &mut self,
        now: f64,
        wall: f64,
        of: Version,
        why: EndReason,
        pool: &HostPool,
    ) -> Vec<ChangeEffect> {
        let Some(change) = self.changes.get(&of) else { return Vec::new() };
        let number = Version(self.newest.0 + 1);
        let text = self.undo_text(change, number, &why);
        let is_lost = |field: &&Field| field.host().is_some_and(|host| !pool.knows(host));
        let lost: Vec<Field> = change.submission.edits.keys().filter(is_lost).cloned().collect();
        if self.insert_undo(Undo { number, of, wall, why: &why, lost: &lost }).is_err() {
            return Vec::new();
        }
        // It is applied immediately; it stays active until the proxies have applied it.
        self.active.insert(number, ActiveChange::new(now, 0.0));
        vec![
            ChangeEffect::Log { about: Some(of), text },
            ChangeEffect::EndAnalysis(of),
            // The document is replaced whether or not the record can be written.
            self.apply_document(number),
            ChangeEffect::Write(Record::Undo { number, of, wall, why, lost }),
        ]
    }

    /// The log line of an undo; it names the fields that later changes have set.
    fn undo_text(&self, change: &Change, number: Version, why: &EndReason) -> String {
        let later = change.submission.edits.keys().filter_map(|field| {
            let by = self.histories.effective(field).filter(|by| *by != change.number)?;
            Some(format!("{field} (change {by})"))
        });
        let later: Vec<String> = later.collect();
        let mut text = format!("undone by change {number}, {why}");
        if !later.is_empty() {
            text += &format!("; later changes stand: {}", later.join(" "));
        }
        text
    }

    /// Adds a change that undoes another one, in stage applied.
    pub(super) fn insert_undo(&mut self, undo: Undo) -> Result<(), RecordError> {
        let Undo { number, of, wall, why, lost } = undo;
        let change = self.changes.get(&of).ok_or(RecordError::UnknownUndone(of))?;
        let fields: Vec<Field> = change.submission.edits.keys().cloned().collect();
        let values_before = self.values_in_force(fields.iter());
        let determined: BTreeSet<&Field> =
            fields.iter().filter(|field| self.histories.effective(field) == Some(of)).collect();
        self.transition(of, Stage::Undone(why.clone()))?;
        self.newest = self.newest.max(number);
        for field in &determined {
            self.histories.record_undo(number, field, lost.contains(field));
        }
        self.refresh_document(fields.iter());
        let edits = self.values_in_force(determined.into_iter());
        let before: Edits =
            values_before.into_iter().filter(|(field, _)| edits.contains_key(field)).collect();
        let submission = Submission {
            base: of,
            who: UNDO_AUTHOR.to_string(),
            why: format!("undoes change {of}, {why}"),
            edits,
            ..Submission::default()
        };
        let (undoes, stage) = (Some(of), Stage::Applied);
        self.changes.insert(number, Change { number, wall, submission, stage, undoes, before });
        Ok(())
    }
}
