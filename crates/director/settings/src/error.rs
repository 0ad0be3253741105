//! The error of parsing a field or setting.

/// A field is missing or its value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct InvalidField {
    /// Name of the field on a line, or path of the setting.
    pub field: String,
    /// The text of the value; `None` if the field is missing.
    pub found: Option<String>,
    /// Description of a valid value.
    pub expected: &'static str,
}
