//! Why a message could not be used.

use std::fmt::Display;
use std::str::Utf8Error;

/// Longest excerpt of the input that an error keeps, in characters. Senders choose the length of what they send.
const MAX_EXCERPT_CHARS: usize = 200;

/// Why a message could not be used. The text fits on one log line and names fields as they stand on the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON, or not of the form of this message. Carries the parser's position and text instead of its
    /// error, which can be neither cloned nor compared.
    #[error("{reason}")]
    MalformedJson {
        /// Line in the text, from 1; 0 where the parser gives none.
        line: usize,
        /// Column in that line, from 1; 0 where the parser gives none.
        column: usize,
        /// The parser's text, which may quote the input: at most 200 characters.
        reason: String,
    },
    /// A field that the message needs is absent.
    #[error("field {field}: missing")]
    MissingField {
        /// Name of the field on the wire; names of nested fields are joined by dots.
        field: String,
    },
    /// The value of a field cannot be used.
    #[error("field {field}: expected {expected}")]
    InvalidField {
        /// Name of the field on the wire; names of nested fields are joined by dots.
        field: String,
        /// The value, at most 200 characters of it; none where whoever checked it doesn't tell.
        found: Option<String>,
        /// What a valid value is.
        expected: String,
    },
    /// An update of the relay is not UTF-8.
    #[error("news that is no text")]
    UpdateNotUtf8(#[source] Utf8Error),
    /// A line of the relay is no update that is known.
    #[error("no line of news")]
    UnknownUpdate {
        /// The line, at most 200 characters of it.
        found: String,
    },
    /// A collector's line exceeds [`MAX_MESSAGE_BYTES`](crate::collector::MAX_MESSAGE_BYTES) bytes.
    #[error("a line that is too long")]
    LineTooLong,
    /// The relay sends more than a line can hold without ending the line.
    #[error("a line without an end")]
    UnterminatedLine,
    /// A sender reports before it has said which zone it is the collector of.
    #[error("a report before joining")]
    ReportBeforeJoining,
}

impl ParseError {
    /// The field is absent.
    pub fn missing(field: &str) -> Self {
        ParseError::MissingField { field: field.to_string() }
    }

    /// The field's value is `found`, where `expected` says what a valid one is.
    pub fn invalid(field: &str, found: impl Display, expected: impl Display) -> Self {
        ParseError::InvalidField {
            field: field.to_string(),
            found: Some(excerpt(&found.to_string())),
            expected: expected.to_string(),
        }
    }

    /// As [`ParseError::invalid`], where the value is not at hand.
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

/// The first characters of a text.
fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).collect()
}

#[cfg(test)]
mod tests;
