//! The log of all changes with their state. Each concern has its module: `submission` and `trial` take commands and
//! time, `undo` makes changes that undo others, `transition` is the only one that moves a change from stage to stage,
//! and `recovery` rebuilds the state at a start.

mod recovery;
mod submission;
mod transition;
mod trial;
mod undo;

use crate::change::{Change, Version};
use crate::field_history::FieldHistories;
use crate::refusal::Refusal;
use crate::stage::Stage;
use coppersail_operator_config::{Document, Edits};
use std::collections::{BTreeMap, VecDeque};

/// What is known of a change that has not ended. Times are seconds of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ActiveChange {
    /// When it entered its stage.
    since: f64,
    /// Length of its trial, seconds; 0: it has none.
    trial: f64,
    /// By how much operators have extended the trial, seconds.
    extension: f64,
    /// It was set aside before, so this is its second trial.
    retried: bool,
    /// It is set aside, and the proxies have the document without it.
    withdrawn: bool,
}

impl ActiveChange {
    fn new(since: f64, trial: f64) -> Self {
        ActiveChange { since, trial, extension: 0.0, retried: false, withdrawn: false }
    }

    /// When its trial ends.
    fn trial_end(&self) -> f64 {
        self.since + self.trial + self.extension
    }
}

/// All changes that can be shown, confirmed or undone, and the document that is in force. Times `now` are seconds of a
/// monotonic clock, times `wall` seconds since 1970, which are only recorded.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: BTreeMap<Version, Change>,
    newest: Version,
    histories: FieldHistories,
    /// What is in force; always what `histories` give.
    document: Document,
    /// Content of the operators' file when it was last applied.
    file: Document,
    /// Who froze all changes, and why.
    frozen: Option<(String, String)>,
    /// The changes by their idempotency tokens.
    tokens: BTreeMap<String, Version>,
    active: BTreeMap<Version, ActiveChange>,
    /// Durable changes that wait to be applied, in order.
    staged: VecDeque<Version>,
    /// Changes that have ended, in the order in which they did.
    ended: VecDeque<Version>,
    /// Why the log's file has failed; no change is accepted until a restart.
    write_error: Option<String>,
}

impl ChangeLog {
    /// Number of the newest change: the version of the configuration.
    pub fn head(&self) -> Version {
        self.newest
    }

    /// All fields in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Content of the operators' file when it was last applied.
    pub fn file(&self) -> &Document {
        &self.file
    }

    /// Who froze all changes, and why.
    pub fn frozen(&self) -> Option<&(String, String)> {
        self.frozen.as_ref()
    }

    /// The change with this number.
    pub fn change(&self, number: Version) -> Option<&Change> {
        self.changes.get(&number)
    }

    /// All changes that are remembered, newest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values().rev()
    }

    /// The changes on trial, with the length of their trials in seconds, without extensions.
    pub fn trials(&self) -> impl Iterator<Item = (Version, f64)> + '_ {
        let trials = self.active.iter().filter(|(number, _)| self.stage(**number) == Some(&Stage::Trial));
        trials.map(|(number, active)| (*number, active.trial))
    }

    /// Whether no change is under way; drafts do not count.
    pub fn idle(&self) -> bool {
        self.active.is_empty() && self.staged.is_empty()
    }

    /// Seconds until the change's trial ends; `None`: it is not on trial.
    pub fn trial_left(&self, now: f64, number: Version) -> Option<f64> {
        let active = self.active.get(&number).filter(|_| self.stage(number) == Some(&Stage::Trial))?;
        Some((active.trial_end() - now).max(0.0))
    }

    fn stage(&self, number: Version) -> Option<&Stage> {
        self.changes.get(&number).map(|change| &change.stage)
    }

    /// Whether the change undoes another one.
    fn is_undo(&self, number: Version) -> bool {
        self.changes.get(&number).is_some_and(|change| change.undoes.is_some())
    }

    fn find(&self, number: Version) -> Result<&Change, Refusal> {
        self.changes.get(&number).ok_or(Refusal::UnknownChange(number))
    }

    /// The document as it would be with these edits in force.
    fn document_with(&self, edits: &Edits) -> Document {
        let mut document = self.document.clone();
        for (field, value) in edits {
            match value {
                Some(value) => drop(document.insert(field.clone(), *value)),
                None => drop(document.remove(field)),
            }
        }
        document
    }
}

#[cfg(test)]
mod tests;
