//! The records of the change log, in the order in which they are written.

use crate::change::{Submission, Version};
use crate::stage::{EndReason, Stage};
use coppersail_operator_config::{Field, Value};
use serde::{Deserialize, Serialize};

/// One record of the change log; [`crate::ChangeLog::recover`] rebuilds the same state from them. `wall` is the time of
/// writing, seconds since 1970.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// The log was created at the first start.
    Founded {
        /// Time of writing.
        wall: f64,
        /// Content of the operators' file.
        document: Vec<(Field, Value)>,
    },
    /// A submission was accepted.
    Accepted {
        /// The change's number.
        number: Version,
        /// Time of writing.
        wall: f64,
        /// What was submitted.
        submission: Submission,
    },
    /// A change has moved to another stage.
    Moved {
        /// The change's number.
        number: Version,
        /// Time of writing.
        wall: f64,
        /// Its new stage.
        stage: Stage,
    },
    /// A new change undoes another one.
    Undo {
        /// The new change's number.
        number: Version,
        /// The change that is undone.
        of: Version,
        /// Time of writing.
        wall: f64,
        /// Why it is undone.
        why: EndReason,
        /// Fields of hosts that are no longer listed: they are unset instead of restored.
        lost: Vec<Field>,
    },
    /// Changes were frozen.
    Frozen {
        /// Time of writing.
        wall: f64,
        /// The operator.
        who: String,
        /// The reason that was given.
        why: String,
    },
    /// Changes are allowed again.
    Thawed {
        /// Time of writing.
        wall: f64,
        /// The operator.
        who: String,
    },
}
