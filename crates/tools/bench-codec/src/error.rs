//! What is wrong with a line.

use coppersail_settings::InvalidField;

/// Longest word of an unknown message that an error keeps, in characters.
const MAX_MESSAGE_CHARS: usize = 40;

/// A line of the input that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}: field {field}: expected {expected}")]
pub struct InvalidLine {
    /// Number of the line, from 1 over the whole input.
    pub line: u64,
    /// The line's first word, or a name in parentheses for what has none.
    pub message: String,
    /// Name of the field, or a name in parentheses for what is none.
    pub field: String,
    /// The field's text; none if it is missing, or not a single field's.
    pub found: Option<String>,
    /// What a valid value is.
    pub expected: String,
}

impl InvalidLine {
    /// An error of one field of the line whose first word is `message`.
    pub(crate) fn of_field(line: u64, message: &str, invalid: InvalidField) -> Self {
        InvalidLine {
            line,
            message: message.chars().take(MAX_MESSAGE_CHARS).collect(),
            field: invalid.field,
            found: invalid.found,
            expected: invalid.expected.to_string(),
        }
    }

    /// An error of the line as a whole, or of its place among the others.
    pub(crate) fn of_line(line: u64, message: &str, field: &str, expected: &str) -> Self {
        InvalidLine {
            line,
            message: message.to_string(),
            field: field.to_string(),
            found: None,
            expected: expected.to_string(),
        }
    }
}
