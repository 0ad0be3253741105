//! What can be wrong with a scenario file, each error in one line.

use std::error::Error;
use std::path::PathBuf;

/// A scenario that cannot be read or cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The scenario's file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The Jsonnet template cannot be evaluated; the error names the file.
    #[error(transparent)]
    Template(#[from] coppersail_jsonnet::EvaluateError),
    /// The JSON has a syntax error, an unknown field, or a value of the wrong type.
    #[error("{}: {source}", path.display())]
    Syntax {
        /// The scenario's file.
        path: PathBuf,
        /// Where and what, by line and column of the JSON.
        source: serde_json::Error,
    },
    /// A value is outside what can be played.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The scenario's file.
        path: PathBuf,
        /// The field, and what was expected.
        source: InvalidScenario,
    },
}

/// A scenario that could never be played, or would never end.
#[derive(Debug, thiserror::Error)]
pub enum InvalidScenario {
    /// A field has a value outside its range.
    #[error("{field}: expected {expected}")]
    Field {
        /// The field, or several joined by commas, by path.
        field: &'static str,
        /// The range, in words.
        expected: &'static str,
    },
    /// One of the operators' changes names an unknown field or has a value of the wrong type.
    #[error("changes: {0}")]
    Change(#[source] EditError),
}

/// An operators' change with an unknown field, or with a value that the field does not take.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// No such field.
    #[error("{0}")]
    Field(#[source] Box<dyn Error + Send + Sync>),
    /// The field does not take the value.
    #[error("field {path}: expected {expected}")]
    Value {
        /// The field, as it was typed.
        path: String,
        /// What the field takes.
        expected: String,
    },
}
