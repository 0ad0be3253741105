//! The log of all changes with their state. `submission` and `trial` handle commands and timeouts, `undo`
//! creates changes that undo others, `transition` is the only module that changes the stage of a change, and
//! `recovery` rebuilds the state at startup.

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

/// State of a change that has not ended. Times are in seconds, on the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ActiveChange {
    /// When it entered its stage.
    since: f64,
    /// Length of its trial, in seconds; 0: it has none.
    trial: f64,
    /// Total time by which operators have extended the trial, in seconds.
    extension: f64,
    /// It was suspended before, so this is its second trial.
    retried: bool,
    /// It is suspended, and the proxies have applied the document without it.
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

/// All changes that can be shown, confirmed or undone, and the document in force. `now` is the time of a
/// monotonic clock in seconds; `wall` is the wall-clock time in seconds since 1970, which is only recorded.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    changes: BTreeMap<Version, Change>,
    newest: Version,
    histories: FieldHistories,
    /// The document in force; always equal to the one that `histories` give.
    document: Document,
    /// Content of the operators' file when it was last applied.
    file: Document,
    /// Who froze all changes, and why.
    frozen: Option<(String, String)>,
    /// Changes by idempotency token.
    tokens: BTreeMap<String, Version>,
    active: BTreeMap<Version, ActiveChange>,
    /// Durable changes that are waiting to be applied, in order.
    staged: VecDeque<Version>,
    /// Ended changes, in the order in which they ended.
    ended: VecDeque<Version>,
    /// The error of the log's file, if it has failed; then no change is accepted until a restart.
    write_error: Option<String>,
}

impl ChangeLog {
    /// The number of the newest change, which is the version of the configuration.
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

    /// The changes on trial, with the lengths of their trials in seconds, excluding extensions.
    pub fn trials(&self) -> impl Iterator<Item = (Version, f64)> + '_ {
        let trials = self.active.iter().filter(|(number, _)| self.stage(**number) == Some(&Stage::Trial));
        trials.map(|(number, active)| (*number, active.trial))
    }

    /// Whether no change is in progress; drafts do not count.
    pub fn idle(&self) -> bool {
        self.active.is_empty() && self.staged.is_empty()
    }

    /// Remaining time of the change's trial, in seconds; `None` if it is not on trial.
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

    /// The document in force with these edits applied.
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
