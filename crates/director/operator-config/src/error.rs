//! Errors of single fields and their values. Each text is one line that is shown to the operator.

use crate::field::Field;

/// A text that is not the path of a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "field {path}: expected hosts.NAME.weight, hosts.NAME.drained, hosts.NAME.leaves, zones.NAME.weight, \
     routes.NAME.ceiling, routes.NAME.again, apart.SLICE.HOST, changes.trial, changes.judge or guard.mode"
)]
pub struct FieldPathError {
    /// The text that was found.
    pub path: String,
}

/// A text that is not a valid value of a field. The message contains only the expected values, as the caller
/// adds the name of the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{expected}")]
pub struct ValueError {
    /// The text that was found.
    pub found: String,
    /// Description of the valid values, see [`Field::expected`].
    pub expected: &'static str,
}

/// An invalid value of a field: out of bounds, or for a name that is not in the director's settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct EditError {
    /// The field that was to be set.
    pub field: Field,
    /// Description of the valid values with these settings.
    pub expected: String,
}
