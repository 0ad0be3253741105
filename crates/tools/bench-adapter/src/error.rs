//! Why an event that is well-formed cannot be used.

use coppersail_bench_codec::InvalidLine;
use coppersail_settings::UnknownName;

/// An event contradicts the settings, or what came before it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub(crate) struct InvalidEvent {
    /// Name of the field, or a name in parentheses for what is none.
    pub(crate) field: &'static str,
    /// The field's value, where it is a single one.
    pub(crate) found: Option<String>,
    /// What a valid value is.
    pub(crate) expected: String,
}

impl InvalidEvent {
    /// The value of a field is none that the settings or earlier events allow.
    pub(crate) fn value(field: &'static str, found: impl ToString, expected: impl ToString) -> Self {
        InvalidEvent { field, found: Some(found.to_string()), expected: expected.to_string() }
    }

    /// A field names something that the settings do not.
    pub(crate) fn name(field: &'static str, unknown: &UnknownName) -> Self {
        Self::value(field, &unknown.name, unknown)
    }

    /// The event belongs behind another one.
    pub(crate) fn order(field: &'static str, expected: impl ToString) -> Self {
        InvalidEvent { field, found: None, expected: expected.to_string() }
    }

    /// The error of the line that holds the event; `message` is its first word.
    pub(crate) fn on_line(self, line: u64, message: &str) -> InvalidLine {
        InvalidLine {
            line,
            message: message.to_string(),
            field: self.field.to_string(),
            found: self.found,
            expected: self.expected,
        }
    }
}
