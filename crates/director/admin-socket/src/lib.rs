//! Messages between the operators' command line and a director, over a Unix socket: one JSON object a line, a request
//! and its answer. A request that cannot be read is answered so and its connection stays; one that is too long ends it.
//!
//! The names on the wire are those of the serde attributes; `tests/wire_format.rs` holds them.

use coppersail_changes::{Change, Submission, Version};
use coppersail_operator_config::{Edits, Field, Value};
use serde::{Deserialize, Serialize};

/// Longest line either way, in bytes: a submission of all the fields that a file may hold.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of changes in one [`Answer::Changes`].
pub const MAX_CHANGES_PER_ANSWER: usize = 100;

/// What an operator asks of a director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Request {
    /// How the director and its changes stand.
    Status,
    /// A new change.
    Submit {
        /// Its edits, its author, and the version that it is based on.
        submission: Submission,
    },
    /// What a submission would change.
    Diff {
        /// The fields and their new values.
        edits: Edits,
    },
    /// Changes from the newest below `before` back, [`MAX_CHANGES_PER_ANSWER`] at most.
    List {
        /// None: from the newest.
        before: Option<Version>,
    },
    /// One change.
    Show {
        /// Its number.
        number: Version,
    },
    /// A draft is to be applied.
    Stage {
        /// The draft's number.
        number: Version,
    },
    /// A trial ends now and the change is kept.
    Confirm {
        /// The change on trial.
        number: Version,
        /// The operator.
        who: String,
    },
    /// A trial lasts longer.
    Extend {
        /// The change on trial.
        number: Version,
        /// Seconds.
        by: f64,
        /// The operator.
        who: String,
    },
    /// A change is undone by a further one.
    Undo {
        /// The change to undo.
        number: Version,
        /// The operator.
        who: String,
        /// The reason, kept with the change.
        why: String,
    },
    /// No change is applied until [`Request::Thaw`].
    Freeze {
        /// The operator.
        who: String,
        /// The reason.
        why: String,
    },
    /// Changes are applied again.
    Thaw {
        /// The operator.
        who: String,
    },
}

/// One trial as it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// The change on trial.
    pub number: Version,
    /// Seconds until it is kept, if its sums suffice by then.
    #[serde(rename = "left")]
    pub remaining_seconds: f64,
    /// Reports received since it began.
    #[serde(rename = "heard")]
    pub reports: usize,
    /// Whether they suffice for a verdict.
    #[serde(rename = "believed")]
    pub sufficient: bool,
}

/// How a director and its changes stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The director's own.
    pub name: String,
    /// The newest change: what a submission is based on.
    pub version: Version,
    /// Changes are kept on a disk; else they are forgotten when the director ends.
    pub durable: bool,
    /// Who froze changes, and why, if they are frozen.
    pub frozen: Option<(String, String)>,
    /// Enough reports of the time until now are there to compare a change against.
    pub baseline: bool,
    /// Changes on trial.
    pub trials: Vec<Trial>,
    /// What operators have set, by field.
    pub in_force: Vec<(Field, Value)>,
    /// Hosts in the list.
    pub hosts: usize,
    /// Slices that this director owns.
    pub slices: usize,
    /// Proxies that are connected.
    pub proxies: usize,
}

/// A field that a submission would change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Which field.
    pub field: Field,
    /// Its value now; none: unset.
    #[serde(rename = "is")]
    pub current: Option<Value>,
    /// Its value afterwards; none: unset.
    #[serde(rename = "becomes")]
    pub proposed: Option<Value>,
}

/// What a director answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Answer {
    /// To [`Request::Status`].
    Status(Box<Status>),
    /// The change is in the history and will be applied.
    Accepted {
        /// Its number.
        number: Version,
        /// The history is on a disk.
        durable: bool,
    },
    /// Carried out.
    Done,
    /// To [`Request::Diff`].
    Diff {
        /// Only fields that differ.
        differs: Vec<Difference>,
    },
    /// To [`Request::List`].
    Changes {
        /// The newest first.
        changes: Vec<Change>,
        /// There are older ones.
        more: bool,
    },
    /// To [`Request::Show`].
    Change(Box<Change>),
    /// Read, and not carried out; nothing has changed.
    #[serde(rename = "refused")]
    Rejected {
        /// One line.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Not read.
    Unreadable {
        /// One line.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A line that is no message of this version.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {source}")]
pub struct ParseError {
    /// "a request" or "an answer".
    kind: &'static str,
    /// What serde found.
    source: serde_json::Error,
}

/// A message as a line, with its end of line.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Reads a request from a line without its end.
///
/// # Errors
/// If it is no request of this version.
pub fn parse_request(line: &[u8]) -> Result<Request, ParseError> {
    serde_json::from_slice(line).map_err(|source| ParseError { kind: "a request", source })
}

/// Reads an answer from a line without its end.
///
/// # Errors
/// If it is no answer of this version.
pub fn parse_answer(line: &[u8]) -> Result<Answer, ParseError> {
    serde_json::from_slice(line).map_err(|source| ParseError { kind: "an answer", source })
}

#[cfg(test)]
mod tests;
