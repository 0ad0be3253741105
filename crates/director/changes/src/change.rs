//! A change: its number, its submission and its stage.

use crate::stage::Stage;
use coppersail_operator_config::{Document, Edits, Field, Value};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change's number. The newest one is also the version of the configuration; 0 if there has been no change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// A change as an operator submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The newest version that its author had seen: conflicts are checked against it, as in optimistic locking.
    pub base: Version,
    /// Its author.
    pub who: String,
    /// The reason that its author gives.
    pub why: String,
    /// What it sets and unsets.
    pub edits: Edits,
    /// Length of its trial, in seconds; `None`: the default; 0: it is kept without a trial.
    pub trial: Option<f64>,
    /// Share of calls that its author expects to be lost where it takes effect, in percentage points from 0
    /// to 100.
    #[serde(default)]
    pub expected_loss: f64,
    /// Idempotency token: a resubmission with the same token is the same change; empty: none.
    #[serde(default)]
    pub token: String,
    /// It is a draft, which is not applied until it is staged.
    #[serde(default)]
    pub draft: bool,
    /// The complete content of the operators' file, if the change comes from it.
    #[serde(default)]
    pub file: Option<Vec<(Field, Value)>>,
}

impl Submission {
    /// The complete content of the operators' file, if the change comes from it.
    pub fn document(&self) -> Option<Document> {
        self.file.as_ref().map(|fields| fields.iter().cloned().collect())
    }
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its number.
    pub number: Version,
    /// Wall-clock time of the submission, in seconds since 1970; for display only, never used in decisions.
    pub wall: f64,
    /// What was submitted.
    pub submission: Submission,
    /// Its stage.
    pub stage: Stage,
    /// The change that it undoes; `None` if it is no undo.
    pub undoes: Option<Version>,
    /// The values of its fields before it was applied, for display.
    pub before: Edits,
}
