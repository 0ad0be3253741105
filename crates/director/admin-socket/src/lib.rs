//! Messages between the operators' command line and a director, over a Unix socket. Each request and each answer is a
//! JSON object on a line of its own. A request that cannot be parsed is answered with [`Answer::Unreadable`] and its
//! connection stays open; a request longer than [`MAX_LINE_BYTES`] closes the connection.
//!
//! The names on the wire are those of the serde attributes; `tests/wire_format.rs` fixes them.

use coppersail_changes::{Change, Submission, Version};
use coppersail_operator_config::{Edits, Field, Value};
use serde::{Deserialize, Serialize};

/// Maximum length of a request or answer, in bytes. It leaves room for a submission of all the fields that an
/// operators' file may hold.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of changes in one [`Answer::Changes`].
pub const MAX_CHANGES_PER_ANSWER: usize = 100;

/// A request from an operator to a director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Request {
    /// Returns the state of the director and of its changes.
    Status,
    /// Submits a new change.
    Submit {
        /// The change's edits, its author, and the version that it is based on.
        submission: Submission,
    },
    /// Returns what a submission of these edits would change.
    Diff {
        /// The fields and their new values.
        edits: Edits,
    },
    /// Lists changes, the newest first, at most [`MAX_CHANGES_PER_ANSWER`] of them.
    List {
        /// Only changes with a lower number than this; `None` starts at the newest change.
        before: Option<Version>,
    },
    /// Returns one change.
    Show {
        /// The change's number.
        number: Version,
    },
    /// Stages a draft, so that it will be applied.
    Stage {
        /// The draft's number.
        number: Version,
    },
    /// Ends a trial now and keeps its change.
    Confirm {
        /// The change on trial.
        number: Version,
        /// The operator.
        who: String,
    },
    /// Extends a trial.
    Extend {
        /// The change on trial.
        number: Version,
        /// Additional time, in seconds.
        by: f64,
        /// The operator.
        who: String,
    },
    /// Undoes a change by submitting a further change.
    Undo {
        /// The change to undo.
        number: Version,
        /// The operator.
        who: String,
        /// The reason, kept with the change.
        why: String,
    },
    /// Stops the application of changes until [`Request::Thaw`].
    Freeze {
        /// The operator.
        who: String,
        /// The reason.
        why: String,
    },
    /// Resumes the application of changes after [`Request::Freeze`].
    Thaw {
        /// The operator.
        who: String,
    },
}

/// The current state of one trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// The change on trial.
    pub number: Version,
    /// Seconds until the change is kept, provided that the reports suffice for a verdict by then.
    #[serde(rename = "left")]
    pub remaining_seconds: f64,
    /// Number of reports received since the trial began.
    #[serde(rename = "heard")]
    pub reports: usize,
    /// Whether the reports suffice for a verdict.
    #[serde(rename = "believed")]
    pub sufficient: bool,
}

/// The current state of a director and of its changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the director.
    pub name: String,
    /// Number of the newest change, on which a new submission is based.
    pub version: Version,
    /// Whether changes are stored on disk; otherwise they are lost when the director exits.
    pub durable: bool,
    /// Who froze changes, and why, if they are frozen.
    pub frozen: Option<(String, String)>,
    /// Whether enough reports have been received to serve as the baseline that a change is compared against.
    pub baseline: bool,
    /// Changes on trial.
    pub trials: Vec<Trial>,
    /// The values that operators have set, by field.
    pub in_force: Vec<(Field, Value)>,
    /// Number of hosts in the endpoint list.
    pub hosts: usize,
    /// Number of slices that this director owns.
    pub slices: usize,
    /// Number of connected proxies.
    pub proxies: usize,
}

/// A field that a submission would change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Which field.
    pub field: Field,
    /// Its current value; `None` if it is unset.
    #[serde(rename = "is")]
    pub current: Option<Value>,
    /// Its value after the submission; `None` if it is unset.
    #[serde(rename = "becomes")]
    pub proposed: Option<Value>,
}

/// A director's answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "kebab-case")]
pub enum Answer {
    /// Answer to [`Request::Status`].
    Status(Box<Status>),
    /// The change is in the history and will be applied.
    Accepted {
        /// The change's number.
        number: Version,
        /// Whether the history is stored on disk.
        durable: bool,
    },
    /// The request was carried out.
    Done,
    /// Answer to [`Request::Diff`].
    Diff {
        /// The fields whose value would change.
        differs: Vec<Difference>,
    },
    /// Answer to [`Request::List`].
    Changes {
        /// The changes, the newest first.
        changes: Vec<Change>,
        /// Whether there are older changes.
        more: bool,
    },
    /// Answer to [`Request::Show`].
    Change(Box<Change>),
    /// The request was valid but was not carried out; nothing has changed.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason, on one line.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request could not be parsed.
    Unreadable {
        /// The parse error, on one line.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A line that is not a valid message of this version.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {source}")]
pub struct ParseError {
    /// The expected message: "a request" or "an answer".
    kind: &'static str,
    /// The deserializer's error.
    source: serde_json::Error,
}

/// Encodes a message as a line, including the line feed.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Parses a request from a line without its line feed.
///
/// # Errors
/// The line is not a valid request of this version.
pub fn parse_request(line: &[u8]) -> Result<Request, ParseError> {
    serde_json::from_slice(line).map_err(|source| ParseError { kind: "a request", source })
}

/// Parses an answer from a line without its line feed.
///
/// # Errors
/// The line is not a valid answer of this version.
pub fn parse_answer(line: &[u8]) -> Result<Answer, ParseError> {
    serde_json::from_slice(line).map_err(|source| ParseError { kind: "an answer", source })
}

#[cfg(test)]
mod tests;
