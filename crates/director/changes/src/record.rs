//! What is remembered of changes, in the order in which it happened. From these the same book is made again.

use crate::change::{Stage, Submission, Version};
use coppersail_operator_config::{Field, Value};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// What the operators' file held at the very first start.
    Founded {
        wall: f64,
        document: Vec<(Field, Value)>,
    },
    Accepted {
        number: Version,
        wall: f64,
        submission: Submission,
    },
    Moved {
        number: Version,
        wall: f64,
        stage: Stage,
    },
    /// A new change that undoes another one; `lost` are fields of hosts that left, which are set to nothing.
    Undo {
        number: Version,
        of: Version,
        wall: f64,
        why: crate::Why,
        lost: Vec<Field>,
    },
    Frozen {
        wall: f64,
        who: String,
        why: String,
    },
    Thawed {
        wall: f64,
        who: String,
    },
}
