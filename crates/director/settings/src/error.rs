//! Why a value could not be read.

/// A field is missing or its value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct InvalidField {
    /// Name of the field on a line, or path of the setting.
    pub field: String,
    /// The text of its value; none if the field is missing.
    pub found: Option<String>,
    /// What a valid value is.
    pub expected: &'static str,
}
