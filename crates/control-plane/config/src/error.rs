//! The error of an invalid setting.
use serde_json::Value;

/// An invalid setting. Its text is one line for the operator.
///
/// ```
/// let error = coppersail_config::ProcessSettings::from_json(r#"{"self": {"ipAddress": 7}}"#).unwrap_err();
/// assert_eq!(error.to_string(), "self.ipAddress is 7, expected text");
/// ```
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{} is {}, expected {expected}", path_text(.field), value_text(.value))]
pub struct FieldError {
    /// The path of the field, such as `network.binds.admin` or `routes.rows[3].giveUp`; empty for the
    /// document itself.
    pub field: String,
    /// The value as it was given, truncated; empty if there was none.
    pub value: String,
    /// What was expected of the field, as the end of the error's sentence.
    pub expected: &'static str,
}

/// The number of characters of a value that are shown: enough to recognise it in a log.
const MAX_VALUE_CHARS: usize = 60;
/// The largest number of items of a list or an object that is shown as a value; of a larger one the size is
/// shown.
const MAX_ITEMS: usize = 4;

impl FieldError {
    pub(crate) fn new(value: &Value, expected: &'static str) -> FieldError {
        FieldError { field: String::new(), value: summary(value), expected }
    }

    pub(crate) fn missing(expected: &'static str) -> FieldError {
        FieldError { field: String::new(), value: String::new(), expected }
    }

    pub(crate) fn not_json(error: &serde_json::Error, expected: &'static str) -> FieldError {
        FieldError { field: String::new(), value: format!("not JSON ({error})"), expected }
    }

    pub(crate) fn unreadable_file(field: &str, path: &str, error: &std::io::Error) -> FieldError {
        let value = format!("{path:?} ({error})");
        FieldError { field: field.into(), value, expected: "a file that can be read" }
    }

    /// The same error with the path of the field extended by its parent.
    pub(crate) fn within(mut self, parent: &str) -> FieldError {
        let dot = if self.field.is_empty() || self.field.starts_with('[') { "" } else { "." };
        self.field = format!("{parent}{dot}{}", self.field);
        self
    }
}

fn path_text(field: &str) -> &str {
    if field.is_empty() {
        "the whole"
    } else {
        field
    }
}

fn value_text(value: &str) -> &str {
    if value.is_empty() {
        "left out"
    } else {
        value
    }
}

fn summary(value: &Value) -> String {
    truncate(match value {
        Value::Array(list) if list.len() > MAX_ITEMS => format!("a list of {}", list.len()),
        Value::Object(map) if map.len() > MAX_ITEMS => format!("a table of {}", map.len()),
        _ => value.to_string(),
    })
}

/// Shortens a text for a log line.
pub(crate) fn truncate(text: String) -> String {
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
