//! Errors of single fields and their values. Each text is one line, as operators see it.

use crate::field::Field;

/// A text that is no path of a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "field {path}: expected hosts.NAME.weight, hosts.NAME.drained, hosts.NAME.leaves, zones.NAME.weight, \
     routes.NAME.ceiling, routes.NAME.again, apart.SLICE.HOST, changes.trial, changes.judge or guard.mode"
)]
pub struct FieldPathError {
    /// The text that was found.
    pub path: String,
}

/// A text that is no value of a field. It prints only what was expected, as its users name the field themselves.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{expected}")]
pub struct ValueError {
    /// The text that was found.
    pub found: String,
    /// What the field's values are, see [`Field::expected`].
    pub expected: &'static str,
}

/// A value that a field cannot have: out of its bounds, or about something that the director's settings do not name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field}: expected {expected}")]
pub struct EditError {
    /// The field that was to be set.
    pub field: Field,
    /// What its values are here.
    pub expected: String,
}
