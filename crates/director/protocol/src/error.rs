//! The error of parsing a message.

use std::fmt::Display;
use std::str::Utf8Error;

/// Longest excerpt of the input that an error keeps, in characters. Without a limit, the sender would determine the
/// length of log lines.
const MAX_EXCERPT_CHARS: usize = 200;

/// Why a message could not be parsed. The text is a single line and names fields as on the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON, or does not have this message's structure. Holds the position and the text of the JSON
    /// parser's error instead of the error itself, which can be neither cloned nor compared.
    #[error("{reason}")]
    MalformedJson {
        /// Line in the text, from 1; 0 if the parser reports none.
        line: usize,
        /// Column in that line, from 1; 0 if the parser reports none.
        column: usize,
        /// The parser's error text, which may quote the input, cut at 200 characters.
        reason: String,
    },
    /// A required field is missing.
    #[error("field {field}: missing")]
    MissingField {
        /// Name of the field on the wire; names of nested fields are joined by dots.
        field: String,
    },
    /// The value of a field is invalid.
    #[error("field {field}: expected {expected}")]
    InvalidField {
        /// Name of the field on the wire; names of nested fields are joined by dots.
        field: String,
        /// The value, cut at 200 characters; `None` if it was not available to the check.
        found: Option<String>,
        /// Description of a valid value.
        expected: String,
    },
    /// An update of the relay is not UTF-8.
    #[error("news that is no text")]
    UpdateNotUtf8(#[source] Utf8Error),
    /// A line of the relay is not a known update.
    #[error("no line of news")]
    UnknownUpdate {
        /// The line, cut at 200 characters.
        found: String,
    },
    /// A collector's line exceeds [`MAX_MESSAGE_BYTES`](crate::collector::MAX_MESSAGE_BYTES) bytes.
    #[error("a line that is too long")]
    LineTooLong,
    /// The relay has sent more than the maximum length of a line without a line feed.
    #[error("a line without an end")]
    UnterminatedLine,
    /// A collector has sent a report before it registered with its zone.
    #[error("a report before joining")]
    ReportBeforeJoining,
}

impl ParseError {
    /// The error of a missing field.
    pub fn missing(field: &str) -> Self {
        ParseError::MissingField { field: field.to_string() }
    }

    /// The error of an invalid field with the value `found`; `expected` describes a valid value.
    pub fn invalid(field: &str, found: impl Display, expected: impl Display) -> Self {
        ParseError::InvalidField {
            field: field.to_string(),
            found: Some(excerpt(&found.to_string())),
            expected: expected.to_string(),
        }
    }

    /// As [`ParseError::invalid`], for a value that is not available.
    pub fn expected(field: &str, expected: impl Display) -> Self {
        ParseError::InvalidField { field: field.to_string(), found: None, expected: expected.to_string() }
    }

    pub(crate) fn unknown_update(line: &str) -> Self {
        ParseError::UnknownUpdate { found: excerpt(line) }
    }
}

impl From<serde_json::Error> for ParseError {
    fn from(error: serde_json::Error) -> Self {
        ParseError::MalformedJson {
            line: error.line(),
            column: error.column(),
            reason: excerpt(&error.to_string()),
        }
    }
}

/// The first [`MAX_EXCERPT_CHARS`] characters of a text.
fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}

#[cfg(test)]
mod tests;
