//! What operators' commands and a director say to each other over a Unix socket: a request a line, an answer a line,
//! both JSON. A request that cannot be read is answered so and its connection stays; one that is too long ends it.

use coppersail_changes::{Change, Submission, Version};
use coppersail_operator_config::{Edits, Field, Value};
use serde::{Deserialize, Serialize};

/// Longest line either way: a submission of all the fields that a file may hold.
pub const LINE_MOST: usize = 1 << 20;
/// Changes in one answer.
pub const PAGE: usize = 100;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Request {
    Status,
    Submit {
        submission: Submission,
    },
    /// What a submission would change.
    Diff {
        edits: Edits,
    },
    /// From the newest below `before` back, a page at most.
    List {
        before: Option<Version>,
    },
    Show {
        number: Version,
    },
    /// A draft is to be applied.
    Stage {
        number: Version,
    },
    Confirm {
        number: Version,
        who: String,
    },
    Extend {
        number: Version,
        by: f64,
        who: String,
    },
    Undo {
        number: Version,
        who: String,
        why: String,
    },
    Freeze {
        who: String,
        why: String,
    },
    Thaw {
        who: String,
    },
}

/// One trial as it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    pub number: Version,
    /// Seconds until it is kept, if its sums suffice by then.
    pub left: f64,
    /// Reports heard since it began, and whether they are enough to believe the verdict.
    pub heard: usize,
    pub believed: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    /// The newest change: what a submission is based on.
    pub version: Version,
    /// Changes are kept on a disk; else they are forgotten when the director ends.
    pub durable: bool,
    pub frozen: Option<(String, String)>,
    /// Enough of the time until now was heard to judge a change by.
    pub baseline: bool,
    pub trials: Vec<Trial>,
    pub in_force: Vec<(Field, Value)>,
    pub hosts: usize,
    pub slices: usize,
    pub proxies: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Differs {
    pub field: Field,
    pub is: Option<Value>,
    pub becomes: Option<Value>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Answer {
    Status(Box<Status>),
    /// The change is in the history and will be applied.
    Accepted {
        number: Version,
        durable: bool,
    },
    Done,
    Diff {
        differs: Vec<Differs>,
    },
    Changes {
        changes: Vec<Change>,
        more: bool,
    },
    Change(Box<Change>),
    /// Understood, and not done; nothing has changed.
    Refused {
        why: String,
    },
    /// Not understood.
    Unreadable {
        why: String,
    },
}

pub fn line<T: Serialize>(message: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

pub fn request(line: &[u8]) -> Result<Request, String> {
    serde_json::from_slice(line).map_err(|wrong| format!("a request: {wrong}"))
}

pub fn answer(line: &[u8]) -> Result<Answer, String> {
    serde_json::from_slice(line).map_err(|wrong| format!("an answer: {wrong}"))
}

#[cfg(test)]
mod tests;
